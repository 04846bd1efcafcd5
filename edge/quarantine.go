package edge

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/dispatch"
	"birchwood.example/birchwood/quarantine"
	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/upstream"
)

const (
	// announceTimeout bounds how long an answer is held until all live nodes know that a
	// replica may have ended under its request: several round trips between zones.
	announceTimeout = 60 * time.Millisecond
	// permissionTimeout bounds how long a run of a marked request waits for the other nodes.
	permissionTimeout = 200 * time.Millisecond
	// sharedLifetime is how long a replica's answer to a request without a program counts, and
	// maxShared bounds the requests of which one is remembered.
	sharedLifetime = time.Minute
	maxShared      = 4096
	// sharedReleaseDelay is how long nothing of such a request is sent at first after as many
	// replicas ended under it as may.
	sharedReleaseDelay = time.Second
	// maxCrowded is how many replicas at which other marked requests run are passed over before
	// one of them is taken.
	maxCrowded = 3
)

// errQuarantined means that as many replicas ended under the request as may.
var errQuarantined = errors.New("replicas ended under earlier runs of the request, and it is sent to no other")

// errUnsettled means that earlier runs of the request use up what may end under it, and some
// have not ended yet.
var errUnsettled = errors.New("whether an earlier run of the request ends its replica is not known yet")

// flight is a run at a replica that has not ended.
type flight struct {
	run     quarantine.Run
	replica replica.Entry
	sentAt  time.Time
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
	// doubts are the broken runs of which it is not known whether their replica lives.
	doubts map[replica.ID][]doubt
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

// doubt is a run that broke off at a time.
type doubt struct {
	run     quarantine.Run
	brokeAt time.Time
}

func newSuspects(node string, incarnation uint64) *suspects {
	return &suspects{
		node: node, incarnation: incarnation, marked: make(map[quarantine.Fingerprint]coordinator.QuarantineChange),
		shared:  make(map[quarantine.Fingerprint]*sharedRequest),
		flights: make(map[quarantine.Fingerprint][]*flight), doubts: make(map[replica.ID][]doubt),
	}
}

// status returns what is known of a request, and whether it is marked.
func (s *suspects) status(fingerprint quarantine.Fingerprint) (change coordinator.QuarantineChange, marked bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change, marked = s.marked[fingerprint]
	return change, marked
}

// apply updates what is known of a request.
func (s *suspects) apply(now time.Time, change *coordinator.QuarantineChange) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	fingerprint := change.Status.Fingerprint
	if !change.Status.Marked() {
		delete(s.marked, fingerprint)
		return
	}
	s.marked[fingerprint] = *change
	if shared := s.sharedLately(now, fingerprint); shared != nil && change.Refused && shared.releaseAt.IsZero() {
		shared.releaseAt = now.Add(sharedReleaseDelay << shared.releases)
		shared.releases++
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

// noteShared notes that a replica answered a request without a program.
func (s *suspects) noteShared(now time.Time, fingerprint quarantine.Fingerprint) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
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
	for fingerprint, change := range s.marked {
		shared := s.shared[fingerprint]
		if shared == nil || shared.releaseAt.IsZero() || now.Before(shared.releaseAt) {
			continue
		}
		shared.releaseAt = time.Time{}
		if change.Refused {
			due = append(due, fingerprint)
		}
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
	if slices.Contains(s.marked[r.fingerprint].Status.EndedAt, run.Replica) {
		// It ended under the request before and has started again under its ID.
		run.Replica += "#" + strconv.FormatUint(s.lastNumber, 10)
	}
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
	f.sentAt = time.Now()
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
	ended.State = quarantine.StateEnded
	id := f.replica.ID
	s.doubts[id] = append(s.doubts[id], doubt{run: ended, brokeAt: at})
	s.mark(ended)
	return append(s.list(ended.Fingerprint), ended)
}

// mark adds an end to what is known of a request: its next run may come before the control
// goroutine has the report. The caller holds the mutex.
func (s *suspects) mark(ended quarantine.Run) {
	change := s.marked[ended.Fingerprint]
	status := &change.Status
	status.Fingerprint, status.Tenant = ended.Fingerprint, ended.Tenant
	if !slices.Contains(status.EndedAt, ended.Replica) {
		status.EndedAt = append(slices.Clone(status.EndedAt), ended.Replica)
		status.Ended++
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
	for other, change := range s.marked {
		for _, id := range change.Status.EndedAt {
			ids = append(ids, replica.ID(id))
		}
		if other == fingerprint {
			continue
		}
		for _, id := range change.Status.RunningAt {
			ids = append(ids, replica.ID(id))
		}
	}
	return ids
}

// resolve removes the doubts about runs at a replica that broke off before a time, and returns
// these runs.
func (s *suspects) resolve(id replica.ID, before time.Time) (runs []quarantine.Run) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.doubts) == 0 {
		return nil
	}
	var left []doubt
	for _, open := range s.doubts[id] {
		if open.brokeAt.Before(before) {
			runs = append(runs, open.run)
			continue
		}
		left = append(left, open)
	}
	if len(left) == 0 {
		delete(s.doubts, id)
		return runs
	}
	s.doubts[id] = left
	return runs
}

// forget removes the doubts about a replica that is gone: it has ended.
func (s *suspects) forget(id replica.ID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.doubts, id)
}

// rejectQuarantined answers a request of which nothing may be sent, and reports whether it is
// one.
func (n *Node) rejectQuarantined(r *requestState) bool {
	if n.suspects == nil {
		return false
	}
	if change, marked := n.suspects.status(r.fingerprint); !marked || !change.Refused {
		return false
	}
	n.refuse(r, n.refusalFor(r, errQuarantined), errQuarantined.Error())
	return true
}

// quarantineRefusal returns the refusal of a request under which replicas ended.
func (n *Node) quarantineRefusal(r *requestState) dispatch.Refusal {
	change, _ := n.suspects.status(r.fingerprint)
	return dispatch.Refusal{Cause: dispatch.CauseQuarantined, EndsIn: max(time.Until(change.Status.ExpiresAt), 0)}
}

// beginRun registers a run at the selected replica. Of a marked request, it waits for
// permission.
func (n *Node) beginRun(r *requestState, choice *replica.Choice, mayShare bool) quarantine.Verdict {
	if n.suspects == nil {
		return quarantine.VerdictGranted
	}
	f := n.suspects.newFlight(r, choice.Entry)
	if n.suspects.begin(time.Now(), f) {
		r.flight = f
		return quarantine.VerdictGranted
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(n.ctx, r.timeLeft())
	defer cancel()
	decided := n.control.requestRun(ctx, coordinator.RunRequested{Run: f.run, MayShare: mayShare, Timeout: permissionTimeout})
	took := time.Since(start)
	n.metrics.runDecided(decided.Verdict, took)
	n.logger.Info().Str("request", r.id).Str("fingerprint", r.fingerprint.String()).Str("replica", f.run.Replica).
		Str("verdict", decided.Verdict.String()).Int("ended", decided.Status.Ended).Int("running", decided.Status.Running).
		Int("answered", decided.Answered).Int("asked", decided.Asked).Dur("took", took).Msg("quarantine: run decided")
	if decided.Verdict == quarantine.VerdictGranted {
		n.suspects.beginPermitted(f)
		r.flight = f
	}
	return decided.Verdict
}

// runServed ends a run that brought a whole answer: the request ends no replicas.
func (n *Node) runServed(r *requestState, f *flight) {
	if f == nil {
		return
	}
	if n.adapter.Names.Program == "" || r.exchange.Field(n.adapter.Names.Program) == "" {
		n.suspects.noteShared(time.Now(), f.run.Fingerprint)
	}
	if announced, marked := n.suspects.end(f); announced || marked {
		n.control.post(coordinator.RequestReleased{Fingerprint: f.run.Fingerprint, Reason: coordinator.ReleaseAnswered})
	}
}

// runEnded ends a run that did not end its replica.
func (n *Node) runEnded(f *flight) {
	if f == nil {
		return
	}
	if announced, _ := n.suspects.end(f); announced {
		n.clearRuns(f.run)
	}
}

// clearRuns reports that replicas did not end under runs.
func (n *Node) clearRuns(runs ...quarantine.Run) {
	if len(runs) == 0 {
		return
	}
	for index := range runs {
		runs[index].State = quarantine.StateCleared
	}
	n.control.post(coordinator.RunsReported{Runs: runs})
}

// runFailed ends a run without a whole answer. If its replica may have ended, all nodes are
// told, and the answer to the client waits for that.
func (n *Node) runFailed(r *requestState, f *flight, broken *brokenRun) {
	if !broken.brokeOff() {
		n.runEnded(f)
		return
	}
	if f != nil {
		runs := n.suspects.breakOff(f, time.Now())
		r.announced = n.control.reportRuns(coordinator.RunsReported{Runs: runs, Timeout: announceTimeout})
	}
	n.checkReplica(f, broken)
}

// replicaChecked takes back that a replica ended, or settles that it has.
func (n *Node) replicaChecked(f *flight, process upstream.Process) {
	id := f.replica.ID
	switch process {
	case upstream.ProcessLives:
		n.clearRuns(n.suspects.resolve(id, time.Now())...)
	case upstream.ProcessEnded:
		n.suspects.resolve(id, time.Now())
	case upstream.ProcessUnknown:
	}
}

// replicaAnswered takes back that a replica ended under earlier runs, since its process answers
// a request that was sent later.
func (n *Node) replicaAnswered(entry replica.Entry, sentAt time.Time, response *upstream.Response) {
	if n.suspects == nil || !n.rejectsOthers(entry) || n.misdirected(response) {
		return
	}
	n.clearRuns(n.suspects.resolve(entry.ID, sentAt)...)
}

// logQuarantine logs what is new of a marked request.
func (n *Node) logQuarantine(change *coordinator.QuarantineChange) {
	n.metrics.quarantineChanged(change, n.suspects.count())
	status := &change.Status
	entry := n.logger.Info()
	if change.From != n.self.ID && !change.Refused {
		// The node that reported it logs it.
		entry = n.logger.Debug()
	}
	entry = entry.Str("fingerprint", status.Fingerprint.String()).Str("tenant", status.Tenant).Str("from", string(change.From))
	if change.Reason != "" {
		entry.Str("reason", string(change.Reason)).Msg("quarantine: released")
		return
	}
	entry.Int("ended", status.Ended).Strs("endedAt", status.EndedAt).Int("running", status.Running).Strs("runningAt", status.RunningAt).
		Bool("refused", change.Refused).Dur("expires", time.Until(status.ExpiresAt)).Msg("quarantine: marked")
}
