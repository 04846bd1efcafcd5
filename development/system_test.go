package development_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/config"
	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/development"
	"birchwood.example/birchwood/emulator/standin"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// ioTimeout bounds every wait for real I/O. The tests assert nothing about
// durations below it.
const ioTimeout = 60 * time.Second

// caller is a client of one node's callers' API that fails the test on an
// error.
type caller struct{ address string }

// post sends a POST request, decodes the answer into result and returns the
// HTTP status.
func (c caller) post(path string, body, result any) int {
	encoded, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	request, err := http.NewRequest(http.MethodPost, "http://"+c.address+path, bytes.NewReader(encoded))
	Expect(err).NotTo(HaveOccurred())
	return c.send(request, result)
}

func (c caller) get(path string, result any) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+c.address+path, nil)
	Expect(err).NotTo(HaveOccurred())
	return c.send(request, result)
}

func (c caller) send(request *http.Request, result any) int {
	request.Header.Set("Authorization", "Bearer "+config.DevCallerToken)
	ctx, cancel := context.WithTimeout(context.Background(), ioTimeout)
	defer cancel()
	response, err := http.DefaultClient.Do(request.WithContext(ctx))
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	Expect(json.NewDecoder(response.Body).Decode(result)).To(Succeed())
	return response.StatusCode
}

// create creates a program and returns its ID.
func (c caller) create(branch, key string) api.ProgramID {
	var program api.Program
	status := c.post("/v1/programs", api.CreateProgram{Branch: branch, Key: key}, &program)
	Expect(status).To(BeElementOf(http.StatusOK, http.StatusCreated), "%+v", program)
	return program.ID
}

// call makes a call, waits for its answer and returns it.
func (c caller) call(program api.ProgramID, call api.SubmitCall) api.Call {
	var answer api.Call
	c.post(fmt.Sprintf("/v1/programs/%s/calls", program), call, &answer)
	return answer
}

func modelCall(key, input string) api.SubmitCall {
	return api.SubmitCall{Key: key, Kind: api.CallModel, Model: config.DevModel, Input: input, MaxOutputTokens: 40}
}

func toolCall(key, tool, input string) api.SubmitCall {
	return api.SubmitCall{Key: key, Kind: api.CallTool, Tool: tool, Input: input}
}

// discardLogs returns a logger that writes nothing.
func discardLogs(string) *log.Logger { return &log.Logger{Level: log.PanicLevel} }

// zoneOf returns the zone of an engine of the development system.
func zoneOf(system *development.System, backend string) zone.Name {
	backends, err := system.Nodes[0].Process.Node.Backends(context.Background())
	Expect(err).NotTo(HaveOccurred())
	for _, known := range backends {
		if string(known.ID) == backend {
			return known.Zone
		}
	}
	return ""
}

var _ = Describe("A whole system over loopback", Ordered, func() {
	var system *development.System

	at := func(index int) caller { return caller{address: system.Nodes[index].CallerAddress()} }

	BeforeAll(func() {
		ctx, cancel := context.WithTimeout(context.Background(), ioTimeout)
		defer cancel()
		started, err := development.Start(ctx, config.Dev(), discardLogs)
		Expect(err).NotTo(HaveOccurred())
		system = started
		DeferCleanup(func() { Expect(system.Stop()).To(Succeed()) })
	})

	It("keeps one history and order whichever node the calls come by", func() {
		program := at(0).create("demo", "history")
		for turn := range 4 {
			answer := at(turn).call(program, modelCall(fmt.Sprintf("turn-%d", turn), fmt.Sprintf("question %d. ", turn)))
			Expect(answer.Status).To(Equal(api.StatusSucceeded), "%+v", answer.Error)
			Expect(answer.Sequence).To(Equal(uint64(turn + 1)))
		}
		var history api.History
		at(3).get(fmt.Sprintf("/v1/programs/%s/history", program), &history)
		Expect(history.Calls).To(HaveLen(4))
		for turn, call := range history.Calls {
			Expect(call.Input).To(Equal(fmt.Sprintf("question %d. ", turn)))
			Expect(call.Output).NotTo(BeEmpty())
		}
	})

	It("sends a call that may not be repeated once, however often its key is sent", func() {
		program := at(1).create("demo", "once")
		seal := toolCall("seal", "record_seal_break", "truck 7")
		var group sync.WaitGroup
		answers := make([]api.Call, 2*len(system.Nodes))
		for i := range answers {
			group.Go(func() {
				defer GinkgoRecover()
				answers[i] = at(i%len(system.Nodes)).call(program, seal)
			})
		}
		group.Wait()
		for _, answer := range answers {
			Expect(answer.Status).To(Equal(api.StatusSucceeded), "%+v", answer.Error)
			Expect(answer.Output).To(Equal(answers[0].Output))
		}
		runs := 0
		for _, service := range system.Standins.ToolRuns() {
			for _, run := range service {
				if run.Input == "truck 7" {
					runs += run.Count
				}
			}
		}
		Expect(runs).To(Equal(1))
	})

	It("goes on while the log service is down, and loses nothing", func() {
		program := at(2).create("demo", "outage")
		Expect(at(2).call(program, modelCall("before", "before. ")).Status).To(Equal(api.StatusSucceeded))
		Expect(system.Standins.Faults().Add(standin.Fault{Name: "outage", Kind: standin.FaultDown, Target: standin.TargetLog})).To(Succeed())
		during := at(0).call(program, modelCall("during", "during. "))
		system.Standins.Faults().Remove("outage")
		Expect(during.Status).To(Equal(api.StatusSucceeded), "%+v", during.Error)
		after := at(1).call(program, modelCall("after", "after. "))
		Expect(after.Status).To(Equal(api.StatusSucceeded), "%+v", after.Error)
		Eventually(func(g Gomega) {
			var history api.History
			g.Expect(at(3).get(fmt.Sprintf("/v1/programs/%s/history", program), &history)).To(Equal(http.StatusOK))
			g.Expect(history.Calls).To(HaveLen(3))
			g.Expect(history.Calls[1].Output).To(Equal(during.Output))
		}).WithTimeout(ioTimeout).Should(Succeed())
	})

	It("gives a node that starts while the log service is down the settings from a peer", func() {
		wantRevision := system.Nodes[0].Process.Node.Settings().Revision()
		Expect(system.Standins.Faults().Add(standin.Fault{Name: "outage", Kind: standin.FaultDown, Target: standin.TargetLog})).To(Succeed())
		DeferCleanup(func() { system.Standins.Faults().Remove("outage") })
		lateFile := config.Dev().Nodes[0]
		lateFile.Node.ID = "node-late"
		Expect(system.Add(lateFile, discardLogs("node-late"))).To(Succeed())
		started := system.Nodes[len(system.Nodes)-1]
		Eventually(func() any { return started.Process.Node.Settings().Revision() }).WithTimeout(ioTimeout).Should(Equal(wantRevision))
		system.Standins.Faults().Remove("outage")
		ctx, cancel := context.WithTimeout(context.Background(), ioTimeout)
		defer cancel()
		Expect(started.Process.Node.AwaitReady(ctx)).To(Succeed())
	})

	It("moves a branch's programs to another zone, and their next call goes there", func() {
		program := at(0).create("demo/north-only", "moved")
		first := at(0).call(program, modelCall("first", "first. "))
		Expect(first.Status).To(Equal(api.StatusSucceeded), "%+v", first.Error)
		Expect(zoneOf(system, first.Backend)).To(Equal(zone.Name("north")))

		tree := system.Nodes[0].Process.Node.Settings()
		verdict, err := system.Nodes[0].Process.Node.ChangeSettings(context.Background(), contract.Change{
			ID: "move", Based: tree.Revision(), Actor: "test",
			Edits: []contract.Edit{{Path: "demo/north-only", Values: contract.Values{Zones: []zone.Name{"south"}}}},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(verdict.Accepted).To(BeTrue(), "%+v", verdict)

		for _, started := range system.Nodes {
			Eventually(started.Process.Node.Settings().Revision).WithTimeout(ioTimeout).Should(BeNumerically(">=", verdict.Revision))
		}
		second := at(1).call(program, modelCall("second", "second. "))
		Expect(second.Status).To(Equal(api.StatusSucceeded), "%+v", second.Error)
		Expect(zoneOf(system, second.Backend)).To(Equal(zone.Name("south")))
		Eventually(func(g Gomega) {
			for _, started := range system.Nodes {
				partitions, err := started.Process.Node.PartitionStatuses(context.Background())
				g.Expect(err).NotTo(HaveOccurred())
				for _, owned := range partitions {
					if owned.Partition.Group.Branch() == "demo/north-only" {
						g.Expect(started.File.Node.Zone).To(Equal(zone.Name("south")))
					}
				}
			}
			var history api.History
			g.Expect(at(2).get(fmt.Sprintf("/v1/programs/%s/history", program), &history)).To(Equal(http.StatusOK))
			g.Expect(history.Calls).To(HaveLen(2))
		}).WithTimeout(ioTimeout).Should(Succeed())
	})

	It("sends nothing new to a back end that an operator drains", func() {
		drained := machine.ID("engine-1")
		revision := system.Nodes[0].Process.Node.Settings().Revision()
		Expect(system.Nodes[0].Process.Node.DrainBackend(context.Background(), drained)).To(Succeed())
		for _, started := range system.Nodes {
			Eventually(started.Process.Node.Settings().Revision).WithTimeout(ioTimeout).Should(BeNumerically(">", revision))
		}
		for i := range 12 {
			program := at(i%len(system.Nodes)).create("demo", fmt.Sprintf("drained-%d", i))
			answer := at(0).call(program, modelCall("only", "where? "))
			Expect(answer.Status).To(Equal(api.StatusSucceeded), "%+v", answer.Error)
			Expect(answer.Backend).NotTo(Equal(string(drained)))
		}
	})

	It("cuts no request when a node is stopped as planned under load", func() {
		const programs, turns = 24, 6
		ids := make([]api.ProgramID, programs)
		for i := range ids {
			ids[i] = at(i%len(system.Nodes)).create("demo", fmt.Sprintf("stop-%d", i))
		}
		stopped := system.Nodes[len(system.Nodes)-1]
		firstAnswered := make(chan struct{})
		var once sync.Once
		var group sync.WaitGroup
		for i, id := range ids {
			group.Go(func() {
				defer GinkgoRecover()
				for turn := range turns {
					answer := at(i%(len(system.Nodes)-1)).call(id, modelCall(fmt.Sprintf("t%d", turn), "next. "))
					Expect(answer.Status).To(Equal(api.StatusSucceeded), "program %d, turn %d: %+v", i, turn, answer.Error)
					Expect(answer.Sequence).To(Equal(uint64(turn + 1)))
					once.Do(func() { close(firstAnswered) })
				}
			})
		}
		<-firstAnswered
		Expect(stopped.Stop()).To(Succeed())
		system.Nodes = system.Nodes[:len(system.Nodes)-1]
		group.Wait()
	})
})
