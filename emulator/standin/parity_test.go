package standin_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/emulator/enginemodel"
	"birchwood.example/birchwood/emulator/standin"
	"birchwood.example/birchwood/engine"
	"birchwood.example/birchwood/engine/enginehttp"
	"birchwood.example/birchwood/httpclient"
	"birchwood.example/birchwood/machine"
)

const (
	paritySeed   = 5
	paritySpeed  = 100
	parityCache  = 2500
	parityOutput = 48
)

// turn is one request of the sequence that both engines receive.
type turn struct {
	owner   api.ProgramID
	release bool
	input   int // bytes
}

// parityTurns returns turns of five programs whose prefixes exceed the cache.
func parityTurns() []turn {
	random := rand.New(rand.NewPCG(paritySeed, 0))
	turns := make([]turn, 40)
	for i := range turns {
		turns[i] = turn{
			owner:   api.ProgramID(fmt.Sprintf("p%d", random.IntN(5))),
			release: random.IntN(8) == 0,
			input:   200 + random.IntN(1200),
		}
	}
	return turns
}

// observed is the observable result of one request.
type observed struct {
	usage    api.Usage
	resident int
}

// evictions returns the events of evicted prefixes.
func evictions(events []engine.CacheEvent) []engine.CacheEvent {
	var found []engine.CacheEvent
	for _, event := range events {
		if event.Evicted {
			found = append(found, event)
		}
	}
	return found
}

// conversation holds the histories of the programs, as a node does.
type conversation struct {
	histories map[api.ProgramID]string
	sequence  int
}

// request builds the next request of a program.
func (c *conversation) request(next turn) engine.GenerateRequest {
	c.sequence++
	prompt := c.histories[next.owner] + strings.Repeat("x", next.input)
	return engine.GenerateRequest{
		Stream: fmt.Sprintf("%s/%d/1", next.owner, c.sequence), Owner: next.owner, Model: model,
		Prompt: prompt, MaxOutputTokens: parityOutput,
	}
}

// parityRates returns the engine model's configuration, equal to that of the
// stand-in.
func parityRates() enginemodel.Config {
	rates := enginemodel.DefaultConfig("engine", model).Faster(paritySpeed)
	rates.CacheTokens = parityCache
	return rates
}

var _ = Describe("The stand-in engine and the emulated engine", func() {
	It("show the same usage, cached tokens, evictions and answers for the same requests", func(ctx SpecContext) {
		set, err := standin.Start(standin.Config{Seed: paritySeed, Engines: []standin.EngineConfig{
			{ID: "engine", Zone: zoneA, Models: []string{model}, CacheTokens: parityCache, Speed: paritySpeed},
		}})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(set.Close)
		dialer := enginehttp.NewDialer(httpclient.Options{Zone: zoneA, Timeout: 20 * time.Second})
		DeferCleanup(dialer.Close)
		client := dialer.Engine(machine.Machine{Address: set.Addresses().Engines["engine"]})

		now := time.Unix(1_700_000_000, 0)
		emulated, err := enginemodel.New(parityRates(), now, rand.New(rand.NewPCG(paritySeed, 1)))
		Expect(err).NotTo(HaveOccurred())

		programs := conversation{histories: make(map[api.ProgramID]string)}
		var expected []engine.CacheEvent
		for _, next := range parityTurns() {
			if next.release {
				Expect(client.Release(ctx, next.owner)).To(Succeed())
				Expect(emulated.Step(now, enginemodel.Event{Release: &enginemodel.Release{Owner: next.owner}})).To(Succeed())
				continue
			}
			request := programs.request(next)
			text, last, err := collect(ctx, client, request)
			Expect(err).NotTo(HaveOccurred())
			var ended enginemodel.Finished
			now, ended, expected = emulate(emulated, now, request, expected)
			Expect(observed{last.Usage, last.ResidentTokens}).To(Equal(observed{ended.Usage, ended.Resident}), request.Stream)
			Expect(text).To(HaveLen(4 * ended.Usage.OutputTokens))
			programs.histories[next.owner] = request.Prompt + text
		}
		now = now.Add(time.Minute)
		_ = emulated.Step(now, enginemodel.Event{})
		expected = append(expected, cacheEvents(emulated.Ready(now))...)
		Expect(evictions(expected)).NotTo(BeEmpty(), "the sequence presses on the cache")
		Eventually(func() ([]engine.CacheEvent, error) { return client.Events(ctx, 0) }).
			WithTimeout(10 * time.Second).Should(Equal(expected))
	})
})

// emulate runs one request to its end in virtual time. It returns the time of the
// end, the result, and the cache events appended to the given ones.
func emulate(emulated *enginemodel.Engine, now time.Time, request engine.GenerateRequest, events []engine.CacheEvent) (time.Time, enginemodel.Finished, []engine.CacheEvent) {
	output := standin.AnswerTokens(request.Model, request.Prompt, request.MaxOutputTokens)
	Expect(emulated.Step(now, enginemodel.Event{Generate: &enginemodel.Generate{
		Stream: request.Stream, Owner: request.Owner, Model: request.Model,
		PromptTokens: (len(request.Prompt) + 3) / 4, OutputTokens: output, MaxOutputTokens: request.MaxOutputTokens,
	}})).To(Succeed())
	for {
		now = emulated.NextWake()
		_ = emulated.Step(now, enginemodel.Event{})
		ready := emulated.Ready(now)
		events = append(events, cacheEvents(ready)...)
		for _, output := range ready {
			if output.Finished != nil {
				return now, *output.Finished, events
			}
		}
	}
}

// cacheEvents returns the cache events among an engine's outputs.
func cacheEvents(outputs []enginemodel.Output) []engine.CacheEvent {
	var events []engine.CacheEvent
	for _, output := range outputs {
		if output.CacheEvent != nil {
			events = append(events, *output.CacheEvent)
		}
	}
	return events
}
