package enginemodel

import (
	"slices"
	"time"

	"birchwood.example/birchwood/api"
)

// timerKind tells what a timer is for.
type timerKind int

const (
	timerReport timerKind = iota
	timerImported
	timerModel
)

// timer is something that happens at a known time.
type timer struct {
	at    time.Time
	kind  timerKind
	owner api.ProgramID
	model string
	fence uint64
}

// addTimer keeps the timers sorted; equal times keep their order.
func (e *Engine) addTimer(added timer) {
	at := len(e.timers)
	for at > 0 && e.timers[at-1].at.After(added.at) {
		at--
	}
	e.timers = slices.Insert(e.timers, at, added)
}

// fire performs a timer.
func (e *Engine) fire(expired timer) {
	switch expired.kind {
	case timerReport:
		measured := e.load()
		e.outputs.addLoad(Output{At: e.clock.Add(e.config.ReportDelay), Load: &measured})
		e.addTimer(timer{at: expired.at.Add(e.config.ReportPeriod), kind: timerReport})
	case timerImported:
		e.endImport(expired.owner)
	case timerModel:
		e.models[expired.model] = true
		e.outputs.add(Output{At: e.clock, ModelReady: expired.model})
	}
}
