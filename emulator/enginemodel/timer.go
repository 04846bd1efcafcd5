package enginemodel

import (
	"slices"
	"time"

	"birchwood.example/birchwood/api"
)

// timerKind is what a timer triggers.
type timerKind int

const (
	timerReport   timerKind = iota // load report
	timerImported                  // end of an import
	timerModel                     // end of a model's load
)

// timer is an internal change that is scheduled for a time.
type timer struct {
	at    time.Time
	kind  timerKind
	owner api.ProgramID
	model string
	fence uint64
}

// addTimer inserts a timer. The timers are sorted by time, those of equal time in
// the order of insertion.
func (e *Engine) addTimer(added timer) {
	at := len(e.timers)
	for at > 0 && e.timers[at-1].at.After(added.at) {
		at--
	}
	e.timers = slices.Insert(e.timers, at, added)
}

// fire performs the action of an expired timer.
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
