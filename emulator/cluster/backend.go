package cluster

import (
	"fmt"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/engine"
	"birchwood.example/birchwood/history"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/schedule"
)

// The models and tools of every emulated cluster.
const (
	modelName = "birch-8b"
	toolName  = "issue_plan_receipt"
)

// bytesPerToken is how nodes count tokens by default.
const bytesPerToken = 4

// The shapes of the emulated back ends. Their speed matters little here; the
// bench has a model of engines for that.
const (
	engineSlots       = 8
	engineCacheTokens = 100_000
	meanGeneration    = 300 * time.Millisecond
	meanToolRun       = 150 * time.Millisecond
)

// run is one attempt that a back end has begun.
type run struct {
	output   string
	usage    api.Usage
	resident int
	finished bool
	// listeners are told how the run ended; ok is false when it was cut.
	listeners []func(ok bool)
}

// end tells the listeners.
func (r *run) end(ok bool) {
	r.finished = true
	listeners := r.listeners
	r.listeners = nil
	for _, listener := range listeners {
		listener(ok)
	}
}

// emulatedEngine is a model engine.
type emulatedEngine struct {
	cluster  *Cluster
	machine  machine.Machine
	down     bool
	streams  map[string]*run
	running  int
	prefixes map[api.ProgramID]int
}

// emulatedTool is a tool service.
type emulatedTool struct {
	cluster *Cluster
	machine machine.Machine
	down    bool
	// hanging: requests take effect and are never answered.
	hanging bool
	outputs map[string]string
}

// addBackends adds the engines and tool services, which renew their entries in
// the machine list.
func (c *Cluster) addBackends() {
	for i, name := range c.config.Zones {
		for k := range c.config.EnginesPerZone {
			added := &emulatedEngine{
				cluster: c, streams: map[string]*run{}, prefixes: map[api.ProgramID]int{},
				machine: machine.Machine{
					ID:   machine.ID(fmt.Sprintf("engine-%d", i*c.config.EnginesPerZone+k+1)),
					Kind: machine.KindEngine, Zone: name, Address: fmt.Sprintf("10.0.1.%d:7000", i*c.config.EnginesPerZone+k+1),
					Status: machine.StatusLive, Models: []string{modelName}, Slots: engineSlots, CacheTokens: engineCacheTokens,
				},
			}
			c.engines = append(c.engines, added)
			c.renew(&added.machine, &added.down)
		}
	}
	for i := range c.config.Tools {
		added := &emulatedTool{cluster: c, outputs: map[string]string{}, machine: machine.Machine{
			ID: machine.ID(fmt.Sprintf("tool-%d", i+1)), Kind: machine.KindTool,
			Zone: c.config.Zones[i%len(c.config.Zones)], Address: fmt.Sprintf("10.0.2.%d:7000", i+1),
			Status: machine.StatusLive, Tools: []string{toolName},
		}}
		c.tools = append(c.tools, added)
		c.renew(&added.machine, &added.down)
	}
}

// renew keeps a back end in the machine list while it runs.
func (c *Cluster) renew(entry *machine.Machine, down *bool) {
	if !*down {
		c.machines.Announce(c.now, *entry)
	}
	c.after(renewPeriod, func() { c.renew(entry, down) })
}

// engine returns the engine with the id, or nil.
func (c *Cluster) engine(id machine.ID) *emulatedEngine {
	for _, each := range c.engines {
		if each.machine.ID == id {
			return each
		}
	}
	return nil
}

// tool returns the tool service with the id, or nil.
func (c *Cluster) tool(id machine.ID) *emulatedTool {
	for _, each := range c.tools {
		if each.machine.ID == id {
			return each
		}
	}
	return nil
}

// tokensOf counts the tokens of a text as the nodes do.
func tokensOf(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }

// generate begins an answer, or joins the one of the same stream.
func (e *emulatedEngine) generate(sent *attempt, prompt string) *run {
	stream := sent.stream()
	if known, found := e.streams[stream]; found {
		return known
	}
	c := e.cluster
	owner := sent.action.Attempt.Program
	begun := &run{output: answerText(prompt, sent.action.Call.MaxOutputTokens)}
	promptTokens := tokensOf(prompt)
	begun.usage = api.Usage{
		PromptTokens: promptTokens,
		CachedTokens: min(e.prefixes[owner], promptTokens),
		OutputTokens: tokensOf(begun.output),
	}
	begun.resident = promptTokens + begun.usage.OutputTokens
	e.streams[stream] = begun
	e.running++
	c.record(history.Event{AttemptStarted: sent.started(e.machine, history.HashText(prompt))})
	c.after(c.jitter(meanGeneration), func() {
		if begun.finished {
			return
		}
		e.running--
		e.prefixes[owner] = begun.resident
		c.record(history.Event{AttemptFinished: sent.finished(history.OutcomeSucceeded, begun)})
		begun.end(true)
	})
	return begun
}

// cancel stops a stream that nobody follows any more. What it computed stays
// cached.
func (e *emulatedEngine) cancel(sent *attempt) {
	begun, found := e.streams[sent.stream()]
	if !found || begun.finished || len(begun.listeners) > 0 {
		return
	}
	e.running--
	e.prefixes[sent.action.Attempt.Program] = begun.usage.PromptTokens
	e.cluster.record(history.Event{AttemptFinished: sent.finished(history.OutcomeCancelled, &run{usage: api.Usage{}})})
	begun.finished = true
	delete(e.streams, sent.stream())
}

// crash loses all streams and prefixes.
func (e *emulatedEngine) crash() {
	e.down = true
	streams := e.streams
	e.streams = map[string]*run{}
	e.prefixes = map[api.ProgramID]int{}
	e.running = 0
	for _, name := range sortedKeys(streams) {
		if !streams[name].finished {
			streams[name].end(false)
		}
	}
}

// load is the engine's report.
func (e *emulatedEngine) load() schedule.Load {
	return schedule.Load{Backend: e.machine.ID, At: e.cluster.now, Running: e.running}
}

// list returns the cached prefixes, and records them.
func (e *emulatedEngine) list() []engine.Prefix {
	var listed []engine.Prefix
	held := &history.EngineCache{Backend: e.machine.ID}
	for _, owner := range sortedKeys(e.prefixes) {
		listed = append(listed, engine.Prefix{Owner: owner, Tokens: e.prefixes[owner]})
		held.Programs = append(held.Programs, owner)
	}
	e.cluster.record(history.Event{EngineCache: held})
	return listed
}

// answerText is the engine's answer: its hash names the prompt.
func answerText(prompt string, maximumTokens int) string {
	text := fmt.Sprintf("<%016x>", history.HashText(prompt))
	return text[:min(len(text), max(1, maximumTokens)*bytesPerToken)]
}

// execute runs a tool request: it takes effect at once, as often as it comes.
func (t *emulatedTool) execute(sent *attempt) *run {
	c := t.cluster
	key := sent.action.Key
	begun := &run{output: fmt.Sprintf("<tool %016x>", history.HashText(key, sent.action.Call.Input))}
	c.record(history.Event{AttemptStarted: sent.started(t.machine, 0)})
	t.outputs[key] = begun.output
	if t.hanging {
		return begun
	}
	c.after(c.jitter(meanToolRun), func() {
		if t.down {
			begun.end(false)
			return
		}
		c.record(history.Event{AttemptFinished: sent.finished(history.OutcomeSucceeded, begun)})
		begun.end(true)
	})
	return begun
}
