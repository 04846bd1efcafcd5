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
	Unable bool `json:"unable,omitempty"`
	// Taking says that the log has the owner's claim, and that the owner still reads
	// what it needs to serve. Each further revision tells of progress.
	Taking bool `json:"taking,omitempty"`
}

// newer reports whether the record replaces another one.
func (o Owner) newer(than Owner) bool {
	if o.Epoch != than.Epoch {
		return o.Epoch > than.Epoch
	}
	return o.Revision > than.Revision
}

// ownerRecord is what this node knows of a partition's owner.
type ownerRecord struct {
	Owner
	heardAt time.Time
	// remaining is how often the record is still to be passed on.
	remaining int
	// disowned says that the owner itself told that it does not serve.
	disowned bool
}

// ownersPerStatus bounds the records that a status carries, so that the message
// fits into one packet.
const ownersPerStatus = 5

// minimumOwnerRounds is how often a record is passed on in a small fleet.
const minimumOwnerRounds = 6

// ownerRounds is how often a record is passed on from here: a rumour that each of n
// nodes sends to 2 log2(n) others reaches all with near certainty.
func (c *Core) ownerRounds() int {
	return max(minimumOwnerRounds, 2*bits.Len(uint(len(c.listing))))
}

// takeOwner takes a record in that may be news.
func (c *Core) takeOwner(now time.Time, heard Owner) {
	if heard.Partition < 0 || heard.Partition >= len(c.owners) || heard.Epoch == 0 {
		return
	}
	known := &c.owners[heard.Partition]
	if !heard.newer(known.Owner) {
		return
	}
	if heard.Epoch > known.Epoch {
		// Whoever was asked for the partition before does not have it.
		c.partitions[heard.Partition].handover.forget()
	}
	*known = ownerRecord{Owner: heard, heardAt: now, remaining: c.ownerRounds()}
	if heard.Node == c.self().ID {
		return
	}
	if heard.Unable {
		c.noteUnable(now, []machine.ID{heard.Node})
	}
	c.hearOwned(now, map[int]ownership.Epoch{heard.Partition: heard.Epoch})
}

// ownedHere makes the record of a partition that this node serves, or is taking over.
func (c *Core) ownedHere(now time.Time, one *partition) {
	record := Owner{
		Partition: one.index, Epoch: one.epoch, Node: c.self().ID, Unable: !c.reaches, Taking: one.state == stateTaking,
	}
	if known := c.owners[one.index].Owner; known.Epoch == one.epoch {
		record.Revision = known.Revision + 1
	}
	c.takeOwner(now, record)
}

// someOwners returns the records that are to be passed on, those that were sent the
// least first.
func (c *Core) someOwners() (sent []Owner) {
	var fresh []*ownerRecord
	for index := range c.owners {
		if c.owners[index].remaining > 0 {
			fresh = append(fresh, &c.owners[index])
		}
	}
	slices.SortStableFunc(fresh, func(left, right *ownerRecord) int { return cmp.Compare(right.remaining, left.remaining) })
	for _, record := range fresh[:min(len(fresh), ownersPerStatus)] {
		record.remaining--
		sent = append(sent, record.Owner)
	}
	return sent
}

// disown takes in that a node which counts as a partition's owner told that it does
// not serve it.
func (c *Core) disown(answer Disowned) {
	if answer.Partition < 0 || answer.Partition >= len(c.owners) {
		return
	}
	if known := &c.owners[answer.Partition]; known.Node == answer.Node {
		known.disowned = true
	}
}

// recordedOwner returns the owner that the newest record names, if it is one of the
// nodes that may serve.
func (c *Core) recordedOwner(now time.Time, index int) (machine.Machine, bool) {
	known := &c.owners[index]
	switch {
	case known.Epoch == 0 || known.disowned || known.Node == c.self().ID:
		return machine.Machine{}, false
	case known.Unable && c.provesUnable(now, known.heardAt):
		return machine.Machine{}, false
	case !c.reachesStore(now, known.Node):
		return machine.Machine{}, false
	}
	return c.membership.Lookup(known.Node)
}
