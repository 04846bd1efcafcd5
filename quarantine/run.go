package quarantine

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

// RunID identifies one run of a request among all nodes and all their processes.
type RunID struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	Number      uint64 `json:"number"`
}

// String returns the ID as it is logged.
func (id RunID) String() string { return fmt.Sprintf("%s/%d/%d", id.Node, id.Incarnation, id.Number) }

// compare orders IDs by node, process and number.
func (id RunID) compare(other RunID) int {
	return cmp.Or(cmp.Compare(id.Node, other.Node), cmp.Compare(id.Incarnation, other.Incarnation), cmp.Compare(id.Number, other.Number))
}

// State is what is known of a run. Of two states of one revision of a run, the later one in this
// list holds.
type State int

const (
	// StateRunning means that the run has not ended. It counts as if its replica had ended.
	StateRunning State = iota
	// StateEnded means that the replica ended under the run, or may have.
	StateEnded
	// StateCleared means that the replica did not end under the run.
	StateCleared
	states
)

// String returns the state as it is logged.
func (s State) String() string {
	if s < 0 || s >= states {
		return fmt.Sprintf("state %d", int(s))
	}
	return [states]string{"running", "ended", "cleared"}[s]
}

// Run is one run of a request that is tracked.
type Run struct {
	ID          RunID       `json:"id"`
	Fingerprint Fingerprint `json:"fingerprint"`
	Tenant      string      `json:"tenant,omitempty"`
	Replica     string      `json:"replica"`
	// Restarted is set if the replica may have ended under the request before the run and started
	// again under its ID. Each such run counts as one at a process of its own.
	Restarted bool  `json:"restarted,omitempty"`
	State     State `json:"state"`
	// Suspected is set with StateEnded as long as it is not known whether the replica ended.
	Suspected bool `json:"suspected,omitempty"`
	// Revision rises each time that the node of the run learns otherwise about its replica. A
	// later revision holds, whatever its state.
	Revision uint32 `json:"revision,omitempty"`
	// Answered is set once the request was answered whole. Its ends are forgotten soon after.
	Answered bool `json:"answered,omitempty"`
	// Shared is set if the request names no program and a replica answered it lately, for whatever
	// caller.
	Shared bool `json:"shared,omitempty"`
	// AgeMS is how long ago the state was noted first, in milliseconds.
	AgeMS int64 `json:"age_ms,omitempty"`
}

// released is the revision of a run that was cleared for good.
const released = math.MaxUint32

// supersedes reports whether the run holds in place of another state of the same run.
func (r *Run) supersedes(other *Run) bool {
	if order := cmp.Or(cmp.Compare(r.Revision, other.Revision), cmp.Compare(r.State, other.State)); order != 0 {
		return order > 0
	}
	return r.State == StateEnded && other.Suspected && !r.Suspected
}

// LostRun returns a run that stands for one that a lost node may have had of a request, and of
// which nobody else knows. A request has one at most. It counts only beside an end that was
// seen, and not beside a run that has not ended: that one may be the lost node's.
func LostRun(fingerprint Fingerprint, tenant string) Run {
	return Run{ID: lostRunID, Fingerprint: fingerprint, Tenant: tenant, Replica: lostNode, State: StateEnded}
}

// lostNode is the node and the replica of a LostRun. No node or replica has this name.
const lostNode = "(lost)"

var lostRunID = RunID{Node: lostNode}

// process identifies the process that a run is at. run is the zero RunID for a replica that has
// not started again.
type process struct {
	replica string
	run     RunID
}

func (r *Run) process() process {
	if r.Restarted {
		return process{replica: r.Replica, run: r.ID}
	}
	return process{replica: r.Replica}
}

// notedAt returns when the state was noted, by the clock of the node that received the run.
func (r *Run) notedAt(now time.Time) time.Time {
	return now.Add(-time.Duration(max(0, r.AgeMS)) * time.Millisecond)
}
