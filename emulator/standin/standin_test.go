package standin_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/emulator/standin"
	"birchwood.example/birchwood/engine"
	"birchwood.example/birchwood/engine/enginehttp"
	"birchwood.example/birchwood/httpclient"
	"birchwood.example/birchwood/infra"
	"birchwood.example/birchwood/infra/infrahttp"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/tool"
	"birchwood.example/birchwood/tool/toolhttp"
)

const (
	zoneA = "midrand-a"
	zoneB = "midrand-b"
	model = "general"
)

// harness is a running set of stand-ins and the clients of a process in zoneA.
type world struct {
	set      *standin.Set
	platform *infrahttp.Platform
	engines  *enginehttp.Dialer
	tools    *toolhttp.Dialer
}

// start starts two engines with 50 times the default speed and one tool service.
func start() *world {
	set, err := standin.Start(standin.Config{
		Seed:       1,
		MachineLag: time.Millisecond,
		Engines: []standin.EngineConfig{
			{ID: "engine-1", Zone: zoneA, Models: []string{model}, Speed: 50},
			{ID: "engine-2", Zone: zoneB, Models: []string{model}, Speed: 50},
		},
		Tools: []standin.ToolConfig{
			{ID: "depot-1", Zone: zoneA, Kind: "depot-events", Delay: time.Millisecond},
		},
	})
	Expect(err).NotTo(HaveOccurred())
	started := &world{
		set:      set,
		platform: infrahttp.New(httpclient.Options{Address: set.Addresses().Platform, Zone: zoneA, Timeout: 5 * time.Second}),
		engines:  enginehttp.NewDialer(httpclient.Options{Zone: zoneA, Timeout: 20 * time.Second}),
		tools:    toolhttp.NewDialer(httpclient.Options{Zone: zoneA, Timeout: 5 * time.Second}),
	}
	DeferCleanup(func() {
		set.Close()
		started.platform.Close()
		started.engines.Close()
		started.tools.Close()
	})
	return started
}

// engine returns the client of an engine.
func (w *world) engine(id machine.ID) engine.Client {
	return w.engines.Engine(machine.Machine{ID: id, Address: w.set.Addresses().Engines[id]})
}

// tool returns the client of the tool service.
func (w *world) tool() tool.Client {
	return w.tools.Tool(machine.Machine{ID: "depot-1", Address: w.set.Addresses().Tools["depot-1"]})
}

// fault activates a fault.
func (w *world) fault(fault standin.Fault) {
	Expect(w.set.Faults().Add(fault)).To(Succeed())
}

// collect sends a generate request and returns the complete text and the last
// chunk.
func collect(ctx context.Context, client engine.Client, request engine.GenerateRequest) (string, engine.Chunk, error) {
	var text strings.Builder
	var last engine.Chunk
	err := client.Generate(ctx, request, func(chunk engine.Chunk) error {
		if chunk.Offset != request.ResumeFrom+text.Len() {
			return fmt.Errorf("chunk at %d after %d bytes", chunk.Offset, text.Len())
		}
		text.WriteString(chunk.Text)
		last = chunk
		return nil
	})
	return text.String(), last, err
}

// freeAddress returns an address without a listener.
func freeAddress() string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

var _ = Describe("The log service", func() {
	It("appends in order and without gaps, and reads from any offset", func(ctx SpecContext) {
		w := start()
		first, err := w.platform.Append(ctx, "a_b.0", [][]byte{[]byte("one"), []byte("two")})
		Expect(err).NotTo(HaveOccurred())
		Expect(first).To(BeZero())
		first, err = w.platform.Append(ctx, "a_b.0", [][]byte{[]byte("three")})
		Expect(err).NotTo(HaveOccurred())
		Expect(first).To(BeEquivalentTo(2))
		entries, end, err := w.platform.Read(ctx, "a_b.0", 1, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(end).To(BeEquivalentTo(3))
		Expect(entries).To(Equal([][]byte{[]byte("two"), []byte("three")}))
		_, end, err = w.platform.Read(ctx, "never written", 0, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(end).To(BeZero())
	})

	It("leaves the outcome open when the answer is lost after the append", func(ctx SpecContext) {
		w := start()
		w.fault(standin.Fault{Name: "lost", Kind: standin.FaultAnswerLost, Target: standin.TargetLog})
		_, err := w.platform.Append(ctx, "s", [][]byte{[]byte("x")})
		Expect(err).To(HaveOccurred())
		Expect(errors.Is(err, infra.ErrNotAppended)).To(BeFalse())
		w.set.Faults().Remove("lost")
		_, end, err := w.platform.Read(ctx, "s", 0, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(end).To(BeEquivalentTo(1), "the append took effect once")
	})

	DescribeTable("says that nothing was appended only where that is certain",
		func(ctx SpecContext, kind standin.FaultKind, certain bool) {
			w := start()
			w.fault(standin.Fault{Name: "f", Kind: kind, Target: standin.TargetLog})
			_, err := w.platform.Append(ctx, "s", [][]byte{[]byte("x")})
			Expect(err).To(HaveOccurred())
			Expect(errors.Is(err, infra.ErrNotAppended)).To(Equal(certain))
			w.set.Faults().Remove("")
			_, end, err := w.platform.Read(ctx, "s", 0, 10)
			Expect(err).NotTo(HaveOccurred())
			Expect(end).To(BeZero())
		},
		Entry("unavailable", standin.FaultUnavailable, true),
		Entry("down", standin.FaultDown, false),
	)

	It("reports a refused connection as not appended", func(ctx SpecContext) {
		nobody := infrahttp.New(httpclient.Options{Address: freeAddress()})
		_, err := nobody.Append(ctx, "s", [][]byte{[]byte("x")})
		Expect(errors.Is(err, infra.ErrNotAppended)).To(BeTrue())
	})
})

var _ = Describe("The machine list", func() {
	It("shows the stand-ins and announced nodes, and lags when told to", func(ctx SpecContext) {
		w := start()
		node := machine.Machine{ID: "node-1", Kind: machine.KindNode, Zone: zoneA, Address: "127.0.0.1:1", Status: machine.StatusLive}
		Expect(w.platform.Announce(ctx, node)).To(Succeed())
		ids := func() []machine.ID {
			listed, err := w.platform.Machines(ctx)
			Expect(err).NotTo(HaveOccurred())
			var found []machine.ID
			for _, entry := range listed {
				found = append(found, entry.ID)
			}
			return found
		}
		Eventually(ids).Should(Equal([]machine.ID{"depot-1", "engine-1", "engine-2", "node-1"}))
		w.fault(standin.Fault{Name: "lag", Kind: standin.FaultLagging, Target: standin.TargetMachines, DelayMilliseconds: 3600_000})
		Expect(w.platform.Withdraw(ctx, "node-1")).To(Succeed())
		Expect(ids()).NotTo(ContainElement(machine.ID("engine-2")), "an hour ago nothing was there")
		w.set.Faults().Remove("lag")
		Eventually(ids).Should(Equal([]machine.ID{"depot-1", "engine-1", "engine-2"}))
	})

	It("comes whole only when it has changed", func(ctx SpecContext) {
		w := start()
		Eventually(func() (int, error) {
			listed, err := w.platform.Machines(ctx)
			return len(listed), err
		}).Should(Equal(3))
		whole := w.platform.FullLists()
		for range 5 {
			listed, err := w.platform.Machines(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(listed).To(HaveLen(3))
		}
		Expect(w.platform.FullLists()).To(Equal(whole))
		Expect(w.set.Leave("depot-1")).To(Succeed())
		Eventually(func() (uint64, error) {
			_, err := w.platform.Machines(ctx)
			return w.platform.FullLists(), err
		}).Should(Equal(whole + 1))
	})
})

var _ = Describe("A model engine", func() {
	request := engine.GenerateRequest{
		Stream: "p/1/1", Owner: "p", Model: model, Prompt: strings.Repeat("history ", 300), MaxOutputTokens: 64,
	}

	It("streams an answer that is a function of model and prompt, and resumes it at an offset", func(ctx SpecContext) {
		w := start()
		text, last, err := collect(ctx, w.engine("engine-1"), request)
		Expect(err).NotTo(HaveOccurred())
		Expect(last.Done).To(BeTrue())
		Expect(last.Usage).To(Equal(api.Usage{PromptTokens: 600, OutputTokens: len(text) / 4}))
		Expect(last.Resident).To(Equal(600 + len(text)/4))
		resumed := request
		resumed.ResumeFrom = 7
		rest, _, err := collect(ctx, w.engine("engine-1"), resumed)
		Expect(err).NotTo(HaveOccurred())
		Expect(rest).To(Equal(text[7:]))
		again := request
		again.Stream = "p/1/2"
		other, _, err := collect(ctx, w.engine("engine-2"), again)
		Expect(err).NotTo(HaveOccurred())
		Expect(other).To(Equal(text))
		again.Stream, again.Prompt = "q/1/1", request.Prompt+"!"
		other, _, err = collect(ctx, w.engine("engine-2"), again)
		Expect(err).NotTo(HaveOccurred())
		Expect(other[:16]).NotTo(Equal(text[:16]))
	})

	It("answers the next turn from the cached prefix, and forgets it on release", func(ctx SpecContext) {
		w := start()
		text, _, err := collect(ctx, w.engine("engine-1"), request)
		Expect(err).NotTo(HaveOccurred())
		next := request
		next.Stream, next.Prompt = "p/2/1", request.Prompt+text+"and then?"
		_, last, err := collect(ctx, w.engine("engine-1"), next)
		Expect(err).NotTo(HaveOccurred())
		Expect(last.Usage.CachedTokens).To(Equal(600 + len(text)/4))
		Expect(w.engine("engine-1").Release(ctx, "p")).To(Succeed())
		Expect(w.engine("engine-1").Prefixes(ctx)).To(BeEmpty())
	})

	It("moves a prefix to another engine", func(ctx SpecContext) {
		w := start()
		text, _, err := collect(ctx, w.engine("engine-1"), request)
		Expect(err).NotTo(HaveOccurred())
		Expect(w.engine("engine-2").Import(ctx, "p", "engine-1")).To(Succeed())
		Expect(w.engine("engine-1").Prefixes(ctx)).To(BeEmpty())
		next := request
		next.Stream, next.Prompt = "p/2/1", request.Prompt+text+"and then?"
		_, last, err := collect(ctx, w.engine("engine-2"), next)
		Expect(err).NotTo(HaveOccurred())
		Expect(last.Usage.CachedTokens).To(Equal(600 + len(text)/4))
	})

	It("keeps a prefix that the other engine does not take", func(ctx SpecContext) {
		w := start()
		_, _, err := collect(ctx, w.engine("engine-1"), request)
		Expect(err).NotTo(HaveOccurred())
		Expect(w.set.Leave("engine-2")).To(Succeed())
		Expect(w.engine("engine-2").Import(ctx, "p", "engine-1")).NotTo(Succeed())
		Expect(w.engine("engine-1").Prefixes(ctx)).To(HaveLen(1))
	})

	It("says not sent for refusals and refused connections, and not for a cut stream", func(ctx SpecContext) {
		w := start()
		var notSent *engine.NotSentError
		unknown := request
		unknown.Model = "nobody has it"
		_, _, err := collect(ctx, w.engine("engine-1"), unknown)
		Expect(errors.As(err, &notSent)).To(BeTrue())
		nobody := w.engines.Engine(machine.Machine{Address: freeAddress()})
		_, _, err = collect(ctx, nobody, request)
		Expect(errors.As(err, &notSent)).To(BeTrue())
		w.fault(standin.Fault{Name: "lost", Kind: standin.FaultAnswerLost, Target: "engine-1"})
		_, _, err = collect(ctx, w.engine("engine-1"), request)
		Expect(err).To(HaveOccurred())
		Expect(errors.As(err, &notSent)).To(BeFalse())
	})

	It("ends a stream by cancel, and frees the caller when its context ends", func(ctx SpecContext) {
		w := start()
		long := request
		long.Stream, long.MaxOutputTokens = "p/1/1", 40000
		var last engine.Chunk
		err := w.engine("engine-1").Generate(ctx, long, func(chunk engine.Chunk) error {
			last = chunk
			return w.engine("engine-1").Cancel(ctx, long.Stream)
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(last.Error).To(Equal("cancelled"))
		long.Stream = "p/1/2"
		hangUp, cancel := context.WithCancel(ctx)
		err = w.engine("engine-1").Generate(hangUp, long, func(engine.Chunk) error {
			cancel()
			return nil
		})
		Expect(err).To(MatchError(context.Canceled))
	})

	It("loses its streams and prefixes in a restart, and serves again", func(ctx SpecContext) {
		w := start()
		long := request
		long.MaxOutputTokens = 40000
		_, _, err := collect(ctx, w.engine("engine-1"), request)
		Expect(err).NotTo(HaveOccurred())
		long.Stream = "q/1/1"
		err = w.engine("engine-1").Generate(ctx, long, func(chunk engine.Chunk) error {
			return w.set.Restart("engine-1")
		})
		Expect(err).To(MatchError(enginehttp.ErrCutShort))
		Expect(w.engine("engine-1").Prefixes(ctx)).To(BeEmpty())
		_, last, err := collect(ctx, w.engine("engine-1"), request)
		Expect(err).NotTo(HaveOccurred())
		Expect(last.Done).To(BeTrue())
	})

	It("is out of reach from a zone that is cut off, and cuts running streams", func(ctx SpecContext) {
		w := start()
		long := request
		long.MaxOutputTokens = 40000
		err := w.engine("engine-2").Generate(ctx, long, func(chunk engine.Chunk) error {
			return w.set.Faults().Add(standin.Fault{Name: "cut", Kind: standin.FaultCut, From: zoneA, To: zoneB, TwoWay: true})
		})
		Expect(err).To(HaveOccurred())
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err = w.engine("engine-2").Load(short)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		_, err = w.engine("engine-1").Load(ctx)
		Expect(err).NotTo(HaveOccurred())
	})

	It("refuses an order with a stale fence, and loads a model when the store delivers it", func(ctx SpecContext) {
		w := start()
		client := w.engine("engine-1")
		Expect(client.Order(ctx, engine.Order{Fence: 7, Load: "second"})).To(Succeed())
		Expect(client.Order(ctx, engine.Order{Fence: 6, Unload: model})).NotTo(Succeed())
		_, _, err := collect(ctx, client, request)
		Expect(err).NotTo(HaveOccurred(), "the stale order did not unload the model")
	})
})

var _ = Describe("A tool service", func() {
	notice := tool.Request{Key: "p/3/seal 17", Tool: "record_seal_break", Input: "truck 17"}

	It("runs a request, and finds it by its key", func(ctx SpecContext) {
		w := start()
		output, err := w.tool().Run(ctx, notice)
		Expect(err).NotTo(HaveOccurred())
		found, known, err := w.tool().Lookup(ctx, notice.Key)
		Expect(err).NotTo(HaveOccurred())
		Expect(known).To(BeTrue())
		Expect(found).To(Equal(output))
		_, known, err = w.tool().Lookup(ctx, "another key")
		Expect(err).NotTo(HaveOccurred())
		Expect(known).To(BeFalse())
	})

	It("does not send a request twice when the connection closes under it", func(ctx SpecContext) {
		w := start()
		w.fault(standin.Fault{Name: "lost", Kind: standin.FaultAnswerLost, Target: "depot-1"})
		_, err := w.tool().Run(ctx, notice)
		var notSent *engine.NotSentError
		var failed *tool.FailedError
		Expect(err).To(HaveOccurred())
		Expect(errors.As(err, &notSent) || errors.As(err, &failed)).To(BeFalse(), "the outcome is unknown")
		runs := w.set.ToolRuns()["depot-1"]
		Expect(runs).To(HaveLen(1))
		Expect(runs[0].Count).To(Equal(1))
	})

	It("reports its own word that a run failed without effect", func(ctx SpecContext) {
		w := start()
		var failed *tool.FailedError
		_, err := w.tool().Run(ctx, tool.Request{Key: "k", Tool: "no such tool"})
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(w.set.ToolRuns()["depot-1"]).To(BeEmpty())
	})

	It("holds a request while it hangs, without running it", func(ctx SpecContext) {
		w := start()
		w.fault(standin.Fault{Name: "hung", Kind: standin.FaultHung, Target: "depot-1"})
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := w.tool().Run(short, notice)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		w.set.Faults().Remove("hung")
		Expect(w.set.ToolRuns()["depot-1"]).To(BeEmpty())
	})

	It("refuses new work once it leaves, and is listed as leaving", func(ctx SpecContext) {
		w := start()
		Expect(w.set.Leave("depot-1")).To(Succeed())
		_, err := w.tool().Run(ctx, notice)
		Expect(err).To(HaveOccurred())
		Eventually(func() machine.Status {
			listed, err := w.platform.Machines(ctx)
			Expect(err).NotTo(HaveOccurred())
			for _, entry := range listed {
				if entry.ID == "depot-1" {
					return entry.Status
				}
			}
			return ""
		}).Should(Equal(machine.StatusLeaving))
	})
})

var _ = Describe("The configuration", func() {
	It("is refused with every finding and its place", func() {
		_, err := standin.Start(standin.Config{
			Platform: "nowhere",
			Engines:  []standin.EngineConfig{{Zone: "Not A Zone"}},
			Tools:    []standin.ToolConfig{{ID: "t", Zone: zoneA, Kind: "magic"}},
		})
		for _, place := range []string{"platform:", "engines[0].id", "engines[0].zone", "engines[0].models", "tools[0].kind"} {
			Expect(err).To(MatchError(ContainSubstring(place)))
		}
	})
})
