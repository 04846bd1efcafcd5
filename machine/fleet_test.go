package machine

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"birchwood.example/birchwood/zone"
)

// overheadBytes is the size on the wire of a request with one message and of
// its empty answer, besides the message itself. linkhttp's test measures it.
const overheadBytes = 300

// fleet runs many memberships in virtual time over links that delay and lose
// messages and can be partitioned.
type fleet struct {
	now          time.Time
	random       *rand.Rand
	members      []*member
	byID         map[ID]*member
	list         []Machine
	listInterval time.Duration
	events       events
	order        int
	loss         float64
	// datagramLoss is the additional loss of messages that no transport
	// retransmits.
	datagramLoss float64
	// partitioned reports whether messages from one zone to another are lost.
	partitioned func(from, to zone.Name) bool
	// messages and bytes are totals over all members.
	messages int
	bytes    int
	// falseDeaths counts the declarations of death of members that were up.
	falseDeaths int
	// changes counts the signalled changes of Nodes or Backends.
	changes int
}

// member is one node of the fleet.
type member struct {
	*Membership
	entry  Machine
	down   bool
	paused bool
	// pending are the events that arrived while the member was paused.
	pending   []event
	wake      time.Time
	knownDead map[ID]bool
}

type event struct {
	at    time.Time
	order int
	to    ID
	from  ID
	// message is nil for a wake-up and for a reading of the list.
	message *Message
	list    bool
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	fleetZones  = 10
	linkDelay   = 5 * time.Millisecond
	linkJitter  = 10 * time.Millisecond
	listPeriod  = 2 * time.Second
	fleetOrigin = 1_700_000_000
)

func zoneName(index int) zone.Name {
	return zone.Name(fmt.Sprintf("zone-%d", index%fleetZones))
}

func newFleet(size int, seed uint64) *fleet {
	f := &fleet{
		now:          time.Unix(fleetOrigin, 0),
		random:       rand.New(rand.NewPCG(seed, 1)),
		byID:         make(map[ID]*member),
		partitioned:  func(zone.Name, zone.Name) bool { return false },
		listInterval: listPeriod,
	}
	for i := range size {
		f.list = append(f.list, Machine{
			ID: ID(fmt.Sprintf("node-%03d", i)), Kind: KindNode, Zone: zoneName(i),
			Address: fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256), Status: StatusLive, Incarnation: 1,
		})
	}
	for i, entry := range f.list {
		config := DefaultConfig(entry, rand.New(rand.NewPCG(seed, uint64(i)+2)))
		created, err := NewMembership(config)
		if err != nil {
			panic(err)
		}
		m := &member{Membership: created, entry: entry, knownDead: make(map[ID]bool)}
		f.members = append(f.members, m)
		f.byID[entry.ID] = m
		f.push(event{at: f.now, to: entry.ID, list: true})
		f.push(event{at: f.now, to: entry.ID})
	}
	return f
}

func (f *fleet) push(e event) {
	f.order++
	e.order = f.order
	heap.Push(&f.events, e)
}

// run advances virtual time by the given duration.
func (f *fleet) run(duration time.Duration) {
	end := f.now.Add(duration)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		next := heap.Pop(&f.events).(event)
		f.now = next.at
		f.deliver(next)
	}
	f.now = end
}

// runUntil advances the time until the condition holds, and returns how long
// that took. It gives up after limit.
func (f *fleet) runUntil(limit time.Duration, holds func() bool) (time.Duration, bool) {
	const step = 50 * time.Millisecond
	for passed := time.Duration(0); passed <= limit; passed += step {
		if holds() {
			return passed, true
		}
		f.run(step)
	}
	return limit, false
}

func (f *fleet) deliver(e event) {
	m := f.byID[e.to]
	if m.down {
		return
	}
	if m.paused {
		m.pending = append(m.pending, e)
		return
	}
	switch {
	case e.list:
		m.Observe(f.now, f.list)
		f.push(event{at: f.now.Add(f.listInterval), to: e.to, list: true})
	case e.message != nil:
		m.Step(f.now, e.from, *e.message)
	case e.at.Before(m.wake):
		return
	default:
		m.Tick(f.now)
	}
	f.drain(m)
}

func (f *fleet) drain(m *member) {
	ready := m.Ready()
	for _, outbound := range ready.Messages {
		f.transmit(m, outbound)
	}
	if ready.Changed {
		f.changes++
		f.countFalseDeaths(m)
	}
	if wake := m.NextWake(); !wake.Equal(m.wake) {
		m.wake = wake
		at := wake
		if at.Before(f.now) {
			at = f.now
		}
		f.push(event{at: at, to: m.entry.ID})
	}
}

func (f *fleet) transmit(m *member, outbound Outbound) {
	encoded, err := json.Marshal(outbound.Message)
	if err != nil {
		panic(err)
	}
	f.messages++
	f.bytes += len(encoded) + overheadBytes
	receiver, ok := f.byID[outbound.To]
	loss := f.loss
	if !outbound.Message.Reliable {
		loss += f.datagramLoss
	}
	if !ok || f.random.Float64() < loss || f.partitioned(m.entry.Zone, receiver.entry.Zone) {
		return
	}
	delay := linkDelay + time.Duration(f.random.Int64N(int64(linkJitter)))
	f.push(event{at: f.now.Add(delay), to: outbound.To, from: m.entry.ID, message: &outbound.Message})
}

func (f *fleet) countFalseDeaths(m *member) {
	for _, known := range m.All() {
		dead := known.Status == StatusDead
		if dead && !m.knownDead[known.ID] {
			if subject := f.byID[known.ID]; !subject.down && !subject.paused {
				f.falseDeaths++
			}
		}
		m.knownDead[known.ID] = dead
	}
}

// pause stops a member as SIGSTOP would. resume delivers the messages that
// arrived meanwhile.
func (f *fleet) pause(m *member) { m.paused = true }

func (f *fleet) resume(m *member) {
	m.paused = false
	for _, pending := range m.pending {
		pending.at = f.now
		f.push(pending)
	}
	m.pending = nil
}

// allMembers reports whether every running member satisfies the condition.
func (f *fleet) allMembers(condition func(m *member) bool) bool {
	for _, m := range f.members {
		if !m.down && !m.paused && !condition(m) {
			return false
		}
	}
	return true
}

func (f *fleet) allHaveNodes(count int) bool {
	return f.allMembers(func(m *member) bool { return len(m.Nodes()) == count })
}

func (m *member) hasNode(id ID) bool {
	for _, known := range m.Nodes() {
		if known.ID == id {
			return true
		}
	}
	return false
}
