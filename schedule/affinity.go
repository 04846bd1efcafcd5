package schedule

import (
	"container/list"
	"slices"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
)

// tracker knows the programs that have prefixes in engines: where, how many
// tokens, and since when each program is paused.
type tracker struct {
	programs map[api.ProgramID]*trackedProgram
	// paused lists the programs without a call under way, the longest paused
	// first.
	paused *list.List
	// tokensChanged hears how the tokens of a program's prefixes change.
	tokensChanged func(request *Request, tokens int)
}

// trackedProgram is one program.
type trackedProgram struct {
	id     api.ProgramID
	tenant string
	// lastModelCall is the model call that ended last; where it could run, the prefix
	// may be moved.
	lastModelCall Request
	// prefixes are the engines that hold a prefix; the last one is the
	// newest.
	prefixes []residentPrefix
	// lastTool is the last tool that the program called since its model call.
	lastTool string
	// paused says that no model call is under way since pausedAt; pause is
	// its place in the list, nil when nothing is resident.
	paused   bool
	pausedAt time.Time
	pause    *list.Element
}

// residentPrefix is one program's prefix in one engine.
type residentPrefix struct {
	backend machine.ID
	tokens  int
}

func newTracker(tokensChanged func(request *Request, tokens int)) *tracker {
	return &tracker{programs: map[api.ProgramID]*trackedProgram{}, paused: list.New(), tokensChanged: tokensChanged}
}

// setPrefixes replaces where a program's prefixes are.
func (t *tracker) setPrefixes(entry *trackedProgram, prefixes []residentPrefix) {
	change := totalTokens(prefixes) - totalTokens(entry.prefixes)
	entry.prefixes = prefixes
	if len(prefixes) == 0 {
		t.removePaused(entry)
	}
	if change != 0 {
		t.tokensChanged(&entry.lastModelCall, change)
	}
}

// totalTokens sums up the tokens of prefixes.
func totalTokens(prefixes []residentPrefix) int {
	sum := 0
	for _, prefix := range prefixes {
		sum += prefix.tokens
	}
	return sum
}

// withoutBackends returns a copy that lacks some back ends.
func withoutBackends(prefixes []residentPrefix, backends ...machine.ID) []residentPrefix {
	kept := make([]residentPrefix, 0, len(prefixes))
	for _, prefix := range prefixes {
		if !slices.Contains(backends, prefix.backend) {
			kept = append(kept, prefix)
		}
	}
	return kept
}

// resume notes that a program has a model call under way again.
func (t *tracker) resume(entry *trackedProgram) {
	entry.paused = false
	t.removePaused(entry)
}

// pause notes that a program has no model call under way.
func (t *tracker) pause(now time.Time, programID api.ProgramID) {
	entry := t.programs[programID]
	if entry == nil {
		return
	}
	t.removePaused(entry)
	entry.paused = true
	entry.pausedAt = now
	if len(entry.prefixes) > 0 {
		entry.pause = t.paused.PushBack(entry)
	}
}

// removePaused takes a program off the list of paused ones.
func (t *tracker) removePaused(entry *trackedProgram) {
	if entry.pause != nil {
		t.paused.Remove(entry.pause)
		entry.pause = nil
	}
}

// recordFinished notes that a model call ended at a back end that keeps so many
// tokens of the program's prefix.
func (t *tracker) recordFinished(now time.Time, request *Request, backend machine.ID, tokens int) {
	programID := request.Call.Program
	entry := t.programs[programID]
	if entry == nil {
		if tokens <= 0 {
			return
		}
		entry = &trackedProgram{id: programID, tenant: request.Tenant}
		t.programs[programID] = entry
	}
	entry.lastModelCall = *request
	entry.lastTool = ""
	prefixes := withoutBackends(entry.prefixes, backend)
	if tokens > 0 {
		prefixes = append(prefixes, residentPrefix{backend: backend, tokens: tokens})
	}
	t.setPrefixes(entry, prefixes)
	t.pause(now, programID)
}

// recordEvicted notes that a back end no longer holds the program's prefix.
func (t *tracker) recordEvicted(programID api.ProgramID, backend machine.ID) {
	if entry := t.programs[programID]; entry != nil {
		t.setPrefixes(entry, withoutBackends(entry.prefixes, backend))
	}
}

// recordLost forgets every prefix of the back ends.
func (t *tracker) recordLost(backends []machine.ID) {
	if len(backends) == 0 {
		return
	}
	for _, entry := range t.programs {
		t.setPrefixes(entry, withoutBackends(entry.prefixes, backends...))
	}
}

// remove drops a program.
func (t *tracker) remove(entry *trackedProgram) {
	t.setPrefixes(entry, nil)
	t.removePaused(entry)
	delete(t.programs, entry.id)
}

// prefixes returns the engines that hold a prefix of the program, the
// newest last.
func (t *tracker) prefixes(programID api.ProgramID) []residentPrefix {
	if entry := t.programs[programID]; entry != nil {
		return entry.prefixes
	}
	return nil
}

// tokensAt returns how many tokens of a prefix a back end holds.
func tokensAt(prefixes []residentPrefix, backend machine.ID) int {
	for _, prefix := range prefixes {
		if prefix.backend == backend {
			return prefix.tokens
		}
	}
	return 0
}

// largestPrefix returns the resident with the most tokens, the newest of equals.
func largestPrefix(prefixes []residentPrefix) (residentPrefix, bool) {
	var best residentPrefix
	for _, prefix := range prefixes {
		if prefix.tokens >= best.tokens {
			best = prefix
		}
	}
	return best, best.tokens > 0
}
