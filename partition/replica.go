package partition

import (
	"encoding/json"
	"errors"
	"time"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/recordlog"
)

// Replica is one node's part in one partition. It is not safe for concurrent
// use.
type Replica struct {
	config  Config
	now     time.Time
	state   State
	journal *recordlog.Journal
	view    View
	ready   Ready

	// desired is the owner by this node's view, wanted since desiredSince.
	desired      machine.ID
	desiredSince time.Time
	// reportedOwner is the live node that owns the partition, as it told last.
	reportedOwner machine.ID
	claim         claim
	release       release
	recover       recovery
	mirrors       mirroring
	pendingTrim   trimNotice
	idleCheck     idleCheck
	// localAnswers holds the answers of this node's own MirrorStore.
	localAnswers []Message
}

// NewReplica returns a following replica, or every finding about the config.
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

// State returns this node's part in the partition.
func (r *Replica) State() State {
	return r.state
}

// Epoch returns the newest epoch that this replica knows of.
func (r *Replica) Epoch() uint64 {
	return max(r.journal.Epoch(), r.journal.Fold().Epoch)
}

// Unconfirmed returns the bytes of proposals that the log has not confirmed.
func (r *Replica) Unconfirmed() int {
	return r.journal.UnconfirmedBytes()
}

// Owner returns the node that requests for the partition should go to, as far
// as this node knows: the live node that last said it owns the partition, else
// the one that should own it.
func (r *Replica) Owner() (machine.ID, bool) {
	if r.state == StateOwning || r.state == StateReleasing {
		return r.config.Self, true
	}
	return Owner(r.config.ID, r.view.Placement, r.view.Nodes, r.reportedOwner)
}

// Step takes the driver's answer to a request: an Appended or a ReadDone.
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

// Tick lets timers act; NextWake tells when it is due.
func (r *Replica) Tick(now time.Time) {
	r.now = now
	r.journal.Tick(now)
	r.advance()
}

// Propose queues a record. It is durable once Ready returns its token in
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

// ProposeSnapshot queues the state as of every proposal so far, in parts.
// Older entries need not be read again once all parts stand in the log.
func (r *Replica) ProposeSnapshot(now time.Time, parts []json.RawMessage) error {
	r.now = now
	if r.state != StateOwning {
		return ErrNotOwner
	}
	err := r.journal.ProposeSnapshot(now, parts)
	r.advance()
	return err
}

// WantsSnapshot reports whether a snapshot is worth its cost by now.
func (r *Replica) WantsSnapshot() bool {
	return r.state == StateOwning && r.journal.WantsSnapshot()
}

// HasReady reports whether Ready has anything to do.
func (r *Replica) HasReady() bool {
	return r.journal.HasReady() || len(r.ready.Messages) > 0 || r.ready.Lost || r.ready.Acquired ||
		len(r.ready.Recovered) > 0 || len(r.ready.Confirmed) > 0
}

// Ready returns what is to be done and forgets it. Recovered and Confirmed
// come before Lost, and Lost before Acquired, where one Ready holds several.
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

// advance drives the replica on after any event.
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

// observeJournal notices that another writer's claim won.
func (r *Replica) observeJournal() {
	if r.journal.Superseded() {
		r.lose()
	}
}

// lose ends this node's part: what was not confirmed is void for it, and its
// state is dropped.
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

// keepUnlogged lets this node's MirrorStore answer for the epoch that it lost, if
// the epoch had mirrors that a later one must read.
func (r *Replica) keepUnlogged() {
	owned := r.state == StateOwning || r.state == StateReleasing
	if owned && len(r.mirrors.links) > 0 && r.config.Mirrors != nil {
		r.config.Mirrors.keepOwned(r.config.ID, r.journal.Rest())
	}
}

// collectFound takes over what the journal found before it is reset.
func (r *Replica) collectFound() {
	found := r.journal.TakeFound()
	r.ready.Recovered = append(r.ready.Recovered, found.Recovered...)
	r.ready.Confirmed = append(r.ready.Confirmed, found.Confirmed...)
}

// send queues a message to another node. What is for this node's own mirrors
// is answered at once: it may have mirrored an owner before it.
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
