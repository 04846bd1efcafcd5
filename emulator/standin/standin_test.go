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
type harness struct {
	set      *standin.Set
	platform *infrahttp.Platform
	engines  *enginehttp.Dialer
	tools    *toolhttp.Dialer
}

// startHarness starts two engines with 50 times the default speed and one tool
// service.
func startHarness() *harness {
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
	started := &harness{
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
func (h *harness) engine(id machine.ID) engine.Client {
	return h.engines.Engine(machine.Machine{ID: id, Address: h.set.Addresses().Engines[id]})
}

// tool returns the client of the tool service.
func (h *harness) tool() tool.Client {
	return h.tools.Tool(machine.Machine{ID: "depot-1", Address: h.set.Addresses().Tools["depot-1"]})
}

// fault activates a fault.
func (h *harness) fault(fault standin.Fault) {
	Expect(h.set.Faults().Add(fault)).To(Succeed())
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
		h := startHarness()
		first, err := h.platform.Append(ctx, "a_b.0", [][]byte{[]byte("one"), []byte("two")})
		Expect(err).NotTo(HaveOccurred())
		Expect(first).To(BeZero())
		first, err = h.platform.Append(ctx, "a_b.0", [][]byte{[]byte("three")})
		Expect(err).NotTo(HaveOccurred())
		Expect(first).To(BeEquivalentTo(2))
		entries, end, err := h.platform.Read(ctx, "a_b.0", 1, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(end).To(BeEquivalentTo(3))
		Expect(entries).To(Equal([][]byte{[]byte("two"), []byte("three")}))
		_, end, err = h.platform.Read(ctx, "never written", 0, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(end).To(BeZero())
	})

	It("leaves the outcome open when the answer is lost after the append", func(ctx SpecContext) {
		h := startHarness()
		h.fault(standin.Fault{Name: "lost", Kind: standin.FaultAnswerLost, Target: standin.TargetLog})
		_, err := h.platform.Append(ctx, "s", [][]byte{[]byte("x")})
		Expect(err).To(HaveOccurred())
		Expect(errors.Is(err, infra.ErrNotAppended)).To(BeFalse())
		h.set.Faults().Remove("lost")
		_, end, err := h.platform.Read(ctx, "s", 0, 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(end).To(BeEquivalentTo(1), "the append took effect once")
	})

	DescribeTable("says that nothing was appended only where that is certain",
		func(ctx SpecContext, kind standin.FaultKind, certain bool) {
			h := startHarness()
			h.fault(standin.Fault{Name: "f", Kind: kind, Target: standin.TargetLog})
			_, err := h.platform.Append(ctx, "s", [][]byte{[]byte("x")})
			Expect(err).To(HaveOccurred())
			Expect(errors.Is(err, infra.ErrNotAppended)).To(Equal(certain))
			h.set.Faults().Remove("")
			_, end, err := h.platform.Read(ctx, "s", 0, 10)
			Expect(err).NotTo(HaveOccurred())
			Expect(end).To(BeZero())
		},
		Entry("unavailable", standin.FaultUnavailable, true),
		Entry("down", standin.FaultDown, false),
	)

	It("reports a refused connection as not appended", func(ctx SpecContext) {
		noListener := infrahttp.New(httpclient.Options{Address: freeAddress()})
		_, err := noListener.Append(ctx, "s", [][]byte{[]byte("x")})
		Expect(errors.Is(err, infra.ErrNotAppended)).To(BeTrue())
	})
})

var _ = Describe("The machine list", func() {
	It("shows the stand-ins and announced nodes, and lags under a lagging fault", func(ctx SpecContext) {
		h := startHarness()
		node := machine.Machine{ID: "node-1", Kind: machine.KindNode, Zone: zoneA, Address: "127.0.0.1:1", Status: machine.StatusLive}
		Expect(h.platform.Announce(ctx, node)).To(Succeed())
		ids := func() []machine.ID {
			listed, err := h.platform.Machines(ctx)
			Expect(err).NotTo(HaveOccurred())
			var found []machine.ID
			for _, entry := range listed {
				found = append(found, entry.ID)
			}
			return found
		}
		Eventually(ids).Should(Equal([]machine.ID{"depot-1", "engine-1", "engine-2", "node-1"}))
		h.fault(standin.Fault{Name: "lag", Kind: standin.FaultLagging, Target: standin.TargetMachines, DelayMilliseconds: 3600_000})
		Expect(h.platform.Withdraw(ctx, "node-1")).To(Succeed())
		Expect(ids()).NotTo(ContainElement(machine.ID("engine-2")), "an hour ago nothing was there")
		h.set.Faults().Remove("lag")
		Eventually(ids).Should(Equal([]machine.ID{"depot-1", "engine-1", "engine-2"}))
	})

	It("is sent in full only when it has changed", func(ctx SpecContext) {
		h := startHarness()
		Eventually(func() (int, error) {
			listed, err := h.platform.Machines(ctx)
			return len(listed), err
		}).Should(Equal(3))
		fullLists := h.platform.FullListFetches()
		for range 5 {
			listed, err := h.platform.Machines(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(listed).To(HaveLen(3))
		}
		Expect(h.platform.FullListFetches()).To(Equal(fullLists))
		Expect(h.set.Leave("depot-1")).To(Succeed())
		Eventually(func() (uint64, error) {
			_, err := h.platform.Machines(ctx)
			return h.platform.FullListFetches(), err
		}).Should(Equal(fullLists + 1))
	})
})

var _ = Describe("A model engine", func() {
	request := engine.GenerateRequest{
		Stream: "p/1/1", Owner: "p", Model: model, Prompt: strings.Repeat("history ", 300), MaxOutputTokens: 64,
	}

	It("streams an answer that is a function of model and prompt, and resumes it at an offset", func(ctx SpecContext) {
		h := startHarness()
		text, last, err := collect(ctx, h.engine("engine-1"), request)
		Expect(err).NotTo(HaveOccurred())
		Expect(last.Done).To(BeTrue())
		Expect(last.Usage).To(Equal(api.Usage{PromptTokens: 600, OutputTokens: len(text) / 4}))
		Expect(last.ResidentTokens).To(Equal(600 + len(text)/4))
		resumed := request
		resumed.ResumeFrom = 7
		rest, _, err := collect(ctx, h.engine("engine-1"), resumed)
		Expect(err).NotTo(HaveOccurred())
		Expect(rest).To(Equal(text[7:]))
		retried := request
		retried.Stream = "p/1/2"
		other, _, err := collect(ctx, h.engine("engine-2"), retried)
		Expect(err).NotTo(HaveOccurred())
		Expect(other).To(Equal(text))
		retried.Stream, retried.Prompt = "q/1/1", request.Prompt+"!"
		other, _, err = collect(ctx, h.engine("engine-2"), retried)
		Expect(err).NotTo(HaveOccurred())
		Expect(other[:16]).NotTo(Equal(text[:16]))
	})

	It("answers the next turn from the cached prefix, and forgets it on release", func(ctx SpecContext) {
		h := startHarness()
		text, _, err := collect(ctx, h.engine("engine-1"), request)
		Expect(err).NotTo(HaveOccurred())
		next := request
		next.Stream, next.Prompt = "p/2/1", request.Prompt+text+"and then?"
		_, last, err := collect(ctx, h.engine("engine-1"), next)
		Expect(err).NotTo(HaveOccurred())
		Expect(last.Usage.CachedTokens).To(Equal(600 + len(text)/4))
		Expect(h.engine("engine-1").Release(ctx, "p")).To(Succeed())
		Expect(h.engine("engine-1").Prefixes(ctx)).To(BeEmpty())
	})

	It("moves a prefix to another engine", func(ctx SpecContext) {
		h := startHarness()
		text, _, err := collect(ctx, h.engine("engine-1"), request)
		Expect(err).NotTo(HaveOccurred())
		Expect(h.engine("engine-2").Import(ctx, "p", "engine-1")).To(Succeed())
		Expect(h.engine("engine-1").Prefixes(ctx)).To(BeEmpty())
		next := request
		next.Stream, next.Prompt = "p/2/1", request.Prompt+text+"and then?"
		_, last, err := collect(ctx, h.engine("engine-2"), next)
		Expect(err).NotTo(HaveOccurred())
		Expect(last.Usage.CachedTokens).To(Equal(600 + len(text)/4))
	})

	It("keeps a prefix that the other engine does not take", func(ctx SpecContext) {
		h := startHarness()
		_, _, err := collect(ctx, h.engine("engine-1"), request)
		Expect(err).NotTo(HaveOccurred())
		Expect(h.set.Leave("engine-2")).To(Succeed())
		Expect(h.engine("engine-2").Import(ctx, "p", "engine-1")).NotTo(Succeed())
		Expect(h.engine("engine-1").Prefixes(ctx)).To(HaveLen(1))
	})

	It("reports refusals and refused connections as not sent, but not an interrupted stream", func(ctx SpecContext) {
		h := startHarness()
		var notSent *engine.NotSentError
		unknown := request
		unknown.Model = "nobody has it"
		_, _, err := collect(ctx, h.engine("engine-1"), unknown)
		Expect(errors.As(err, &notSent)).To(BeTrue())
		noListener := h.engines.Engine(machine.Machine{Address: freeAddress()})
		_, _, err = collect(ctx, noListener, request)
		Expect(errors.As(err, &notSent)).To(BeTrue())
		h.fault(standin.Fault{Name: "lost", Kind: standin.FaultAnswerLost, Target: "engine-1"})
		_, _, err = collect(ctx, h.engine("engine-1"), request)
		Expect(err).To(HaveOccurred())
		Expect(errors.As(err, &notSent)).To(BeFalse())
	})

	It("ends a stream by cancel, and frees the caller when its context ends", func(ctx SpecContext) {
		h := startHarness()
		long := request
		long.Stream, long.MaxOutputTokens = "p/1/1", 40000
		var last engine.Chunk
		err := h.engine("engine-1").Generate(ctx, long, func(chunk engine.Chunk) error {
			last = chunk
			return h.engine("engine-1").Cancel(ctx, long.Stream)
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(last.Error).To(Equal("cancelled"))
		long.Stream = "p/1/2"
		callContext, cancel := context.WithCancel(ctx)
		err = h.engine("engine-1").Generate(callContext, long, func(engine.Chunk) error {
			cancel()
			return nil
		})
		Expect(err).To(MatchError(context.Canceled))
	})

	It("loses its streams and prefixes in a restart, and serves again", func(ctx SpecContext) {
		h := startHarness()
		long := request
		long.MaxOutputTokens = 40000
		_, _, err := collect(ctx, h.engine("engine-1"), request)
		Expect(err).NotTo(HaveOccurred())
		long.Stream = "q/1/1"
		err = h.engine("engine-1").Generate(ctx, long, func(chunk engine.Chunk) error {
			return h.set.Restart("engine-1")
		})
		Expect(err).To(MatchError(enginehttp.ErrCutShort))
		Expect(h.engine("engine-1").Prefixes(ctx)).To(BeEmpty())
		_, last, err := collect(ctx, h.engine("engine-1"), request)
		Expect(err).NotTo(HaveOccurred())
		Expect(last.Done).To(BeTrue())
	})

	It("is unreachable from a zone behind a network partition, which interrupts running streams", func(ctx SpecContext) {
		h := startHarness()
		long := request
		long.MaxOutputTokens = 40000
		err := h.engine("engine-2").Generate(ctx, long, func(chunk engine.Chunk) error {
			return h.set.Faults().Add(standin.Fault{Name: "cut", Kind: standin.FaultNetworkPartition, From: zoneA, To: zoneB, TwoWay: true})
		})
		Expect(err).To(HaveOccurred())
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err = h.engine("engine-2").Load(short)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		_, err = h.engine("engine-1").Load(ctx)
		Expect(err).NotTo(HaveOccurred())
	})

	It("refuses an order with a stale fence, and loads a model when the store delivers it", func(ctx SpecContext) {
		h := startHarness()
		client := h.engine("engine-1")
		Expect(client.Order(ctx, engine.Order{Fence: 7, Load: "second"})).To(Succeed())
		Expect(client.Order(ctx, engine.Order{Fence: 6, Unload: model})).NotTo(Succeed())
		_, _, err := collect(ctx, client, request)
		Expect(err).NotTo(HaveOccurred(), "the stale order did not unload the model")
	})
})

var _ = Describe("A tool service", func() {
	notice := tool.Request{Key: "p/3/seal 17", Tool: "record_seal_break", Input: "truck 17"}

	It("runs a request, and finds it by its key", func(ctx SpecContext) {
		h := startHarness()
		output, err := h.tool().Run(ctx, notice)
		Expect(err).NotTo(HaveOccurred())
		found, known, err := h.tool().Lookup(ctx, notice.Key)
		Expect(err).NotTo(HaveOccurred())
		Expect(known).To(BeTrue())
		Expect(found).To(Equal(output))
		_, known, err = h.tool().Lookup(ctx, "another key")
		Expect(err).NotTo(HaveOccurred())
		Expect(known).To(BeFalse())
	})

	It("does not send a request twice when the connection closes under it", func(ctx SpecContext) {
		h := startHarness()
		h.fault(standin.Fault{Name: "lost", Kind: standin.FaultAnswerLost, Target: "depot-1"})
		_, err := h.tool().Run(ctx, notice)
		var notSent *engine.NotSentError
		var failed *tool.FailedError
		Expect(err).To(HaveOccurred())
		Expect(errors.As(err, &notSent) || errors.As(err, &failed)).To(BeFalse(), "the outcome is unknown")
		runs := h.set.ToolRuns()["depot-1"]
		Expect(runs).To(HaveLen(1))
		Expect(runs[0].Count).To(Equal(1))
	})

	It("returns the service's report that a run failed without effect", func(ctx SpecContext) {
		h := startHarness()
		var failed *tool.FailedError
		_, err := h.tool().Run(ctx, tool.Request{Key: "k", Tool: "no such tool"})
		Expect(errors.As(err, &failed)).To(BeTrue())
		Expect(h.set.ToolRuns()["depot-1"]).To(BeEmpty())
	})

	It("holds a request while it hangs, without running it", func(ctx SpecContext) {
		h := startHarness()
		h.fault(standin.Fault{Name: "hung", Kind: standin.FaultHung, Target: "depot-1"})
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := h.tool().Run(short, notice)
		Expect(err).To(MatchError(context.DeadlineExceeded))
		h.set.Faults().Remove("hung")
		Expect(h.set.ToolRuns()["depot-1"]).To(BeEmpty())
	})

	It("refuses new work once it leaves, and is listed as leaving", func(ctx SpecContext) {
		h := startHarness()
		Expect(h.set.Leave("depot-1")).To(Succeed())
		_, err := h.tool().Run(ctx, notice)
		Expect(err).To(HaveOccurred())
		Eventually(func() machine.Status {
			listed, err := h.platform.Machines(ctx)
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
