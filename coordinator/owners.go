package coordinator

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/ownership"
)

// Owner is the record of who serves a partition, which nodes gossip. Of two records of a
// partition the one with the higher epoch wins, then the one with the higher revision.
type Owner struct {
	Partition int             `json:"partition"`
	Epoch     ownership.Epoch `json:"epoch"`
	Node      machine.ID      `json:"node"`
	// Revision counts the owner's changes to the record within its epoch.
	Revision int `json:"revision,omitempty"`
	// StoreUnreachable reports that the owner cannot reach the store.
	StoreUnreachable bool `json:"unable,omitempty"`
	// TakingOver reports that the owner's claim is in the log, and that the owner is still
	// reading the records it needs to serve. Each further revision shows progress.
	TakingOver bool `json:"taking,omitempty"`
}

// supersedes reports whether the record replaces another one.
func (o Owner) supersedes(other Owner) bool {
	if o.Epoch != other.Epoch {
		return o.Epoch > other.Epoch
	}
	return o.Revision > other.Revision
}

// knownOwner is this node's knowledge of a partition's owner.
type knownOwner struct {
	Owner
	receivedAt time.Time
	// sendsLeft is how many more times the record is to be sent.
	sendsLeft int
	// denied is set if the recorded owner itself reported that it does not serve.
	denied bool
}

// maxOwnersPerStatus bounds the records in a status, so that the message fits into one
// packet.
const maxOwnersPerStatus = 5

// minOwnerSends is how many times a node of a small fleet sends a record.
const minOwnerSends = 6

// ownerSends is how many times this node sends a record. Gossip that each of n nodes sends
// to 2 log2(n) others reaches all of them with near certainty.
func (c *Core) ownerSends() int {
	return max(minOwnerSends, 2*bits.Len(uint(len(c.sortedNodes))))
}

// mergeOwner stores a record if it supersedes the known one.
func (c *Core) mergeOwner(now time.Time, record Owner) {
	if record.Partition < 0 || record.Partition >= len(c.owners) || record.Epoch == 0 {
		return
	}
	known := &c.owners[record.Partition]
	if !record.supersedes(known.Owner) {
		return
	}
	if record.Epoch > known.Epoch {
		// The nodes that received a handover request no longer own the partition.
		c.partitions[record.Partition].handover.resetRequest()
	}
	*known = knownOwner{Owner: record, receivedAt: now, sendsLeft: c.ownerSends()}
	if record.Node == c.self().ID {
		return
	}
	if record.StoreUnreachable {
		c.mergeStoreUnreachable(now, []machine.ID{record.Node})
	}
	c.stepPeerEpochs(now, map[int]ownership.Epoch{record.Partition: record.Epoch})
	c.tickFormer(now, c.partitions[record.Partition])
}

// publishOwnership creates or revises the record of a partition that this node serves or is
// taking over.
func (c *Core) publishOwnership(now time.Time, p *partition) {
	record := Owner{
		Partition: p.index, Epoch: p.epoch, Node: c.self().ID, StoreUnreachable: !c.storeReachable, TakingOver: p.state == stateTakingOver,
	}
	if known := c.owners[p.index].Owner; known.Epoch == p.epoch {
		record.Revision = known.Revision + 1
	}
	c.mergeOwner(now, record)
}

// nextOwners returns the records to send next, those sent least often first.
func (c *Core) nextOwners() (records []Owner) {
	var pending []*knownOwner
	for index := range c.owners {
		if c.owners[index].sendsLeft > 0 {
			pending = append(pending, &c.owners[index])
		}
	}
	slices.SortStableFunc(pending, func(left, right *knownOwner) int { return cmp.Compare(right.sendsLeft, left.sendsLeft) })
	for _, record := range pending[:min(len(pending), maxOwnersPerStatus)] {
		record.sendsLeft--
		records = append(records, record.Owner)
	}
	return records
}

// stepOwnershipDenied notes that the recorded owner of a partition reported that it does
// not serve it.
func (c *Core) stepOwnershipDenied(event OwnershipDenied) {
	if event.Partition < 0 || event.Partition >= len(c.owners) {
		return
	}
	if known := &c.owners[event.Partition]; known.Node == event.Node {
		known.denied = true
	}
}

// recordedOwner returns the owner in the newest record if that is another node and may
// serve.
func (c *Core) recordedOwner(now time.Time, index int) (machine.Machine, bool) {
	known := &c.owners[index]
	switch {
	case known.Epoch == 0 || known.denied || known.Node == c.self().ID:
		return machine.Machine{}, false
	case known.StoreUnreachable && c.failureIsLocal(now, known.receivedAt):
		return machine.Machine{}, false
	case !c.reachesStore(now, known.Node):
		return machine.Machine{}, false
	}
	return c.membership.Lookup(known.Node)
}
