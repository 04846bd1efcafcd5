package edge

import (
	"maps"
	"slices"
	"sync"
	"time"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/quarantine"
	"birchwood.example/birchwood/replica"
)

const (
	// sharedLifetime is how long a replica's answer to a request without a program counts, and
	// maxShared bounds the requests of which one is remembered.
	sharedLifetime = time.Minute
	maxShared      = 4096
	// sharedReleaseDelay is how long nothing of such a request is sent the second time that as many
	// replicas ended under it as may.
	sharedReleaseDelay = time.Second
)

// flight is a run at a replica that has not ended.
type flight struct {
	run     quarantine.Run
	replica replica.Entry
	// announced is set once other nodes know of the run. The suspects' mutex guards it.
	announced bool
}

// suspects holds this node's runs and what it knows of marked requests: those under which
// replicas may have ended. It is safe for concurrent use.
type suspects struct {
	mutex sync.Mutex
	// node and incarnation identify this process in the IDs of runs, and lastNumber is the
	// number of the last run.
	node        string
	incarnation uint64
	lastNumber  uint64
	marked      map[quarantine.Fingerprint]coordinator.QuarantineChange
	flights     map[quarantine.Fingerprint][]*flight
	// shared are the requests without a program that replicas answered lately, and sharedOrder
	// the oldest of them first.
	shared      map[quarantine.Fingerprint]*sharedRequest
	sharedOrder []quarantine.Fingerprint
	// changed is closed and replaced at each change of a marked request.
	changed chan struct{}
}

// sharedRequest is a request without a program that a replica answered. Many callers may send
// the same one, and crashes under some of them must not keep it from the others.
type sharedRequest struct {
	servedAt time.Time
	// releaseAt is when a request of which nothing is sent is tried again; zero for none. The
	// time until then doubles from release to release without an answer.
	releaseAt time.Time
	releases  int
}

func newSuspects(node string, incarnation uint64) *suspects {
	return &suspects{
		node: node, incarnation: incarnation, marked: make(map[quarantine.Fingerprint]coordinator.QuarantineChange),
		shared:  make(map[quarantine.Fingerprint]*sharedRequest),
		flights: make(map[quarantine.Fingerprint][]*flight), changed: make(chan struct{}),
	}
}

// status returns what is known of a request, and whether it is marked.
func (s *suspects) status(fingerprint quarantine.Fingerprint) (change coordinator.QuarantineChange, marked bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change, marked = s.marked[fingerprint]
	return change, marked
}

// nextChange returns a channel that is closed at the next change of a marked request.
func (s *suspects) nextChange() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.changed
}

// apply updates what is known of a request.
func (s *suspects) apply(now time.Time, change *coordinator.QuarantineChange) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
	fingerprint := change.Status.Fingerprint
	if !change.Status.Marked() {
		delete(s.marked, fingerprint)
		return
	}
	s.marked[fingerprint] = *change
	if change.Status.Shared && s.sharedLately(now, fingerprint) == nil {
		s.remember(now, fingerprint)
	}
	if shared := s.sharedLately(now, fingerprint); shared != nil && change.Refused {
		s.release(now, fingerprint, shared)
	}
}

// release schedules when a shared request of which nothing is sent is tried again: the first time
// at once. The caller holds the mutex.
func (s *suspects) release(now time.Time, fingerprint quarantine.Fingerprint, shared *sharedRequest) {
	if shared.releaseAt.IsZero() {
		shared.releaseAt = now
		if shared.releases > 0 {
			shared.releaseAt = now.Add(sharedReleaseDelay << (shared.releases - 1))
		}
		shared.releases++
	}
	if shared.releases == 1 {
		change := s.marked[fingerprint]
		change.Refused = false
		s.marked[fingerprint] = change
	}
}

// sharedLately returns a request without a program if a replica answered it lately, else nil.
// The caller holds the mutex.
func (s *suspects) sharedLately(now time.Time, fingerprint quarantine.Fingerprint) *sharedRequest {
	shared := s.shared[fingerprint]
	if shared == nil || now.Sub(shared.servedAt) >= sharedLifetime {
		return nil
	}
	return shared
}

// sharedAmong returns those of the requests that name no program and that a replica answered
// lately.
func (s *suspects) sharedAmong(now time.Time, fingerprints []quarantine.Fingerprint) (shared []quarantine.Fingerprint) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, fingerprint := range fingerprints {
		if s.sharedLately(now, fingerprint) != nil {
			shared = append(shared, fingerprint)
		}
	}
	return shared
}

// noteShared notes that a replica answered a request without a program.
func (s *suspects) noteShared(now time.Time, fingerprint quarantine.Fingerprint) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.remember(now, fingerprint)
}

// remember notes a shared request. The caller holds the mutex.
func (s *suspects) remember(now time.Time, fingerprint quarantine.Fingerprint) {
	if _, known := s.shared[fingerprint]; !known {
		s.sharedOrder = append(s.sharedOrder, fingerprint)
	}
	s.shared[fingerprint] = &sharedRequest{servedAt: now}
	for len(s.sharedOrder) > maxShared {
		delete(s.shared, s.sharedOrder[0])
		s.sharedOrder = s.sharedOrder[1:]
	}
}

// dueReleases returns the shared requests of which nothing is sent and that are to be tried again.
func (s *suspects) dueReleases(now time.Time) (due []quarantine.Fingerprint) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for fingerprint := range s.marked {
		shared := s.shared[fingerprint]
		if shared == nil || shared.releaseAt.IsZero() || now.Before(shared.releaseAt) {
			continue
		}
		shared.releaseAt = time.Time{}
		due = append(due, fingerprint)
	}
	return due
}

// count returns the number of marked requests.
func (s *suspects) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.marked)
}

// newFlight returns a run that has not begun.
func (s *suspects) newFlight(r *requestState, entry replica.Entry) *flight {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastNumber++
	run := quarantine.Run{
		ID:          quarantine.RunID{Node: s.node, Incarnation: s.incarnation, Number: s.lastNumber},
		Fingerprint: r.fingerprint, Replica: string(entry.ID),
	}
	run.Restarted = entry.Incarnation != 0 && slices.Contains(s.marked[r.fingerprint].Status.EndedAt, run.Replica)
	if r.tenant != nil {
		run.Tenant = r.tenant.Name
	}
	return &flight{run: run, replica: entry}
}

// begin registers a run that begins without permission, unless its request is marked. Requests
// that replicas answer need none as long as the limit is not reached.
func (s *suspects) begin(now time.Time, f *flight) (begun bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change, marked := s.marked[f.run.Fingerprint]
	if marked && (change.Refused || s.sharedLately(now, f.run.Fingerprint) == nil) {
		return false
	}
	s.add(f)
	return true
}

// beginPermitted registers a run that all nodes know of.
func (s *suspects) beginPermitted(f *flight) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	f.announced = true
	s.add(f)
}

// add registers a run. The caller holds the mutex.
func (s *suspects) add(f *flight) {
	s.flights[f.run.Fingerprint] = append(s.flights[f.run.Fingerprint], f)
}

// end removes a run, and returns whether other nodes know of it and whether its request is
// marked.
func (s *suspects) end(f *flight) (announced, marked bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.remove(f)
	_, marked = s.marked[f.run.Fingerprint]
	return f.announced, marked
}

// remove removes a run. The caller holds the mutex.
func (s *suspects) remove(f *flight) {
	flights := s.flights[f.run.Fingerprint]
	for index, other := range flights {
		if other == f {
			flights = append(flights[:index:index], flights[index+1:]...)
			break
		}
	}
	if len(flights) == 0 {
		delete(s.flights, f.run.Fingerprint)
		return
	}
	s.flights[f.run.Fingerprint] = flights
}

// breakOff removes a run under which its replica may have ended, and returns it with the other
// runs of its request, to be announced.
func (s *suspects) breakOff(f *flight, at time.Time) (runs []quarantine.Run) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.remove(f)
	ended := f.run
	ended.State, ended.Suspected = quarantine.StateEnded, true
	ended.Shared = s.sharedLately(at, ended.Fingerprint) != nil
	s.mark(ended)
	return append(s.list(ended.Fingerprint), ended)
}

// mark adds an end to what is known of a request: its next run may come before the control
// goroutine has the report. The caller holds the mutex.
func (s *suspects) mark(ended quarantine.Run) {
	change := s.marked[ended.Fingerprint]
	status := &change.Status
	status.Fingerprint, status.Tenant = ended.Fingerprint, ended.Tenant
	known := slices.Contains(status.EndedAt, ended.Replica)
	if !known {
		status.EndedAt = append(slices.Clone(status.EndedAt), ended.Replica)
	}
	if !known || ended.Restarted {
		status.Suspected++
	}
	s.marked[ended.Fingerprint] = change
}

// list returns the runs of a request, which are announced from now on. The caller holds the
// mutex.
func (s *suspects) list(fingerprint quarantine.Fingerprint) (runs []quarantine.Run) {
	for _, f := range s.flights[fingerprint] {
		f.announced = true
		runs = append(runs, f.run)
	}
	return runs
}

// listAll returns the runs of several requests, which are announced from now on.
func (s *suspects) listAll(fingerprints []quarantine.Fingerprint) (runs []quarantine.Run) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, fingerprint := range fingerprints {
		runs = append(runs, s.list(fingerprint)...)
	}
	return runs
}

// avoidedBy returns the replicas that a marked request passes over as long as there are others:
// those that ended, and those at which other marked requests run.
func (s *suspects) avoidedBy(fingerprint quarantine.Fingerprint) (ids []replica.ID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	avoided := make(map[replica.ID]struct{})
	for other, change := range s.marked {
		for _, id := range change.Status.EndedAt {
			avoided[replica.ID(id)] = struct{}{}
		}
		if other == fingerprint {
			continue
		}
		for _, id := range change.Status.RunningAt {
			avoided[replica.ID(id)] = struct{}{}
		}
	}
	return slices.Collect(maps.Keys(avoided))
}
