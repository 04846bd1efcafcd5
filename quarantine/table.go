package quarantine

import (
	"maps"
	"slices"
	"time"

	"birchwood.example/birchwood/findings"
)

// Config sets up a Table.
type Config struct {
	// Limit is the number of replicas that may end under a request. Nothing is sent on after
	// that.
	Limit int
	// Lifetime is how long an end is remembered.
	Lifetime time.Duration
	// MaxRequests bounds the tracked requests.
	MaxRequests int
}

// MaxLimit is the largest permitted Config.Limit.
const MaxLimit = 3

// Bounds of Config.Lifetime.
const (
	minLifetime = time.Second
	maxLifetime = 24 * time.Hour
)

// DefaultConfig returns the settings used in production.
func DefaultConfig() Config {
	return Config{Limit: MaxLimit, Lifetime: 10 * time.Minute, MaxRequests: 4096}
}

// Validate returns all findings about the configuration. location names its source in them.
func (c *Config) Validate(location string) error {
	found := findings.Of(location)
	found.Require(c.Limit >= 1 && c.Limit <= MaxLimit, "limit", "got %d, want 1 to %d", c.Limit, MaxLimit)
	found.Require(c.Lifetime >= minLifetime && c.Lifetime <= maxLifetime, "lifetime", "got %s, want %s to %s", c.Lifetime, minLifetime, maxLifetime)
	found.Require(c.MaxRequests >= 1, "max requests", "got %d, want at least 1", c.MaxRequests)
	return found.Err()
}

// clearedLifetime is how long a run that was cleared is remembered, so that an older state of
// it, which arrives late, does not count.
const clearedLifetime = 30 * time.Second

// answeredLifetime is how long an end is remembered after the request was answered whole: longer
// than a caller tries on that did not get the answer.
const answeredLifetime = 30 * time.Second

// lostLifetime is how long a run counts that a lost node may have had: longer than a caller tries
// one request.
const lostLifetime = 30 * time.Second

// maxCleared bounds the cleared runs of one request that are remembered.
const maxCleared = 64

// Table holds the tracked requests of a node. Its content is the union of what all nodes
// report: merging the same runs in any order, any number of times, has the same result. It is
// not safe for concurrent use.
type Table struct {
	config   Config
	requests map[Fingerprint]*request
}

// request is one tracked request.
type request struct {
	tenant string
	runs   map[RunID]*trackedRun
}

// trackedRun is a run with the local time at which its state was noted.
type trackedRun struct {
	Run
	at time.Time
	// answeredAt is when it was learned that the request was answered whole.
	answeredAt time.Time
}

// NewTable returns an empty table.
func NewTable(config Config) *Table {
	return &Table{config: config, requests: make(map[Fingerprint]*request)}
}

// Status is what is known of a request.
type Status struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Tenant      string      `json:"tenant,omitempty"`
	// Ended counts the replicas that ended under the request, Suspected the others that may have,
	// and Running the rest of those at which it still runs. One that started again under its ID
	// counts again.
	Ended     int `json:"ended"`
	Suspected int `json:"suspected,omitempty"`
	// Lost is 1 if a run counts that a lost node may have had.
	Lost    int `json:"lost,omitempty"`
	Running int `json:"running"`
	// EndedAt are the IDs of the replicas that ended or may have, and RunningAt of those at which
	// the request still runs, sorted.
	EndedAt   []string `json:"ended_at,omitempty"`
	RunningAt []string `json:"running_at,omitempty"`
	// Shared is set if a run that counts is Shared.
	Shared bool `json:"shared,omitempty"`
	// ExpiresAt is when the last of them is forgotten.
	ExpiresAt time.Time `json:"expires_at"`
}

// Counted returns how many replicas count as ended.
func (s *Status) Counted() int { return s.Ended + s.Suspected + s.Running + s.Lost }

// Open returns how many replicas count of which it will be known whether they ended.
func (s *Status) Open() int { return s.Suspected + s.Running }

// Marked reports whether a replica may have ended under the request.
func (s *Status) Marked() bool { return s.Counted() > 0 }

// Merge adds runs, and returns the fingerprints of the requests about which something new was
// learned, sorted.
func (t *Table) Merge(now time.Time, runs []Run) []Fingerprint {
	changed := make(map[Fingerprint]struct{})
	for index := range runs {
		run := &runs[index]
		if run.State < 0 || run.State >= states || t.expired(now, run, run.notedAt(now)) {
			continue
		}
		if t.mergeRun(now, run) {
			changed[run.Fingerprint] = struct{}{}
		}
	}
	for len(t.requests) > t.config.MaxRequests {
		changed[t.evict()] = struct{}{}
	}
	return slices.Sorted(maps.Keys(changed))
}

// News returns those of the runs whose state is new to the table.
func (t *Table) News(runs []Run) (news []Run) {
	for _, run := range runs {
		tracked := t.requests[run.Fingerprint]
		if tracked == nil || tracked.runs[run.ID] == nil || run.supersedes(&tracked.runs[run.ID].Run) {
			news = append(news, run)
		}
	}
	return news
}

// mergeRun merges one run, and reports whether its state is new.
func (t *Table) mergeRun(now time.Time, run *Run) bool {
	tracked := t.requests[run.Fingerprint]
	if tracked == nil {
		tracked = &request{tenant: run.Tenant, runs: make(map[RunID]*trackedRun)}
		t.requests[run.Fingerprint] = tracked
	}
	known := tracked.runs[run.ID]
	if known != nil && !run.supersedes(&known.Run) {
		return known.mergeFlags(now, run)
	}
	merged := &trackedRun{Run: *run, at: run.notedAt(now)}
	if known != nil {
		merged.Shared = run.Shared || known.Shared
		merged.setAnswered(run.Answered || known.Answered, known.answeredAt, now)
	}
	tracked.runs[run.ID] = merged
	tracked.boundCleared()
	return true
}

// mergeFlags takes over that the run is Shared or Answered, and reports whether that is new.
func (r *trackedRun) mergeFlags(now time.Time, other *Run) bool {
	news := r.State != StateCleared && (other.Shared && !r.Shared || other.Answered && !r.Answered)
	r.Shared = r.Shared || other.Shared
	r.setAnswered(r.Answered || other.Answered, r.answeredAt, now)
	return news
}

// setAnswered sets whether the request was answered whole, and since when that is known.
func (r *trackedRun) setAnswered(answered bool, since, now time.Time) {
	r.Answered, r.answeredAt = answered, since
	if answered && since.IsZero() {
		r.answeredAt = now
	}
}

// boundCleared removes the oldest cleared runs beyond maxCleared.
func (r *request) boundCleared() {
	if len(r.runs) <= maxCleared {
		return
	}
	var cleared []*trackedRun
	for _, run := range r.runs {
		if run.State == StateCleared {
			cleared = append(cleared, run)
		}
	}
	slices.SortFunc(cleared, func(left, right *trackedRun) int { return left.at.Compare(right.at) })
	for _, run := range cleared[:max(0, len(cleared)-maxCleared)] {
		delete(r.runs, run.ID)
	}
}

// expired reports whether a run whose state was noted at a time is forgotten.
func (t *Table) expired(now time.Time, run *Run, at time.Time) bool {
	switch {
	case run.State == StateCleared:
		return now.Sub(at) >= clearedLifetime
	case run.ID == lostRunID:
		return now.Sub(at) >= lostLifetime
	}
	return now.Sub(at) >= t.config.Lifetime
}

// evict removes the request of the tenant with the most requests that was heard of least
// recently, and returns its fingerprint: no tenant displaces the requests of another.
func (t *Table) evict() Fingerprint {
	counts := make(map[string]int)
	for _, tracked := range t.requests {
		counts[tracked.tenant]++
	}
	var victim Fingerprint
	var oldest time.Time
	most := 0
	for _, fingerprint := range slices.Sorted(maps.Keys(t.requests)) {
		tracked := t.requests[fingerprint]
		newest := tracked.newest()
		if count := counts[tracked.tenant]; count > most || count == most && newest.Before(oldest) {
			victim, oldest, most = fingerprint, newest, count
		}
	}
	delete(t.requests, victim)
	return victim
}

// newest returns when the newest state of the request's runs was noted.
func (r *request) newest() (newest time.Time) {
	for _, run := range r.runs {
		if run.at.After(newest) {
			newest = run.at
		}
	}
	return newest
}

// Expire removes what is forgotten, and returns the requests that are no longer marked.
func (t *Table) Expire(now time.Time) (released []Fingerprint) {
	for _, fingerprint := range slices.Sorted(maps.Keys(t.requests)) {
		tracked := t.requests[fingerprint]
		lost := false
		for id, run := range tracked.runs {
			if t.expired(now, &run.Run, run.at) || run.Answered && now.Sub(run.answeredAt) >= answeredLifetime {
				delete(tracked.runs, id)
				lost = lost || run.State != StateCleared
			}
		}
		if len(tracked.runs) == 0 {
			delete(t.requests, fingerprint)
		}
		if status := t.Status(fingerprint); lost && !status.Marked() {
			released = append(released, fingerprint)
		}
	}
	return released
}

// Status returns what is known of a request.
func (t *Table) Status(fingerprint Fingerprint) Status { return t.statusWithout(fingerprint, RunID{}) }

// statusWithout is Status without one run.
func (t *Table) statusWithout(fingerprint Fingerprint, without RunID) Status {
	status := Status{Fingerprint: fingerprint}
	tracked := t.requests[fingerprint]
	if tracked == nil {
		return status
	}
	status.Tenant = tracked.tenant
	ended, suspected, running := make(map[process]struct{}), make(map[process]struct{}), make(map[process]struct{})
	for id, run := range tracked.runs {
		if id == without || run.State == StateCleared || id.Node == lostNode {
			continue
		}
		switch {
		case run.State == StateRunning:
			running[run.process()] = struct{}{}
		case run.Suspected:
			suspected[run.process()] = struct{}{}
		default:
			ended[run.process()] = struct{}{}
		}
		status.Shared = status.Shared || run.Shared
		if expires := run.at.Add(t.config.Lifetime); expires.After(status.ExpiresAt) {
			status.ExpiresAt = expires
		}
	}
	remove(suspected, ended)
	remove(running, ended)
	remove(running, suspected)
	if lost := tracked.runs[lostRunID]; lost != nil && lost.State == StateEnded && len(ended)+len(suspected) > 0 && len(running) == 0 {
		status.Lost = 1
	}
	status.Ended, status.Suspected, status.Running = len(ended), len(suspected), len(running)
	status.RunningAt = replicasOf(running)
	maps.Copy(ended, suspected)
	status.EndedAt = replicasOf(ended)
	return status
}

// remove removes processes from a set.
func remove(from, processes map[process]struct{}) {
	for at := range processes {
		delete(from, at)
	}
}

// replicasOf returns the IDs of the processes' replicas, sorted and each once.
func replicasOf(processes map[process]struct{}) (replicas []string) {
	for at := range processes {
		replicas = append(replicas, at.replica)
	}
	slices.Sort(replicas)
	return slices.Compact(replicas)
}

// Marked returns the status of all marked requests, sorted by fingerprint.
func (t *Table) Marked() (marked []Status) {
	for _, fingerprint := range slices.Sorted(maps.Keys(t.requests)) {
		if status := t.Status(fingerprint); status.Marked() {
			marked = append(marked, status)
		}
	}
	return marked
}

// Count returns the number of tracked requests.
func (t *Table) Count() int { return len(t.requests) }

// Runs returns the runs of a request that count, with their age, and those of the given IDs that
// do not, sorted by ID.
func (t *Table) Runs(now time.Time, fingerprint Fingerprint, cleared map[RunID]struct{}) (runs []Run) {
	tracked := t.requests[fingerprint]
	if tracked == nil {
		return nil
	}
	for id, known := range tracked.runs {
		if _, wanted := cleared[id]; known.State == StateCleared && !wanted {
			continue
		}
		run := known.Run
		run.AgeMS = max(0, now.Sub(known.at).Milliseconds())
		runs = append(runs, run)
	}
	slices.SortFunc(runs, func(left, right Run) int { return left.ID.compare(right.ID) })
	return runs
}

// AllRuns returns the runs of all requests that count.
func (t *Table) AllRuns(now time.Time) (runs []Run) {
	for _, fingerprint := range slices.Sorted(maps.Keys(t.requests)) {
		runs = append(runs, t.Runs(now, fingerprint, nil)...)
	}
	return runs
}

// RunningAt returns the runs that have not ended at a replica.
func (t *Table) RunningAt(now time.Time, replica string) (runs []Run) {
	for _, fingerprint := range slices.Sorted(maps.Keys(t.requests)) {
		for _, run := range t.Runs(now, fingerprint, nil) {
			if run.Replica == replica && run.State == StateRunning {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

// Release clears the runs of a request that count, and returns them for other nodes.
func (t *Table) Release(now time.Time, fingerprint Fingerprint) []Run {
	runs := t.Runs(now, fingerprint, nil)
	for index := range runs {
		runs[index].State, runs[index].Suspected, runs[index].Revision, runs[index].AgeMS = StateCleared, false, released, 0
	}
	t.Merge(now, runs)
	return runs
}

// Answer notes that a request was answered whole, and returns its runs that count for other
// nodes.
func (t *Table) Answer(now time.Time, fingerprint Fingerprint) []Run {
	runs := t.Runs(now, fingerprint, nil)
	for index := range runs {
		runs[index].Answered = true
	}
	t.Merge(now, runs)
	return runs
}
