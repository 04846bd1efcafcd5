package enginemodel_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/emulator/enginemodel"
	"birchwood.example/birchwood/engine"
)

const model = "general"

var start = time.Unix(1_700_000_000, 0)

// driver runs an engine in virtual time and collects its outputs.
type driver struct {
	engine   *enginemodel.Engine
	config   enginemodel.Config
	now      time.Time
	finished map[string]enginemodel.Finished
	order    []string
	events   []engine.CacheEvent
	imported []enginemodel.Imported
}

// newDriver returns a driver for an engine without load reports and event loss.
// change, if set, adjusts its configuration.
func newDriver(change func(*enginemodel.Config)) *driver {
	config := enginemodel.DefaultConfig("e", model)
	config.ReportPeriod = 0
	config.EventLoss = 0
	if change != nil {
		change(&config)
	}
	created, err := enginemodel.New(config, start, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		panic(err)
	}
	return &driver{engine: created, config: config, now: start, finished: make(map[string]enginemodel.Finished)}
}

// step applies an event and collects the outputs.
func (d *driver) step(event enginemodel.Event) error {
	err := d.engine.Step(d.now, event)
	for _, output := range d.engine.Ready(d.now) {
		switch {
		case output.Finished != nil:
			if _, duplicate := d.finished[output.Finished.Stream]; duplicate {
				panic("finished twice: " + output.Finished.Stream)
			}
			d.finished[output.Finished.Stream] = *output.Finished
			d.order = append(d.order, output.Finished.Stream)
		case output.CacheEvent != nil:
			d.events = append(d.events, *output.CacheEvent)
		case output.Imported != nil:
			d.imported = append(d.imported, *output.Imported)
		}
	}
	return err
}

// runUntil advances the time, calling Step only at the times of NextWake.
func (d *driver) runUntil(until time.Time) {
	for {
		next := d.engine.NextWake()
		if next.IsZero() || next.After(until) {
			break
		}
		if next.After(d.now) {
			d.now = next
		}
		_ = d.step(enginemodel.Event{})
	}
	d.now = until
	_ = d.step(enginemodel.Event{})
}

// run advances the time until the engine has no further wake.
func (d *driver) run() {
	for next := d.engine.NextWake(); !next.IsZero(); next = d.engine.NextWake() {
		d.runUntil(next)
	}
}

// generate returns an event that starts a stream.
func generate(stream string, owner api.ProgramID, prompt, output int) enginemodel.Event {
	return enginemodel.Event{Generate: &enginemodel.Generate{
		Stream: stream, Owner: owner, Model: model, PromptTokens: prompt, OutputTokens: output, MaxOutputTokens: output,
	}}
}

var _ = Describe("Continuous batching", func() {
	// batch runs equal calls of different programs concurrently and returns the
	// time until the last has finished.
	batch := func(count int) time.Duration {
		d := newDriver(nil)
		for i := range count {
			name := fmt.Sprint(i)
			Expect(d.step(generate(name, api.ProgramID(name), 100, 200))).To(Succeed())
		}
		last := start
		for len(d.finished) < count {
			last = d.engine.NextWake()
			d.runUntil(last)
		}
		return last.Sub(start)
	}

	It("answers more calls a second in a fuller batch, and each more slowly", func() {
		one, eight := batch(1), batch(8)
		Expect(eight).To(BeNumerically(">", one))
		Expect(eight).To(BeNumerically("<", 4*one))
	})

	It("reaches the throughput that ServiceTime promises when the batch is full", func() {
		d := newDriver(nil)
		const calls = 2000
		for i := range calls {
			name := fmt.Sprint(i)
			Expect(d.step(generate(name, api.ProgramID(name), 300, 100))).To(Succeed())
		}
		for len(d.finished) < calls {
			d.runUntil(d.engine.NextWake())
		}
		measured := d.now.Sub(start) / calls
		promised := d.config.ServiceTime(300, 100)
		Expect(measured.Seconds()).To(BeNumerically("~", promised.Seconds(), promised.Seconds()/20))
	})

	It("serves the queue by priority, lower first, then by arrival", func() {
		d := newDriver(func(c *enginemodel.Config) { c.Slots = 1 })
		for i, priority := range []int{5, 5, 1, 9, 1} {
			event := generate(fmt.Sprint(i), api.ProgramID(fmt.Sprint(i)), 50, 5)
			event.Generate.Priority = priority
			Expect(d.step(event)).To(Succeed())
		}
		d.run()
		Expect(d.order).To(Equal([]string{"0", "2", "4", "1", "3"}))
	})

	It("lets a call join at the next iteration, without waiting for the answers that run", func() {
		d := newDriver(nil)
		Expect(d.step(generate("long", "a", 10, 2000))).To(Succeed())
		d.runUntil(d.now.Add(time.Second))
		Expect(d.step(generate("short", "b", 10, 5))).To(Succeed())
		d.runUntil(d.now.Add(time.Second))
		Expect(d.order).To(Equal([]string{"short"}))
	})

	It("keeps running answers going while a long prompt is computed", func() {
		d := newDriver(nil)
		Expect(d.step(generate("short", "a", 10, 40))).To(Succeed())
		d.runUntil(d.now.Add(100 * time.Millisecond))
		Expect(d.step(generate("long", "b", 20000, 1))).To(Succeed())
		d.run()
		Expect(d.order).To(Equal([]string{"short", "long"}))
	})
})

var _ = Describe("The prefix cache", func() {
	It("computes only what a turn adds, as long as the prefix stays", func() {
		d := newDriver(nil)
		Expect(d.step(generate("p/1", "p", 1000, 50))).To(Succeed())
		d.run()
		Expect(d.step(generate("p/2", "p", 1200, 50))).To(Succeed())
		d.run()
		Expect(d.finished["p/2"].Usage).To(Equal(api.Usage{PromptTokens: 1200, CachedTokens: 1050, OutputTokens: 50}))
		Expect(d.finished["p/2"].Resident).To(Equal(1250))
		fresh := generate("p/3", "p", 1300, 50)
		fresh.Generate.IgnoreCache = true
		Expect(d.step(fresh)).To(Succeed())
		d.run()
		Expect(d.finished["p/3"].Usage.CachedTokens).To(BeZero())
	})

	It("evicts the least recently used prefix, and none that a running sequence uses", func() {
		d := newDriver(func(c *enginemodel.Config) { c.CacheTokens = 3000 })
		for _, owner := range []api.ProgramID{"a", "b", "c"} {
			Expect(d.step(generate(string(owner), owner, 790, 10))).To(Succeed())
			d.run()
		}
		Expect(d.step(generate("a/2", "a", 900, 100))).To(Succeed())
		Expect(d.step(generate("d", "d", 700, 100))).To(Succeed())
		d.run()
		Expect(d.finished["a/2"].Usage.CachedTokens).To(Equal(800))
		var evicted []api.ProgramID
		for _, event := range d.events {
			if event.Evicted {
				evicted = append(evicted, event.Owner)
			}
		}
		Expect(evicted).To(Equal([]api.ProgramID{"b"}))
		Expect(d.engine.Statistics().IdleTokenSeconds).To(BeNumerically(">", 0))
	})

	It("keeps what a cancelled stream had computed", func() {
		d := newDriver(nil)
		Expect(d.step(generate("s", "p", 1000, 500))).To(Succeed())
		d.runUntil(d.now.Add(time.Second))
		Expect(d.step(enginemodel.Event{Cancel: &enginemodel.Cancel{Stream: "s"}})).To(Succeed())
		ended := d.finished["s"]
		Expect(ended.Cancelled).To(BeTrue())
		Expect(ended.Usage.OutputTokens).To(BeNumerically(">", 0))
		Expect(ended.Resident).To(Equal(1000 + ended.Usage.OutputTokens))
	})

	It("holds a program's calls until its prefix has arrived, at the bandwidth", func() {
		d := newDriver(nil)
		Expect(d.step(enginemodel.Event{Import: &enginemodel.Import{Owner: "p", Tokens: 20000}})).To(Succeed())
		Expect(d.step(generate("s", "p", 20100, 10))).To(Succeed())
		d.runUntil(start.Add(999 * time.Millisecond))
		Expect(d.imported).To(BeEmpty())
		Expect(d.engine.Load().Running).To(BeZero())
		d.run()
		Expect(d.imported).To(HaveLen(1))
		Expect(d.finished["s"].Usage.CachedTokens).To(Equal(20000))
	})

	It("reports its changes late, and leaves a gap where an event is lost", func() {
		d := newDriver(func(c *enginemodel.Config) { c.EventLoss = 0.5 })
		for i := range 20 {
			name := fmt.Sprint(i)
			Expect(d.step(generate(name, api.ProgramID(name), 50, 1))).To(Succeed())
		}
		for len(d.finished) < 20 {
			d.runUntil(d.engine.NextWake())
		}
		Expect(d.events).To(BeEmpty(), "the answers are there before the events")
		d.run()
		Expect(len(d.events)).To(BeNumerically("<", 20))
		Expect(d.events[len(d.events)-1].Sequence).To(BeNumerically(">", len(d.events)))
	})
})

var _ = Describe("Orders", func() {
	order := func(o enginemodel.Order) enginemodel.Event { return enginemodel.Event{Order: &o} }

	It("are refused with a fence lower than any seen", func() {
		d := newDriver(nil)
		Expect(d.step(order(enginemodel.Order{Fence: 5, Role: enginemodel.RoleDecode}))).To(Succeed())
		Expect(d.step(order(enginemodel.Order{Fence: 4, Unload: model}))).To(MatchError(enginemodel.ErrStaleFence))
		Expect(d.engine.Models()).To(Equal([]string{model}))
	})

	It("load a version when its weights arrive, and an adapter on it, in limited room", func() {
		d := newDriver(func(c *enginemodel.Config) { c.MaximumModels = 2 })
		Expect(d.step(order(enginemodel.Order{Fence: 1, Load: "general@2+farm"}))).To(MatchError(enginemodel.ErrModelNotLoaded))
		Expect(d.step(order(enginemodel.Order{Fence: 1, Load: "general@2", WeightsIn: 8 * time.Second}))).To(Succeed())
		Expect(d.step(order(enginemodel.Order{Fence: 2, Load: "third"}))).To(MatchError(enginemodel.ErrTooManyModels))
		d.runUntil(start.Add(7 * time.Second))
		Expect(d.engine.Models()).To(Equal([]string{model}))
		d.runUntil(start.Add(8 * time.Second))
		Expect(d.engine.Models()).To(Equal([]string{model, "general@2"}))
		Expect(d.step(order(enginemodel.Order{Fence: 3, Unload: model, Load: "general@2+farm"}))).To(Succeed())
		d.run()
		Expect(d.engine.Models()).To(Equal([]string{"general@2", "general@2+farm"}))
	})

	It("let a leaving engine finish what it has, and take nothing new", func() {
		d := newDriver(nil)
		Expect(d.step(generate("s", "p", 100, 50))).To(Succeed())
		Expect(d.step(enginemodel.Event{Leave: true})).To(Succeed())
		Expect(d.step(generate("t", "q", 100, 50))).To(MatchError(enginemodel.ErrLeaving))
		d.run()
		Expect(d.finished["s"].Usage.OutputTokens).To(Equal(50))
	})
})

// randomEvent draws an event among few programs and streams, so that events often
// concern the same ones.
func randomEvent(t *rapid.T, step int) enginemodel.Event {
	owner := api.ProgramID(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "owner"))
	stream := fmt.Sprintf("%s/%d", owner, rapid.IntRange(max(0, step-6), step).Draw(t, "stream"))
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0:
		return enginemodel.Event{Cancel: &enginemodel.Cancel{Stream: stream}}
	case 1:
		return enginemodel.Event{Release: &enginemodel.Release{Owner: owner}}
	case 2:
		return enginemodel.Event{Import: &enginemodel.Import{Owner: owner, Tokens: rapid.IntRange(1, 900).Draw(t, "tokens")}}
	}
	event := generate(fmt.Sprintf("%s/%d", owner, step), owner,
		rapid.IntRange(1, 1200).Draw(t, "prompt"), rapid.IntRange(1, 120).Draw(t, "output"))
	event.Generate.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
	return event
}

// checkMemory verifies that the engine exceeds neither its KV memory nor its slots.
func checkMemory(t *rapid.T, d *driver) {
	load := d.engine.Load()
	if load.CachedTokens > d.config.CacheTokens || load.Running > d.config.Slots {
		t.Fatalf("%d tokens of %d, %d sequences of %d", load.CachedTokens, d.config.CacheTokens, load.Running, d.config.Slots)
	}
}

var _ = Describe("Any sequence of events", func() {
	It("keeps within memory and slots, ends each stream once, and does not depend on how often time is passed", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			small := func(c *enginemodel.Config) { c.Slots, c.CacheTokens, c.StreamRetention = 3, 3000, time.Hour }
			coarse, fine := newDriver(small), newDriver(small)
			accepted := make(map[string]bool)
			for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
				until := coarse.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "wait")) * time.Millisecond)
				coarse.runUntil(until)
				for fine.now.Before(until) {
					fine.runUntil(minTime(until, fine.now.Add(7*time.Millisecond)))
				}
				event := randomEvent(t, step)
				first, second := coarse.step(event), fine.step(event)
				if fmt.Sprint(first) != fmt.Sprint(second) {
					t.Fatalf("one refuses: %v, %v", first, second)
				}
				if event.Generate != nil && first == nil {
					accepted[event.Generate.Stream] = true
				}
				checkMemory(t, coarse)
			}
			coarse.run()
			fine.run()
			if len(coarse.finished) != len(accepted) {
				t.Fatalf("%d streams ended of %d", len(coarse.finished), len(accepted))
			}
			if fmt.Sprint(coarse.order, coarse.finished, coarse.events) != fmt.Sprint(fine.order, fine.finished, fine.events) {
				t.Fatalf("the runs differ:\n%v\n%v", coarse.finished, fine.finished)
			}
		})
	})
})

// minTime returns the earlier time.
func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
