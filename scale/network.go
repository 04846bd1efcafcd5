package scale

import (
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"birchwood.example/birchwood/link"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// What linkhttp adds to the JSON of one message: the request with its headers
// and brackets, and the empty answer. A test holds them against linkhttp.
const (
	requestOverhead = 181
	answerOverhead  = 64
)

// network carries the messages between hollow nodes.
type network struct {
	world   world
	mutex   sync.RWMutex
	members map[machine.ID]*member
	// severed is the region that is cut off from the others, or empty.
	severed zone.Region
}

func newNetwork(world world) *network {
	return &network{world: world, members: make(map[machine.ID]*member)}
}

func (n *network) add(joined *member) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.members[joined.entry.ID] = joined
}

// sever cuts a region off from all others; an empty region heals the cut.
func (n *network) sever(region zone.Region) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.severed = region
}

// permits reports whether messages pass between two zones.
func (n *network) permits(from, to zone.Name) bool {
	n.mutex.RLock()
	defer n.mutex.RUnlock()
	if n.severed == "" {
		return true
	}
	return (n.world.regionOf(from) == n.severed) == (n.world.regionOf(to) == n.severed)
}

// hollow returns the receiver if it can be reached in process.
func (n *network) hollow(id machine.ID) (*member, bool) {
	n.mutex.RLock()
	defer n.mutex.RUnlock()
	receiver, ok := n.members[id]
	return receiver, ok && !receiver.real
}

// carry encodes a message, counts it and delivers it after the link's delay.
func (n *network) carry(from, to *member, message link.Message) error {
	encoded, err := json.Marshal(message)
	if err != nil {
		return err
	}
	request := int64(len(encoded) + requestOverhead)
	from.traffic.sent.Add(request)
	if !n.permits(from.entry.Zone, to.entry.Zone) {
		return nil
	}
	from.traffic.messages.Add(1)
	from.traffic.count(message, len(encoded)+requestOverhead+answerOverhead)
	from.traffic.received.Add(answerOverhead)
	time.AfterFunc(n.world.delay(from.entry.Zone, to.entry.Zone), func() { to.take(encoded, request) })
	return nil
}

// traffic counts a node's control messages, as linkhttp's counters do.
type traffic struct {
	sent     atomic.Int64
	received atomic.Int64
	messages atomic.Int64
	// The bytes sent, with the answers, by kind of message.
	membership atomic.Int64
	partition  atomic.Int64
	sweep      atomic.Int64
	load       atomic.Int64
}

func (t *traffic) count(message link.Message, size int) {
	switch {
	case message.Membership != nil:
		t.membership.Add(int64(size))
	case message.Partition != nil:
		t.partition.Add(int64(size))
	case message.Sweep != nil:
		t.sweep.Add(int64(size))
	case message.Load != nil:
		t.load.Add(int64(size))
	}
}
