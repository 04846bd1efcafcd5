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
	programs map[api.ProgramID]*tracked
	// paused lists the programs without a call under way, the longest paused
	// first.
	paused *list.List
	// changed hears how the tokens of a program's prefixes change.
	changed func(request *Request, tokens int)
}

// tracked is one program.
type tracked struct {
	id     api.ProgramID
	tenant string
	// last is the model call that ended last; where it could run, the prefix
	// may be moved.
	last Request
	// residents are the engines that hold a prefix; the last one is the
	// newest.
	residents []resident
	// tool is the last tool that the program called since its model call.
	tool string
	// paused says that no model call is under way since pausedAt; pause is
	// its place in the list, nil when nothing is resident.
	paused   bool
	pausedAt time.Time
	pause    *list.Element
}

// resident is one program's prefix in one engine.
type resident struct {
	backend machine.ID
	tokens  int
}

func newTracker(changed func(request *Request, tokens int)) *tracker {
	return &tracker{programs: map[api.ProgramID]*tracked{}, paused: list.New(), changed: changed}
}

// setResidents replaces where a program's prefixes are.
func (t *tracker) setResidents(entry *tracked, residents []resident) {
	change := total(residents) - total(entry.residents)
	entry.residents = residents
	if len(residents) == 0 {
		t.unlist(entry)
	}
	if change != 0 {
		t.changed(&entry.last, change)
	}
}

// total sums up the tokens of prefixes.
func total(residents []resident) int {
	sum := 0
	for _, held := range residents {
		sum += held.tokens
	}
	return sum
}

// without returns a copy that lacks some back ends.
func without(residents []resident, backends ...machine.ID) []resident {
	kept := make([]resident, 0, len(residents))
	for _, held := range residents {
		if !slices.Contains(backends, held.backend) {
			kept = append(kept, held)
		}
	}
	return kept
}

// resume notes that a program has a model call under way again.
func (t *tracker) resume(entry *tracked) {
	entry.paused = false
	t.unlist(entry)
}

// pause notes that a program has no model call under way.
func (t *tracker) pause(now time.Time, owner api.ProgramID) {
	entry := t.programs[owner]
	if entry == nil {
		return
	}
	t.unlist(entry)
	entry.paused = true
	entry.pausedAt = now
	if len(entry.residents) > 0 {
		entry.pause = t.paused.PushBack(entry)
	}
}

// unlist takes a program off the list of paused ones.
func (t *tracker) unlist(entry *tracked) {
	if entry.pause != nil {
		t.paused.Remove(entry.pause)
		entry.pause = nil
	}
}

// finished notes that a model call ended at a back end that keeps so many
// tokens of the program's prefix.
func (t *tracker) finished(now time.Time, request *Request, backend machine.ID, tokens int) {
	owner := request.Call.Program
	entry := t.programs[owner]
	if entry == nil {
		if tokens <= 0 {
			return
		}
		entry = &tracked{id: owner, tenant: request.Tenant}
		t.programs[owner] = entry
	}
	entry.last = *request
	entry.tool = ""
	residents := without(entry.residents, backend)
	if tokens > 0 {
		residents = append(residents, resident{backend: backend, tokens: tokens})
	}
	t.setResidents(entry, residents)
	t.pause(now, owner)
}

// evicted notes that a back end no longer holds the program's prefix.
func (t *tracker) evicted(owner api.ProgramID, backend machine.ID) {
	if entry := t.programs[owner]; entry != nil {
		t.setResidents(entry, without(entry.residents, backend))
	}
}

// lost forgets every prefix of the back ends.
func (t *tracker) lost(backends []machine.ID) {
	if len(backends) == 0 {
		return
	}
	for _, entry := range t.programs {
		t.setResidents(entry, without(entry.residents, backends...))
	}
}

// forget drops a program.
func (t *tracker) forget(entry *tracked) {
	t.setResidents(entry, nil)
	t.unlist(entry)
	delete(t.programs, entry.id)
}

// residents returns the engines that hold a prefix of the program, the
// newest last.
func (t *tracker) residents(owner api.ProgramID) []resident {
	if entry := t.programs[owner]; entry != nil {
		return entry.residents
	}
	return nil
}

// tokensAt returns how many tokens of a prefix a back end holds.
func tokensAt(residents []resident, backend machine.ID) int {
	for _, entry := range residents {
		if entry.backend == backend {
			return entry.tokens
		}
	}
	return 0
}

// largest returns the resident with the most tokens, the newest of equals.
func largest(residents []resident) (resident, bool) {
	var best resident
	for _, entry := range residents {
		if entry.tokens >= best.tokens {
			best = entry
		}
	}
	return best, best.tokens > 0
}
