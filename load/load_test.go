package load_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/config"
	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/development"
	"birchwood.example/birchwood/history"
	"birchwood.example/birchwood/load"
	"birchwood.example/birchwood/workload"
)

// gateway is a fake gateway. answer returns the output of a call or a refusal,
// given the number of requests with the call's key so far.
type gateway struct {
	mutex    sync.Mutex
	attempts map[string]int
	calls    []api.Call
	answer   func(request api.SubmitCall, attempts int) (string, *api.Error)
	// omitsLastCall omits the last call from the history.
	omitsLastCall bool
	// describesRefused is the number of describe requests to refuse, described the
	// number received, and probes the number of probe programs.
	describesRefused, described, probes int
}

func (g *gateway) serve(ctx *fasthttp.RequestCtx) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	switch path := string(ctx.Path()); {
	case path == "/v1/programs":
		reply(ctx, api.Program{ID: "demo.0.000000000000000a", Branch: "demo", BudgetTokens: 1 << 40})
	case strings.HasSuffix(path, "/calls"):
		g.call(ctx)
	case strings.HasSuffix(path, "/history"):
		calls := g.calls
		if g.omitsLastCall {
			calls = calls[:len(calls)-1]
		}
		reply(ctx, api.History{Calls: calls})
	case strings.HasSuffix(path, "/end"):
		reply(ctx, api.Program{})
	default:
		g.described++
		if g.described <= g.describesRefused {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
		reply(ctx, api.Program{})
	}
}

func (g *gateway) call(ctx *fasthttp.RequestCtx) {
	var request api.SubmitCall
	Expect(json.Unmarshal(ctx.PostBody(), &request)).To(Succeed())
	g.attempts[request.Key]++
	output, refusal := g.answer(request, g.attempts[request.Key])
	if refusal != nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		reply(ctx, map[string]any{"error": refusal})
		return
	}
	call := api.Call{Sequence: request.Sequence, Key: request.Key, Status: api.StatusSucceeded, Input: request.Input, Output: output}
	g.calls = append(g.calls, call)
	ctx.SetContentType("text/event-stream")
	text, _ := json.Marshal(map[string]any{"offset": 0, "text": output})
	end, _ := json.Marshal(call)
	fmt.Fprintf(ctx, "event: text\ndata: %s\n\nevent: end\ndata: %s\n\n", text, end)
}

func reply(ctx *fasthttp.RequestCtx, body any) {
	text, err := json.Marshal(body)
	Expect(err).NotTo(HaveOccurred())
	_, _ = ctx.Write(text)
}

// oneProgram returns a deployment with one kind of program, which makes one
// model call.
func oneProgram() workload.Deployment {
	return workload.Deployment{Name: "test", Profiles: []workload.Profile{{
		Kind: "short", Branches: []contract.Path{"demo"}, Models: []string{config.DevModel}, Share: 1,
		Turns: workload.Lognormal{Median: 1}, Context: workload.Lognormal{Median: 20},
		Output: workload.Lognormal{Median: 10}, OutputCap: 20,
	}}}
}

// runAgainst runs one program against a fake gateway.
func runAgainst(fake *gateway) load.Result {
	fake.attempts = map[string]int{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &fasthttp.Server{Handler: fake.serve}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	result, err := load.Run(context.Background(), load.Config{
		Targets: []string{listener.Addr().String()}, Deployment: oneProgram(), Programs: 1, Seed: 1, Rate: 1000,
		CallTimeout: 3 * time.Second, Branch: "demo", Probes: fake.probes,
	})
	Expect(err).NotTo(HaveOccurred())
	Expect(server.Shutdown()).To(Succeed())
	Eventually(served).Should(Receive())
	return result
}

// ownAnswer returns the answer of a stand-in engine to a program's first call.
func ownAnswer(request api.SubmitCall) string {
	return fmt.Sprintf("%016x and so on", history.HashText(request.Model, "\x00", request.Input))
}

var _ = Describe("Run", func() {
	It("runs a deployment's programs against real nodes with every answer whole and its own", func() {
		silent := func(string) *log.Logger { return &log.Logger{Level: log.PanicLevel} }
		system, err := development.Start(context.Background(), config.Dev(), silent)
		Expect(err).NotTo(HaveOccurred())
		defer func() { Expect(system.Stop()).To(Succeed()) }()
		var targets, engines, tools []string
		for _, node := range system.Nodes {
			targets = append(targets, node.CallerAddress())
		}
		for _, address := range system.Standins.Addresses().Engines {
			engines = append(engines, address)
		}
		for _, address := range system.Standins.Addresses().Tools {
			tools = append(tools, address)
		}
		var file bytes.Buffer
		recorder := history.NewRecorder(&file)
		result, err := load.Run(context.Background(), load.Config{
			Targets: targets, Engines: engines, ToolServices: tools, Deployment: workload.Koudeketting(),
			Programs: 12, Seed: 2, Rate: 20, Speed: 200, StopAfter: 4 * time.Second,
			Tokens: map[contract.Path]string{contract.Root: config.DevCallerToken},
			Branch: config.DevBranch, Model: config.DevModel, Recorder: recorder,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Failed()).To(BeFalse(), result.String())
		Expect(result.Calls).To(BeNumerically(">=", 12))
		Expect(recorder.Flush()).To(Succeed())
		report, err := history.Check(&file)
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Findings).To(BeEmpty(), report.String())
	})

	It("measures how long an idle probe program has no owner", func() {
		fake := &gateway{probes: 1, describesRefused: 20}
		fake.answer = func(request api.SubmitCall, _ int) (string, *api.Error) {
			if fake.described <= fake.describesRefused+1 { // Until the poll that ends the gap has completed.
				return "", api.Refuse(api.CodeOverloaded, "not now").WithRetryAfter(1)
			}
			return ownAnswer(request), nil
		}
		result := runAgainst(fake)
		Expect(result.Unavailability.Count).To(Equal(int64(1)))
		Expect(result.Unavailability.P50).To(BeNumerically(">=", 20*20), "20 refusals, 20 ms apart, in ms")
	})

	It("retries with the same key after a refusal, and counts it", func() {
		result := runAgainst(&gateway{answer: func(request api.SubmitCall, attempts int) (string, *api.Error) {
			if attempts < 3 {
				return "", api.Refuse(api.CodeOverloaded, "not now").WithRetryAfter(1)
			}
			return ownAnswer(request), nil
		}})
		Expect(result.Failed()).To(BeFalse(), result.String())
		Expect(result.Refusals).To(Equal(map[string]int{"overloaded": 2}))
		Expect(result.Interruption.Count).To(BeEquivalentTo(1))
	})

	DescribeTable("fails on an answer that is missing or wrong",
		func(fake *gateway, unanswered, wrong int) {
			result := runAgainst(fake)
			Expect(result.Failed()).To(BeTrue())
			Expect(result.Unanswered).To(Equal(unanswered), result.String())
			Expect(result.WrongAnswers).To(Equal(wrong), result.String())
		},
		Entry("a call is never answered", &gateway{answer: func(api.SubmitCall, int) (string, *api.Error) {
			return "", api.Refuse(api.CodeOverloaded, "never").WithRetryAfter(100)
		}}, 1, 0),
		Entry("an answer belongs to another prompt", &gateway{answer: func(request api.SubmitCall, _ int) (string, *api.Error) {
			request.Input += "!"
			return ownAnswer(request), nil
		}}, 0, 1),
		Entry("the history read back lacks a call", &gateway{omitsLastCall: true, answer: func(request api.SubmitCall, _ int) (string, *api.Error) {
			return ownAnswer(request), nil
		}}, 0, 1),
	)
})
