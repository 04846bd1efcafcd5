package schedule

import (
	"container/list"
	"slices"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
)

// tracker records the programs that have prefixes in engines: which engines,
// how many tokens, and since when each program has been paused.
type tracker struct {
	programs map[api.ProgramID]*trackedProgram
	// paused lists the paused programs that have prefixes, the longest paused
	// first.
	paused *list.List
	// tokensChanged is called with the change of the number of tokens in a
	// program's prefixes.
	tokensChanged func(request *Request, tokens int)
}

// trackedProgram is the state of one program.
type trackedProgram struct {
	id     api.ProgramID
	tenant string
	// lastModelCall is the model call that ended last. The prefix may be moved
	// to engines that are feasible for it.
	lastModelCall Request
	// prefixes lists the program's prefixes in engines, the newest last.
	prefixes []residentPrefix
	// lastTool is the tool that the program called last since that model call;
	// empty for none.
	lastTool string
	// paused is set while the program has had no model call in progress
	// since pausedAt. pause is its element in tracker.paused, nil if the
	// program has no prefixes.
	paused   bool
	pausedAt time.Time
	pause    *list.Element
}

// residentPrefix is a program's prefix in the cache of one engine.
type residentPrefix struct {
	backend machine.ID
	tokens  int
}

func newTracker(tokensChanged func(request *Request, tokens int)) *tracker {
	return &tracker{programs: map[api.ProgramID]*trackedProgram{}, paused: list.New(), tokensChanged: tokensChanged}
}

// setPrefixes replaces a program's prefixes.
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

// totalTokens returns the sum of the prefixes' tokens.
func totalTokens(prefixes []residentPrefix) int {
	sum := 0
	for _, prefix := range prefixes {
		sum += prefix.tokens
	}
	return sum
}

// withoutBackends returns a copy of prefixes without those in some back ends.
func withoutBackends(prefixes []residentPrefix, backends ...machine.ID) []residentPrefix {
	kept := make([]residentPrefix, 0, len(prefixes))
	for _, prefix := range prefixes {
		if !slices.Contains(backends, prefix.backend) {
			kept = append(kept, prefix)
		}
	}
	return kept
}

// resume records that a program has a model call in progress again.
func (t *tracker) resume(entry *trackedProgram) {
	entry.paused = false
	t.removePaused(entry)
}

// pause records that a program has no model call in progress.
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

// removePaused removes a program from the list of paused ones.
func (t *tracker) removePaused(entry *trackedProgram) {
	if entry.pause != nil {
		t.paused.Remove(entry.pause)
		entry.pause = nil
	}
}

// recordFinished records that a model call ended at a back end whose cache
// holds the given number of tokens of the program's prefix.
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

// recordEvicted records that a back end no longer holds the program's prefix.
func (t *tracker) recordEvicted(programID api.ProgramID, backend machine.ID) {
	if entry := t.programs[programID]; entry != nil {
		t.setPrefixes(entry, withoutBackends(entry.prefixes, backend))
	}
}

// recordLost removes every prefix held by the back ends.
func (t *tracker) recordLost(backends []machine.ID) {
	if len(backends) == 0 {
		return
	}
	for _, entry := range t.programs {
		t.setPrefixes(entry, withoutBackends(entry.prefixes, backends...))
	}
}

// remove removes a program and its prefixes.
func (t *tracker) remove(entry *trackedProgram) {
	t.setPrefixes(entry, nil)
	t.removePaused(entry)
	delete(t.programs, entry.id)
}

// prefixes returns the program's prefixes in engines, the newest last.
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

// largestPrefix returns the prefix with the most tokens, the newest of equally
// large ones, and reports whether there is one.
func largestPrefix(prefixes []residentPrefix) (residentPrefix, bool) {
	var best residentPrefix
	for _, prefix := range prefixes {
		if prefix.tokens >= best.tokens {
			best = prefix
		}
	}
	return best, best.tokens > 0
}
