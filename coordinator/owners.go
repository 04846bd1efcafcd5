package coordinator

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/ownership"
)

// Owner is who serves a partition, as nodes pass it on. Of two records of a
// partition the one with the higher epoch holds, then the later one of its owner.
type Owner struct {
	Partition int             `json:"partition"`
	Epoch     ownership.Epoch `json:"epoch"`
	Node      machine.ID      `json:"node"`
	// Revision counts what the owner changed in the record within its epoch.
	Revision int `json:"revision,omitempty"`
	// Unable says that the owner does not reach the store.
	StoreUnreachable bool `json:"unable,omitempty"`
	// Taking says that the log has the owner's claim, and that the owner still reads
	// what it needs to serve. Each further revision tells of progress.
	TakingOver bool `json:"taking,omitempty"`
}

// newer reports whether the record replaces another one.
func (o Owner) supersedes(other Owner) bool {
	if o.Epoch != other.Epoch {
		return o.Epoch > other.Epoch
	}
	return o.Revision > other.Revision
}

// ownerRecord is what this node knows of a partition's owner.
type knownOwner struct {
	Owner
	receivedAt time.Time
	// remaining is how often the record is still to be passed on.
	sendsLeft int
	// disowned says that the owner itself told that it does not serve.
	denied bool
}

// ownersPerStatus bounds the records that a status carries, so that the message
// fits into one packet.
const maxOwnersPerStatus = 5

// minimumOwnerRounds is how often a record is passed on in a small fleet.
const minOwnerSends = 6

// ownerRounds is how often a record is passed on from here: a rumour that each of n
// nodes sends to 2 log2(n) others reaches all with near certainty.
func (c *Core) ownerSends() int {
	return max(minOwnerSends, 2*bits.Len(uint(len(c.sortedNodes))))
}

// takeOwner takes a record in that may be news.
func (c *Core) mergeOwner(now time.Time, record Owner) {
	if record.Partition < 0 || record.Partition >= len(c.owners) || record.Epoch == 0 {
		return
	}
	known := &c.owners[record.Partition]
	if !record.supersedes(known.Owner) {
		return
	}
	if record.Epoch > known.Epoch {
		// Whoever was asked for the partition before does not have it.
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
}

// ownedHere makes the record of a partition that this node serves, or is taking over.
func (c *Core) publishOwnership(now time.Time, p *partition) {
	record := Owner{
		Partition: p.index, Epoch: p.epoch, Node: c.self().ID, StoreUnreachable: !c.storeReachable, TakingOver: p.state == stateTakingOver,
	}
	if known := c.owners[p.index].Owner; known.Epoch == p.epoch {
		record.Revision = known.Revision + 1
	}
	c.mergeOwner(now, record)
}

// someOwners returns the records that are to be passed on, those that were sent the
// least first.
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

// disown takes in that a node which counts as a partition's owner told that it does
// not serve it.
func (c *Core) stepOwnershipDenied(event Disowned) {
	if event.Partition < 0 || event.Partition >= len(c.owners) {
		return
	}
	if known := &c.owners[event.Partition]; known.Node == event.Node {
		known.denied = true
	}
}

// recordedOwner returns the owner that the newest record names, if it is one of the
// nodes that may serve.
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
