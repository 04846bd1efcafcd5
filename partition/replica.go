package partition

import (
	"encoding/json"
	"errors"
	"time"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/recordlog"
)

// Replica is one node's state machine for one partition. It is not safe for
// concurrent use.
type Replica struct {
	config  Config
	now     time.Time
	state   State
	journal *recordlog.Journal
	view    View
	ready   Ready

	// desired is the node that should own the partition by this node's view,
	// since desiredSince.
	desired      machine.ID
	desiredSince time.Time
	// reportedOwner is the live node that last reported owning the partition.
	reportedOwner machine.ID
	claim         claim
	release       release
	recover       recovery
	mirrors       mirroring
	pendingTrim   trimNotice
	idleCheck     idleCheck
	// localAnswers are queued answers of this node's own MirrorStore.
	localAnswers []Message
}

// NewReplica returns a Replica in StateFollowing, or an error with all findings
// about the config.
func NewReplica(config Config) (*Replica, error) {
	log, logErr := recordlog.New(config.journalConfig())
	if err := errors.Join(config.validate(), logErr); err != nil {
		return nil, err
	}
	return &Replica{
		config:  config,
		state:   StateFollowing,
		journal: log,
		claim:   newClaim(config),
	}, nil
}

// State returns this node's role in the partition.
func (r *Replica) State() State {
	return r.state
}

// Epoch returns the newest epoch known to this replica.
func (r *Replica) Epoch() uint64 {
	return max(r.journal.Epoch(), r.journal.Fold().Epoch)
}

// Unconfirmed returns the size in bytes of the proposals that the log has not
// confirmed.
func (r *Replica) Unconfirmed() int {
	return r.journal.UnconfirmedBytes()
}

// Owner returns the node that requests for the partition should go to: the live
// node that last reported owning it, otherwise the node that should own it.
func (r *Replica) Owner() (machine.ID, bool) {
	if r.state == StateOwning || r.state == StateReleasing {
		return r.config.Self, true
	}
	return Owner(r.config.ID, r.view.Placement, r.view.Nodes, r.reportedOwner)
}

// Step processes the driver's answer to a request: an Appended or a ReadDone.
func (r *Replica) Step(now time.Time, event any) {
	r.now = now
	switch answer := event.(type) {
	case Appended:
		r.journal.Appended(now, answer)
	case ReadDone:
		r.journal.ReadDone(now, answer)
	}
	r.advance()
}

// Tick processes the timers that are due; NextWake returns the time of the next
// one.
func (r *Replica) Tick(now time.Time) {
	r.now = now
	r.journal.Tick(now)
	r.advance()
}

// Propose queues a record. It is durable once a Ready returns its token in
// Confirmed.
func (r *Replica) Propose(now time.Time, payload json.RawMessage) (recordlog.Token, error) {
	r.now = now
	if r.state != StateOwning {
		return 0, ErrNotOwner
	}
	token, err := r.journal.Propose(now, payload)
	r.advance()
	return token, err
}

// ProposeSnapshot queues a snapshot of the state after every proposal so far,
// in parts. Once the log has all parts, recovery need not read older entries.
func (r *Replica) ProposeSnapshot(now time.Time, parts []json.RawMessage) error {
	r.now = now
	if r.state != StateOwning {
		return ErrNotOwner
	}
	err := r.journal.ProposeSnapshot(now, parts)
	r.advance()
	return err
}

// WantsSnapshot reports whether the log has grown enough for a new snapshot.
func (r *Replica) WantsSnapshot() bool {
	return r.state == StateOwning && r.journal.WantsSnapshot()
}

// HasReady reports whether Ready would return any output.
func (r *Replica) HasReady() bool {
	return r.journal.HasReady() || len(r.ready.Messages) > 0 || r.ready.Lost || r.ready.Acquired ||
		len(r.ready.Recovered) > 0 || len(r.ready.Confirmed) > 0
}

// Ready returns the pending output and clears it. If one Ready holds several,
// Recovered and Confirmed apply before Lost, and Lost before Acquired.
func (r *Replica) Ready() Ready {
	log := r.journal.Ready()
	ready := r.ready
	ready.State = r.state
	ready.Epoch = r.Epoch()
	ready.Appends = log.Appends
	ready.Reads = log.Reads
	ready.Recovered = append(ready.Recovered, log.Recovered...)
	ready.Confirmed = append(ready.Confirmed, log.Confirmed...)
	r.ready = Ready{}
	return ready
}

// advance runs the state machine after an event.
func (r *Replica) advance() {
	r.advanceState()
	for len(r.localAnswers) > 0 {
		answer := r.localAnswers[0]
		r.localAnswers = r.localAnswers[1:]
		r.handle(r.config.Self, answer)
		r.advanceState()
	}
}

func (r *Replica) advanceState() {
	r.observeJournal()
	switch r.state {
	case StateFollowing:
		r.advanceFollowing()
	case StateClaiming:
		r.advanceClaiming()
	case StateRecovering:
		r.advanceRecovering()
	case StateOwning:
		r.advanceOwning()
	case StateReleasing:
		r.advanceReleasing()
	}
}

// observeJournal detects that another writer's claim won.
func (r *Replica) observeJournal() {
	if r.journal.Superseded() {
		r.lose()
	}
}

// lose ends this node's ownership or claim: its unconfirmed proposals are void
// for it, and its state is dropped.
func (r *Replica) lose() {
	r.collectFound()
	r.keepUnlogged()
	r.journal.Reset()
	r.state = StateFollowing
	r.ready.Lost = true
	r.ready.Acquired = false
	r.reportedOwner = ""
	r.mirrors = mirroring{}
	r.pendingTrim = trimNotice{}
	r.release = release{}
	r.idleCheck = idleCheck{}
	r.recover = recovery{}
	r.claim.postpone(r.now)
}

// keepUnlogged stores the unlogged entries of an epoch that this node lost in
// its MirrorStore, if the epoch had mirrors that a later epoch must read.
func (r *Replica) keepUnlogged() {
	owned := r.state == StateOwning || r.state == StateReleasing
	if owned && len(r.mirrors.links) > 0 && r.config.Mirrors != nil {
		r.config.Mirrors.keepOwned(r.config.ID, r.journal.Unlogged())
	}
}

// collectFound moves the journal's results to ready before the journal is
// reset.
func (r *Replica) collectFound() {
	found := r.journal.TakeResults()
	r.ready.Recovered = append(r.ready.Recovered, found.Recovered...)
	r.ready.Confirmed = append(r.ready.Confirmed, found.Confirmed...)
}

// send queues a message to another node. A message to this node's own
// MirrorStore, which may hold entries of a previous owner, is answered at once.
func (r *Replica) send(to machine.ID, message Message) {
	message.Partition = r.config.ID
	if to == r.config.Self {
		if r.config.Mirrors != nil {
			for _, answer := range r.config.Mirrors.Step(to, message) {
				r.localAnswers = append(r.localAnswers, answer.Message)
			}
		}
		return
	}
	r.ready.Messages = append(r.ready.Messages, Outbound{To: to, Message: message})
}
