package history

import (
	"cmp"
	"slices"
	"time"

	"birchwood.example/birchwood/api"
)

// record is an event with its line number over all files.
type record struct {
	Event
	line int
}

// exchange is a request with its answer or its lost connection, if recorded.
type exchange struct {
	sent *record
	got  *record
	lost *record
}

// callRef identifies a call within a history.
type callRef struct {
	program  api.ProgramID
	sequence uint64
}

// call holds the records about one call of a program.
type call struct {
	ref       callRef
	exchanges []*exchange
	started   []*record
	finished  []*record
	ended     []*record
}

// programRecords holds the records about one program.
type programRecords struct {
	id              api.ProgramID
	created         []*record
	acknowledgedEnd *record
	reads           []*record
	// calls are sorted by sequence number.
	calls []*call
}

// index groups the records of a history for the checks.
type index struct {
	run       Run
	records   []record
	end       time.Time
	settled   bool
	exchanges []*exchange
	programs  []*programRecords
	byProgram map[api.ProgramID]*programRecords
	byCall    map[callRef]*call
	held      []*record
	streams   []*record
	// placements holds the placements of each branch in order of time.
	placements   map[string][]*record
	changes      []*record
	verdicts     []*record
	inForce      []*record
	faults       []*record
	leaving      []*record
	plannedStops []*record
	gaps         []*record
}

// The default bounds of the invariants.
const (
	defaultLeavingBound  = 3 * time.Second
	defaultSettingsBound = 17 * time.Second
	defaultMemoryBound   = 60 * time.Second
	defaultMoveBound     = 60 * time.Second
)

// newIndex sorts the records by time and groups them.
func newIndex(records []record) *index {
	slices.SortStableFunc(records, func(a, b record) int { return a.At.Compare(b.At) })
	x := &index{
		records:    records,
		byProgram:  map[api.ProgramID]*programRecords{},
		byCall:     map[callRef]*call{},
		placements: map[string][]*record{},
	}
	requests := map[string]*exchange{}
	for i := range records {
		x.add(&records[i], requests)
	}
	x.assignExchanges()
	for _, program := range x.programs {
		slices.SortFunc(program.calls, func(a, b *call) int { return cmp.Compare(a.ref.sequence, b.ref.sequence) })
	}
	x.run.LeavingBound = cmp.Or(x.run.LeavingBound, defaultLeavingBound)
	x.run.SettingsBound = cmp.Or(x.run.SettingsBound, defaultSettingsBound)
	x.run.MoveBound = cmp.Or(x.run.MoveBound, defaultMoveBound)
	x.run.MemoryBound = cmp.Or(x.run.MemoryBound, defaultMemoryBound)
	return x
}

// add indexes one record.
func (x *index) add(r *record, requests map[string]*exchange) {
	x.end = r.At
	switch {
	case r.Run != nil:
		x.run = *r.Run
	case r.RunEnded != nil:
		x.settled = r.RunEnded.Settled
	case r.Sent != nil:
		each := &exchange{sent: r}
		requests[r.Sent.Request] = each
		x.exchanges = append(x.exchanges, each)
	case r.Got != nil:
		if each, found := requests[r.Got.Request]; found {
			each.got = r
		}
	case r.Lost != nil:
		if each, found := requests[r.Lost.Request]; found {
			each.lost = r
		}
	default:
		x.addProgramRecord(r)
	}
}

// addProgramRecord indexes a record about the state of a program or a call.
func (x *index) addProgramRecord(r *record) {
	switch {
	case r.Read != nil:
		program := x.program(r.Read.Program)
		program.reads = append(program.reads, r)
	case r.AttemptStarted != nil:
		each := x.call(callRef{r.AttemptStarted.Program, r.AttemptStarted.Sequence})
		each.started = append(each.started, r)
	case r.AttemptFinished != nil:
		each := x.call(callRef{r.AttemptFinished.Program, r.AttemptFinished.Sequence})
		each.finished = append(each.finished, r)
	case r.CallEnded != nil:
		each := x.call(callRef{r.CallEnded.Program, r.CallEnded.Sequence})
		each.ended = append(each.ended, r)
	case r.ProgramCreated != nil:
		program := x.program(r.ProgramCreated.Program)
		program.created = append(program.created, r)
	case r.ProgramEnded != nil:
		program := x.program(r.ProgramEnded.Program)
		if program.acknowledgedEnd == nil {
			program.acknowledgedEnd = r
		}
	default:
		x.addEnvironmentRecord(r)
	}
}

// addEnvironmentRecord indexes a record about machines, placements or settings.
func (x *index) addEnvironmentRecord(r *record) {
	switch {
	case r.EngineCache != nil:
		x.held = append(x.held, r)
	case r.PlacementSet != nil:
		x.placements[r.PlacementSet.Branch] = append(x.placements[r.PlacementSet.Branch], r)
	case r.Stream != nil:
		x.streams = append(x.streams, r)
	case r.SettingsChange != nil:
		x.changes = append(x.changes, r)
	case r.Verdict != nil:
		x.verdicts = append(x.verdicts, r)
	case r.InForce != nil:
		x.inForce = append(x.inForce, r)
	case r.Fault != nil:
		x.faults = append(x.faults, r)
	case r.Leaving != nil:
		x.leaving = append(x.leaving, r)
	case r.PlannedStop != nil:
		x.plannedStops = append(x.plannedStops, r)
	case r.Gap != nil:
		x.gaps = append(x.gaps, r)
	}
}

// assignExchanges assigns each submit and attach request to its call: by the
// sequence number in the answer or the request, or else by the sequence number
// of another request with the same key.
func (x *index) assignExchanges() {
	type keyRef struct {
		program api.ProgramID
		key     string
	}
	byKey := map[keyRef]uint64{}
	for _, each := range x.exchanges {
		if sequence := each.sequence(); sequence != 0 && each.sent.Sent.Key != "" {
			byKey[keyRef{each.sent.Sent.Program, each.sent.Sent.Key}] = sequence
		}
	}
	for _, each := range x.exchanges {
		sent := each.sent.Sent
		if sent.Operation != OperationSubmit && sent.Operation != OperationAttach {
			continue
		}
		sequence := each.sequence()
		if sequence == 0 {
			sequence = byKey[keyRef{sent.Program, sent.Key}]
		}
		if sequence != 0 {
			target := x.call(callRef{sent.Program, sequence})
			target.exchanges = append(target.exchanges, each)
		}
	}
}

// sequence returns the call's sequence number from the answer or, if that has
// none, from the request.
func (e *exchange) sequence() uint64 {
	if e.got != nil && e.got.Got.Sequence != 0 {
		return e.got.Got.Sequence
	}
	return e.sent.Sent.Sequence
}

// refused reports whether the request was answered as not run.
func (e *exchange) refused() bool {
	if e.got == nil {
		return false
	}
	return e.got.Got.Ran == api.RanNotRun || e.got.Got.Status == api.StatusNotRun
}

// succeeded reports whether the request was answered with success.
func (e *exchange) succeeded() bool {
	return e.got != nil && e.got.Got.Status == api.StatusSucceeded
}

// program returns the entry of a program and creates it if necessary.
func (x *index) program(id api.ProgramID) *programRecords {
	entry, found := x.byProgram[id]
	if !found {
		entry = &programRecords{id: id}
		x.byProgram[id] = entry
		x.programs = append(x.programs, entry)
	}
	return entry
}

// call returns the entry of a call and creates it if necessary.
func (x *index) call(ref callRef) *call {
	entry, found := x.byCall[ref]
	if !found {
		entry = &call{ref: ref}
		x.byCall[ref] = entry
		program := x.program(ref.program)
		program.calls = append(program.calls, entry)
	}
	return entry
}

// endRecord returns the earliest record that shows the end of the call, from a
// back end, a node or a caller. It returns nil if there is none.
func (c *call) endRecord() *record {
	var first *record
	consider := func(r *record) {
		if first == nil || r.At.Before(first.At) {
			first = r
		}
	}
	for _, r := range c.finished {
		consider(r)
	}
	for _, r := range c.ended {
		consider(r)
	}
	for _, each := range c.exchanges {
		if each.got != nil && each.got.Got.Status.Terminal() && each.got.Got.Status != "" {
			consider(each.got)
		}
	}
	return first
}
