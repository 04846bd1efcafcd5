package history_test

import (
	"fmt"
	"slices"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/history"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

const (
	seed      = 42
	placement = zone.Placement("isando_midrand-a")
	chat      = api.ProgramID("cold.0.000000000000000a")
	farm      = api.ProgramID("cold.1.000000000000000b")
	subAgent  = api.ProgramID("cold.0.000000000000000c")
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// at returns the time at the given offset in seconds from the start of the
// history.
func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// builder creates a history that satisfies every invariant.
type builder struct {
	events  []history.Event
	prompts map[api.ProgramID]string
	reads   map[api.ProgramID][]history.ReadCall
}

func (b *builder) add(seconds float64, event history.Event) {
	event.At = at(seconds)
	b.events = append(b.events, event)
}

// open creates a program. The first answer is lost, and a second request with
// the same key is answered.
func (b *builder) open(seconds float64, id, parent api.ProgramID, budget int64) {
	name := fmt.Sprintf("create-%s", id)
	create := history.Sent{Request: name + "-1", Operation: history.OperationCreate, Node: "node-1", Branch: "cold", Key: name}
	b.add(seconds, history.Event{Sent: &create})
	b.add(seconds+0.1, history.Event{Lost: &history.Lost{Request: name + "-1"}})
	again := create
	again.Request = name + "-2"
	b.add(seconds+0.2, history.Event{Sent: &again})
	b.add(seconds+0.3, history.Event{Got: &history.Got{Request: name + "-2", Program: id}})
	b.add(seconds+0.3, history.Event{ProgramCreated: &history.ProgramCreated{
		Program: id, Branch: "cold", Parent: parent, BudgetTokens: budget,
	}})
}

// run performs one call on an engine or a tool service within one second.
func (b *builder) run(seconds float64, id api.ProgramID, sequence uint64, kind api.CallKind, repeatable bool) {
	name := fmt.Sprintf("%s-%d", id, sequence)
	input, output := "in "+name+".", "out "+name+"."
	sent := history.Sent{
		Request: name, Operation: history.OperationSubmit, Node: "node-1", Program: id, Key: name,
		Sequence: sequence, Kind: kind, Repeatable: repeatable, Input: input, OutputCap: 20,
	}
	b.add(seconds, history.Event{Sent: &sent})
	backend := machine.ID("engine-1")
	usage := api.Usage{PromptTokens: 30, OutputTokens: 10}
	started := history.AttemptStarted{Backend: backend, Zone: "isando", Program: id, Sequence: sequence, Attempt: 1, Kind: kind, Repeatable: repeatable}
	b.prompts[id] += input
	started.PromptHash = history.HashText(b.prompts[id])
	if kind == api.CallTool {
		started.Backend, started.PromptHash, usage = "tool-1", 0, api.Usage{}
	}
	b.prompts[id] += output
	b.add(seconds+0.2, history.Event{AttemptStarted: &started})
	b.add(seconds+0.6, history.Event{AttemptFinished: &history.AttemptFinished{
		Backend: started.Backend, Program: id, Sequence: sequence, Attempt: 1,
		Outcome: history.OutcomeSucceeded, Output: output, Usage: usage,
	}})
	b.add(seconds+0.8, history.Event{Got: &history.Got{
		Request: name, Program: id, Sequence: sequence, Status: api.StatusSucceeded, Output: output, Usage: usage,
	}})
	b.reads[id] = append(b.reads[id], history.ReadCall{
		Sequence: sequence, Key: name, Status: api.StatusSucceeded, Input: input, Output: output,
	})
}

// refuse adds a request that is refused as not run. A later request with the
// same key may succeed.
func (b *builder) refuse(seconds float64, id api.ProgramID, sequence uint64) {
	name := fmt.Sprintf("%s-%d", id, sequence)
	b.add(seconds, history.Event{Sent: &history.Sent{
		Request: name + "-refused", Operation: history.OperationSubmit, Node: "node-1", Program: id, Key: name,
		Sequence: sequence, Kind: api.CallModel, Repeatable: true, Input: "in " + name + ".", OutputCap: 20,
	}})
	b.add(seconds+0.05, history.Event{Got: &history.Got{
		Request: name + "-refused", Code: api.CodeOverloaded, Ran: api.RanNotRun,
	}})
}

// describe reads a program's spent budget.
func (b *builder) describe(seconds float64, id api.ProgramID, spent int64) {
	name := fmt.Sprintf("describe-%s-%g", id, seconds)
	b.add(seconds, history.Event{Sent: &history.Sent{Request: name, Operation: history.OperationDescribe, Program: id}})
	b.add(seconds+0.1, history.Event{Got: &history.Got{Request: name, Program: id, SpentTokens: spent}})
}

// change adds an accepted change, with the verdicts of both nodes and its
// activation on them.
func (b *builder) change(seconds float64, id string, based, revision uint64, path string) {
	b.add(seconds+0.2, history.Event{SettingsChange: &history.SettingsChange{
		ID: id, SentAt: at(seconds), BaseRevision: based, Paths: []string{path}, Accepted: true, Revision: revision,
	}})
	for i, node := range []machine.ID{"node-1", "node-2"} {
		delay := 1 + float64(i)
		b.add(seconds+delay, history.Event{Verdict: &history.Verdict{Node: node, ID: id, Accepted: true, Revision: revision}})
		b.add(seconds+delay, history.Event{InForce: &history.InForce{Node: node, Incarnation: 1, Revision: revision}})
	}
}

// validHistory returns a history that satisfies every invariant.
func validHistory() []history.Event {
	b := &builder{prompts: map[api.ProgramID]string{}, reads: map[api.ProgramID][]history.ReadCall{}}
	b.add(0, history.Event{Run: &history.Run{Name: "good", Seed: seed}})
	b.add(0, history.Event{PlacementSet: &history.PlacementSet{Branch: "cold", Placement: placement, Since: at(0)}})
	b.add(0, history.Event{InForce: &history.InForce{Node: "node-1", Incarnation: 1, Revision: 1}})
	b.add(0, history.Event{InForce: &history.InForce{Node: "node-2", Incarnation: 1, Revision: 1}})
	b.change(1, "first", 1, 2, "cold")
	b.change(30, "second", 2, 3, "cold/depot")
	b.open(1, chat, "", 300)
	b.open(1, farm, "", 500)
	b.run(2, chat, 1, api.CallModel, true)
	b.run(2, farm, 1, api.CallModel, true)
	b.describe(3, farm, 40)
	b.run(3, chat, 2, api.CallTool, false)
	b.refuse(4, chat, 3)
	b.run(5, chat, 3, api.CallModel, true)
	b.open(6, subAgent, chat, 100)
	b.run(7, subAgent, 1, api.CallModel, true)
	b.run(8, farm, 2, api.CallModel, true)
	b.describe(9, farm, 80)
	b.add(9, history.Event{Stream: &history.StreamUse{Machine: "node-1", Zone: "isando", Stream: "cold.0", Branch: "cold"}})
	b.add(10, history.Event{EngineCache: &history.EngineCache{Backend: "engine-1", Programs: []api.ProgramID{chat, farm}}})
	for _, id := range []api.ProgramID{chat, farm, subAgent} {
		b.add(11, history.Event{Read: &history.Read{Program: id, SentAt: at(10.5), Calls: b.reads[id]}})
	}
	b.add(12, history.Event{ProgramEnded: &history.ProgramEnded{Program: chat}})
	b.add(12, history.Event{Leaving: &history.Leaving{Backend: "engine-1"}})
	b.run(13, farm, 3, api.CallModel, true)
	b.add(14, history.Event{PlannedStop: &history.PlannedStop{Machine: "node-1"}})
	b.add(20, history.Event{PlannedStop: &history.PlannedStop{Machine: "node-1", Done: true}})
	b.add(60, history.Event{EngineCache: &history.EngineCache{Backend: "engine-1", Programs: []api.ProgramID{chat, farm}}})
	b.add(120, history.Event{EngineCache: &history.EngineCache{Backend: "engine-1", Programs: []api.ProgramID{farm}}})
	b.add(121, history.Event{RunEnded: &history.RunEnded{Settled: true}})
	slices.SortStableFunc(b.events, func(a, b history.Event) int { return a.At.Compare(b.At) })
	return b.events
}
