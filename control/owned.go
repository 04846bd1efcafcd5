package control

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/partition"
	"birchwood.example/birchwood/program"
	"birchwood.example/birchwood/recordlog"
	"birchwood.example/birchwood/schedule"
)

// ownedPartition is a partition that this node owns or is taking over, with its
// replica, its programs and the outputs that wait for durability.
type ownedPartition struct {
	id       partition.ID
	replica  *partition.Replica
	store    *program.Store
	acquired bool
	// unreadable is the error that keeps the partition closed on this node.
	unreadable error
	// draining is set while a handover is due: no new attempt starts, and the
	// calls that would have started are kept in postponed. handoverHeld is the
	// DeferHandover value last passed to the replica: it is set while running
	// attempts or unproposed records delay a handover.
	draining      bool
	drainDeadline time.Time
	handoverHeld  bool
	postponed     []program.Effect

	// position counts the records that the store has decided, and
	// durablePosition those that are durable. Both start at zero with each
	// acquisition.
	position        uint64
	durablePosition uint64
	// unproposed holds records that the replica has not accepted yet.
	unproposed []program.Record
	proposed   map[recordlog.Token]proposedRecord
	outputs    []pendingOutput

	placed map[program.CallRef]placedCall
	// waiters holds the handles of the requests that wait for a call's end.
	waiters map[program.CallRef][]uint64
	traces  map[api.ProgramID][]CallTrace
	// prefixEngines holds the engines that cache a prefix of each program.
	prefixEngines map[api.ProgramID]map[machine.ID]bool
	// queued holds the calls that the scheduler has not placed yet.
	queued map[program.CallRef]queuedCall
}

// proposedRecord is a record that the log has not confirmed yet.
type proposedRecord struct {
	position uint64
	record   program.Record
}

// pendingOutput is the part of an output that may be performed only once all
// records up to position are durable.
type pendingOutput struct {
	position uint64
	effects  []program.Effect
	// endings holds those of its records that end a call or a program.
	endings []program.Record
	replies []Answer
	fetches []FetchHistory
}

// queuedCall is a call in the scheduler and the time it was enqueued.
type queuedCall struct {
	effect program.Effect
	since  time.Time
}

// placedCall is a call that was sent to a back end, or is about to be.
type placedCall struct {
	attempt  int
	backend  machine.ID
	sent     bool
	decision schedule.Decision
}

// PartitionStatus describes one partition of this node, for operators.
type PartitionStatus struct {
	Partition   partition.ID    `json:"partition"`
	State       partition.State `json:"state"`
	Epoch       uint64          `json:"epoch"`
	Programs    int             `json:"programs"`
	Running     int             `json:"running"`
	Unconfirmed int             `json:"unconfirmed"`
	// Stall describes what a recovery waits for; nil when it does not wait.
	Stall *partition.Stall `json:"stall,omitempty"`
}

// serving reports whether the partition's programs accept commands: this node
// has replayed their records and can still add to them. It is false while a
// handover flushes the last records, because further records would be lost.
func (p *ownedPartition) serving() bool {
	return p.acquired && p.replica.State() == partition.StateOwning
}

func (p *ownedPartition) status() PartitionStatus {
	status := PartitionStatus{
		Partition:   p.id,
		State:       p.replica.State(),
		Epoch:       p.replica.Epoch(),
		Running:     len(p.placed),
		Unconfirmed: len(p.proposed) + len(p.unproposed),
	}
	if p.store != nil {
		status.Programs = p.store.Count()
	}
	if stall, stalled := p.replica.Stall(); stalled {
		status.Stall = &stall
	}
	return status
}

// sortedPartitions returns the partitions of this node in a fixed order, so
// that a run can be replayed from its seed.
func (c *Core) sortedPartitions() []*ownedPartition {
	all := make([]*ownedPartition, 0, len(c.partitions))
	for _, owned := range c.partitions {
		all = append(all, owned)
	}
	slices.SortFunc(all, func(a, b *ownedPartition) int { return comparePartitions(a.id, b.id) })
	return all
}

func comparePartitions(a, b partition.ID) int {
	return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Index, b.Index))
}

// openPartition creates a replica, which claims the partition when this node
// should own it.
func (c *Core) openPartition(now time.Time, id partition.ID) {
	config := c.config.Replica
	config.ID = id
	config.Mirrors = c.mirrors
	replica, err := partition.NewReplica(config)
	if err != nil {
		panic(fmt.Sprintf("control: invalid replica config: %v", err))
	}
	owned := &ownedPartition{id: id, replica: replica}
	owned.reset(c)
	c.partitions[id] = owned
	c.routingChanged = true
	c.setView(now, owned)
}

// reset clears all state that only the owner may have.
func (p *ownedPartition) reset(c *Core) {
	store, err := program.NewStore(c.storeConfig())
	if err != nil {
		panic(fmt.Sprintf("control: invalid store config: %v", err))
	}
	p.store = store
	p.acquired = false
	p.unreadable = nil
	p.draining = false
	p.handoverHeld = false
	p.postponed = nil
	p.position, p.durablePosition = 0, 0
	p.unproposed = nil
	p.proposed = make(map[recordlog.Token]proposedRecord)
	p.outputs = nil
	p.placed = make(map[program.CallRef]placedCall)
	p.waiters = make(map[program.CallRef][]uint64)
	p.traces = make(map[api.ProgramID][]CallTrace)
	p.prefixEngines = make(map[api.ProgramID]map[machine.ID]bool)
	p.queued = make(map[program.CallRef]queuedCall)
}

// stepReplica passes an answer of the log service to the partition's replica.
func (c *Core) stepReplica(now time.Time, id partition.ID, result any) {
	if owned, ok := c.partitions[id]; ok {
		owned.replica.Step(now, result)
	}
}

// tickPartition runs the partition's timers.
func (c *Core) tickPartition(now time.Time, owned *ownedPartition) {
	owned.replica.Tick(now)
	if owned.serving() {
		c.apply(now, owned, owned.store.Tick(now), nil)
	}
	c.reviewDrain(now, owned)
}

// advancePartitions performs the pending output of all replicas and reports
// whether there was any.
func (c *Core) advancePartitions(now time.Time) bool {
	progress := false
	for _, owned := range c.sortedPartitions() {
		c.proposeRecords(now, owned)
		if owned.replica.HasReady() {
			progress = true
			c.performReplica(now, owned, owned.replica.Ready())
		}
		c.closeIfIdle(owned)
	}
	return progress
}

// closeIfIdle removes a replica that neither owns its partition nor should.
func (c *Core) closeIfIdle(owned *ownedPartition) {
	if owned.replica.State() == partition.StateFollowing && !owned.replica.HasReady() && !c.shouldOwn(owned) {
		delete(c.partitions, owned.id)
		if c.ownerHints[owned.id] == c.config.Self.ID {
			c.setHint(owned.id, "") // Handover was offered but never completed.
		}
		c.routingChanged = true
	}
}

// performReplica applies one Ready of a replica.
func (c *Core) performReplica(now time.Time, owned *ownedPartition, ready partition.Ready) {
	for _, appendRequest := range ready.Appends {
		c.emit(AppendStream{Partition: owned.id, Append: appendRequest})
	}
	for _, read := range ready.Reads {
		c.emit(ReadStream{Partition: owned.id, Read: read})
	}
	for _, message := range ready.Messages {
		c.sendPartition(message)
	}
	for _, recovered := range ready.Recovered {
		owned.recover(recovered)
	}
	for _, confirmed := range ready.Confirmed {
		owned.confirm(confirmed)
	}
	if ready.Acquired {
		c.acquired(now, owned, ready.Epoch)
	}
	c.performDurable(now, owned)
	if ready.Lost {
		c.lost(now, owned)
	}
	c.proposeSnapshot(now, owned)
}

// recover applies one recovered record to the programs. A record that this
// version cannot decode keeps the partition closed: serving without it could
// violate what the record guaranteed.
func (p *ownedPartition) recover(recovered partition.Recovered) {
	if p.unreadable != nil {
		return
	}
	if err := p.replay(recovered); err != nil {
		p.unreadable = fmt.Errorf("partition %s, offset %d: %w", p.id, recovered.Offset, err)
	}
}

func (p *ownedPartition) replay(recovered partition.Recovered) error {
	if recovered.Snapshot {
		return p.store.RecoverSnapshot(recovered.Payload)
	}
	var record program.Record
	if err := json.Unmarshal(recovered.Payload, &record); err != nil {
		return err
	}
	return p.store.Recover(recovered.Offset, record)
}

// confirm records that a proposed record is durable and, once the log has it,
// its offset.
func (p *ownedPartition) confirm(confirmed partition.Confirmed) {
	proposed, ok := p.proposed[confirmed.Token]
	if !ok {
		return
	}
	p.durablePosition = max(p.durablePosition, proposed.position)
	if confirmed.Offset == partition.NoOffset {
		return
	}
	delete(p.proposed, confirmed.Token)
	p.store.SetRecordOffset(proposed.record.Program, proposed.record, confirmed.Offset)
}

// acquired starts serving requests, resumes what the previous owner left
// unfinished, and applies the current terms to all programs.
func (c *Core) acquired(now time.Time, owned *ownedPartition, epoch uint64) {
	if owned.unreadable != nil {
		c.emit(PartitionUnreadable{Partition: owned.id, Err: owned.unreadable})
		return
	}
	owned.acquired = true
	c.setHint(owned.id, c.config.Self.ID)
	c.emit(PartitionChanged{Partition: owned.id, Owned: true, Epoch: epoch, Programs: owned.store.Count()})
	c.apply(now, owned, owned.store.Resume(now, epoch), nil)
	c.updatePartitionTerms(now, owned)
	c.serveParked(now, owned.id)
}

// lost drops the partition's state: another node owns it, or this node will
// replay it after the next claim. Waiting callers are refused and have to query
// the next owner by their key.
func (c *Core) lost(now time.Time, owned *ownedPartition) {
	wasOwned := owned.acquired
	for _, call := range sortedCalls(owned.placed) {
		placed := owned.placed[call]
		c.config.Policy.Finished(now, call, placed.backend, api.Usage{}, 0)
		if placed.sent {
			c.emit(StopAttempt{Attempt: program.AttemptRef{CallRef: call, Attempt: placed.attempt}})
		}
	}
	c.withdrawPartition(owned)
	c.refuseWaiting(owned)
	owned.reset(c)
	c.setHint(owned.id, "")
	if wasOwned {
		c.emit(PartitionChanged{Partition: owned.id})
	}
	c.setView(now, owned)
}

// acceptLoss lets a partition's stalled recovery continue without the mirrors
// that can no longer answer.
func (c *Core) acceptLoss(now time.Time, id partition.ID) {
	if owned, ok := c.partitions[id]; ok {
		owned.replica.AcceptLoss(now)
	}
}

// proposeSnapshot proposes a snapshot of the programs' state when the replica
// wants one.
func (c *Core) proposeSnapshot(now time.Time, owned *ownedPartition) {
	if !owned.serving() || len(owned.unproposed) > 0 || !owned.replica.WantsSnapshot() {
		return
	}
	// The error can be ignored: WantsSnapshot stays true, so this is retried.
	_ = owned.replica.ProposeSnapshot(now, owned.store.Snapshot())
}

func sortedCalls[V any](calls map[program.CallRef]V) []program.CallRef {
	refs := make([]program.CallRef, 0, len(calls))
	for ref := range calls {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, compareCalls)
	return refs
}

func compareCalls(a, b program.CallRef) int {
	return cmp.Or(cmp.Compare(a.Program, b.Program), cmp.Compare(a.Sequence, b.Sequence))
}
