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

// The model and the tool that every emulated cluster serves.
const (
	modelName = "birch-8b"
	toolName  = "issue_plan_receipt"
)

// bytesPerToken is the nodes' default ratio for estimating token counts.
const bytesPerToken = 4

// Capacities and mean run times of the emulated back ends. These tests don't
// depend on realistic speeds; the bench has a detailed engine model.
const (
	engineSlots       = 8
	engineCacheTokens = 100_000
	meanGeneration    = 300 * time.Millisecond
	meanToolRun       = 150 * time.Millisecond
)

// backendRun is the execution of an attempt at a back end.
type backendRun struct {
	output   string
	usage    api.Usage
	resident int
	finished bool
	// listeners are called when the execution ends; ok is false if it was
	// interrupted.
	listeners []func(ok bool)
}

// end marks the execution as finished and calls its listeners.
func (r *backendRun) end(ok bool) {
	r.finished = true
	listeners := r.listeners
	r.listeners = nil
	for _, listener := range listeners {
		listener(ok)
	}
}

// emulatedEngine is an emulated model engine.
type emulatedEngine struct {
	cluster  *Cluster
	machine  machine.Machine
	down     bool
	streams  map[string]*backendRun
	running  int
	prefixes map[api.ProgramID]int
}

// emulatedTool is an emulated tool service.
type emulatedTool struct {
	cluster *Cluster
	machine machine.Machine
	down    bool
	// hanging means that requests take effect and are never answered.
	hanging bool
	outputs map[string]string
}

// addBackends adds the engines and tool services and starts the renewal of
// their entries in the machine list.
func (c *Cluster) addBackends() {
	for i, name := range c.config.Zones {
		for k := range c.config.EnginesPerZone {
			added := &emulatedEngine{
				cluster: c, streams: map[string]*backendRun{}, prefixes: map[api.ProgramID]int{},
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

// renew renews a back end's entry in the machine list every renewPeriod while
// the back end is up.
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

// tokensOf estimates the tokens of a text as the nodes do.
func tokensOf(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }

// generate starts an answer, or returns the existing one of the same stream.
func (e *emulatedEngine) generate(sent *attempt, prompt string) *backendRun {
	stream := sent.stream()
	if known, found := e.streams[stream]; found {
		return known
	}
	c := e.cluster
	owner := sent.action.Attempt.Program
	execution := &backendRun{output: answerText(prompt, sent.action.Call.MaxOutputTokens)}
	promptTokens := tokensOf(prompt)
	execution.usage = api.Usage{
		PromptTokens: promptTokens,
		CachedTokens: min(e.prefixes[owner], promptTokens),
		OutputTokens: tokensOf(execution.output),
	}
	execution.resident = promptTokens + execution.usage.OutputTokens
	e.streams[stream] = execution
	e.running++
	c.record(history.Event{AttemptStarted: sent.started(e.machine, history.HashText(prompt))})
	c.after(c.jitter(meanGeneration), func() {
		if execution.finished {
			return
		}
		e.running--
		e.prefixes[owner] = execution.resident
		c.record(history.Event{AttemptFinished: sent.finished(history.OutcomeSucceeded, execution)})
		execution.end(true)
	})
	return execution
}

// cancel stops an unfinished stream without listeners. The prompt stays cached.
func (e *emulatedEngine) cancel(sent *attempt) {
	execution, found := e.streams[sent.stream()]
	if !found || execution.finished || len(execution.listeners) > 0 {
		return
	}
	e.running--
	e.prefixes[sent.action.Attempt.Program] = execution.usage.PromptTokens
	e.cluster.record(history.Event{AttemptFinished: sent.finished(history.OutcomeCancelled, &backendRun{usage: api.Usage{}})})
	execution.finished = true
	delete(e.streams, sent.stream())
}

// crash stops the engine: all streams and cached prefixes are lost.
func (e *emulatedEngine) crash() {
	e.down = true
	streams := e.streams
	e.streams = map[string]*backendRun{}
	e.prefixes = map[api.ProgramID]int{}
	e.running = 0
	for _, name := range sortedKeys(streams) {
		if !streams[name].finished {
			streams[name].end(false)
		}
	}
}

// load returns the engine's load report.
func (e *emulatedEngine) load() schedule.Load {
	return schedule.Load{Backend: e.machine.ID, At: e.cluster.now, Running: e.running}
}

// list returns the cached prefixes and records them in the history.
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

// answerText returns the engine's answer, the hash of the prompt, truncated to
// the maximum number of tokens.
func answerText(prompt string, maximumTokens int) string {
	text := fmt.Sprintf("<%016x>", history.HashText(prompt))
	return text[:min(len(text), max(1, maximumTokens)*bytesPerToken)]
}

// execute runs a tool request. It takes effect at once, and again each time the
// same key is sent.
func (t *emulatedTool) execute(sent *attempt) *backendRun {
	c := t.cluster
	key := sent.action.Key
	execution := &backendRun{output: fmt.Sprintf("<tool %016x>", history.HashText(key, sent.action.Call.Input))}
	c.record(history.Event{AttemptStarted: sent.started(t.machine, 0)})
	t.outputs[key] = execution.output
	if t.hanging {
		return execution
	}
	c.after(c.jitter(meanToolRun), func() {
		if t.down {
			execution.end(false)
			return
		}
		c.record(history.Event{AttemptFinished: sent.finished(history.OutcomeSucceeded, execution)})
		execution.end(true)
	})
	return execution
}
