package machine

import (
	"cmp"
	"slices"
	"time"
)

// Membership is one node's view of the fleet. It is not safe for concurrent
// use: the control goroutine owns it.
type Membership struct {
	config Config
	self   Machine
	// leaving is set once this node has announced its own leaving.
	leaving bool
	records map[ID]*record
	// probes are the probes that wait for an ack, by sequence number.
	probes map[uint64]*probe
	// relays are the probes sent on behalf of peers, by sequence number.
	relays map[uint64]relay
	// suspects are the nodes whose suspicion runs.
	suspects map[ID]*record
	sequence uint64
	// round counts the rounds of probes.
	probeRound uint64
	rotation   rotation
	// deadRotation is a second round over the same nodes, for dead ones.
	deadRotation rotation
	rumours      rumours
	health       health

	revision           uint64
	peerRevision       uint64
	peerRevisionSource ID

	started       bool
	lastCall      time.Time
	lastObserved  time.Time
	nextProbe     time.Time
	nextGossip    time.Time
	nextDeadProbe time.Time
	// nextView is when a changed view may be signalled again.
	nextViewSignal time.Time

	outbound   []Outbound
	changed    bool
	nodes      []Machine
	backends   []Machine
	viewsStale bool
	// version counts the changes of nodes and backends.
	version uint64
}

// record is what is known of one other machine.
type record struct {
	// listed is the entry as the machine list last showed it.
	listed Machine
	// missingSince is when a list first missed the entry; zero while listed.
	missingSince time.Time
	// incarnation is the highest heard, from the list or by refutation.
	incarnation uint64
	// status is live, suspect or dead, as probing has it.
	status Status
	// leaving is set from the list or by gossip.
	leaving bool
	// leavingSince is the last evidence of leaving, and leavingIncarnation the
	// process that the first evidence was of.
	leavingSince       time.Time
	leavingIncarnation uint64
	suspectSince       time.Time
	// suspectedHere is set when the suspicion began with a probe of this node.
	suspectedHere bool
	// suspectUntil is when an unrefuted suspicion becomes a death.
	suspectUntil time.Time
	// unreachable is set while direct probes from here get no ack.
	unreachable bool
	lastProbe   time.Time
	// lastHeard is when the machine's last message arrived.
	lastReceived time.Time
}

// MembershipReady is what the driver has to act on.
type MembershipReady struct {
	Messages []Outbound
	// Changed says that Nodes or Backends differ from before. It comes at most
	// once in a ViewPeriod.
	Changed bool
}

// NewMembership returns a membership that knows of no machine but itself.
func NewMembership(config Config) (*Membership, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	config.Self.Status = StatusLive
	return &Membership{
		config:     config,
		self:       config.Self,
		records:    make(map[ID]*record),
		probes:     make(map[uint64]*probe),
		relays:     make(map[uint64]relay),
		suspects:   make(map[ID]*record),
		health:     health{maximum: config.MaximumHealthScore},
		viewsStale: true,
		changed:    true,
	}, nil
}

// Tick performs what is due at now.
func (m *Membership) Tick(now time.Time) {
	m.advance(now)
	m.expireProbes(now)
	m.expireSuspects(now)
	if !now.Before(m.nextProbe) {
		m.nextProbe = now.Add(m.config.ProbePeriod)
		m.probeNext(now)
	}
	if !now.Before(m.nextDeadProbe) {
		m.nextDeadProbe = now.Add(m.config.DeadProbePeriod)
		m.probeDead(now)
	}
	if !now.Before(m.nextGossip) {
		m.nextGossip = now.Add(m.config.GossipPeriod)
		m.gossip()
	}
}

// NextWake returns when Tick must be called at the latest.
func (m *Membership) NextWake() time.Time {
	wake := m.nextProbe
	if m.nextDeadProbe.Before(wake) {
		wake = m.nextDeadProbe
	}
	if m.rumours.pending() && m.nextGossip.Before(wake) {
		wake = m.nextGossip
	}
	if m.changed && m.nextViewSignal.Before(wake) {
		wake = m.nextViewSignal
	}
	for _, outstanding := range m.probes {
		if outstanding.deadline.Before(wake) {
			wake = outstanding.deadline
		}
	}
	for _, suspect := range m.suspects {
		if suspect.suspectUntil.Before(wake) {
			wake = suspect.suspectUntil
		}
	}
	return wake
}

// Ready returns what has accumulated since the last call.
func (m *Membership) Ready() MembershipReady {
	ready := MembershipReady{Messages: m.outbound}
	m.outbound = nil
	if m.changed && !m.lastCall.Before(m.nextViewSignal) {
		ready.Changed = true
		m.changed = false
		m.nextViewSignal = m.lastCall.Add(m.config.ViewPeriod)
	}
	return ready
}

// Leave announces in all later messages that this node is leaving. It does
// not come back in this incarnation.
func (m *Membership) Leave(now time.Time) {
	m.advance(now)
	if m.leaving {
		return
	}
	m.leaving = true
	m.self.Status = StatusLeaving
	m.viewChangedNow()
	m.disseminate(m.selfUpdate())
	m.announce(m.selfUpdate())
}

// announce sends an update to every node at once. Gossip alone would reach
// them too, but over several periods, in which they would hand partitions to a
// node that gives its own away. A node leaves seldom: one message a peer.
func (m *Membership) announce(update Update) {
	m.refreshViews()
	for _, node := range m.nodes {
		if node.ID != m.self.ID {
			m.send(node.ID, Message{Kind: MessageAnnounce, Updates: []Update{update}, Reliable: true})
		}
	}
}

// Nodes returns the live nodes, this one included unless it is leaving,
// sorted by ID. Suspects count as live. The caller must not change the slice.
func (m *Membership) Nodes() []Machine {
	m.refreshViews()
	return m.nodes
}

// Backends returns the engines and tools with their status, live or leaving,
// sorted by ID. The caller must not change the slice.
func (m *Membership) Backends() []Machine {
	m.refreshViews()
	return m.backends
}

// All returns every known machine with its status, sorted by ID.
func (m *Membership) All() []Machine {
	all := make([]Machine, 0, len(m.records)+1)
	all = append(all, m.self)
	for _, known := range m.records {
		all = append(all, known.machine())
	}
	slices.SortFunc(all, CompareID)
	return all
}

// SetRevision tells the highest settings revision that this node holds. A
// higher one than before is passed on like other news.
func (m *Membership) SetRevision(revision uint64) {
	if revision <= m.revision {
		return
	}
	m.revision = revision
	m.rumours.requestRounds(revisionGossipRounds)
}

// announcementRounds is for how many gossip periods a new revision is worth
// messages of its own. Every node that hears of it sends as many; whoever is
// missed hears of it with the next probes.
const revisionGossipRounds = 3

// HeardRevision returns the highest settings revision that any peer has
// named, and the peer that named it first.
func (m *Membership) HeardRevision() (from ID, revision uint64) {
	return m.peerRevisionSource, m.peerRevision
}

// advance notices pauses: a gap longer than the node could have wanted.
func (m *Membership) advance(now time.Time) {
	if !m.started {
		m.started = true
		m.lastCall = now
		m.nextProbe = now.Add(m.randomDelay(m.config.ProbePeriod))
		m.nextGossip = now
		m.nextDeadProbe = now.Add(m.randomDelay(m.config.DeadProbePeriod))
		return
	}
	gap := now.Sub(m.lastCall)
	if gap <= 0 {
		return
	}
	m.lastCall = now
	if gap > 2*m.config.ProbePeriod {
		m.recoverFromPause(now, gap)
	}
}

// wake follows a pause. Nothing that was missed meanwhile is held against a
// peer, and the node's own health counts as poor.
func (m *Membership) recoverFromPause(now time.Time, gap time.Duration) {
	clear(m.probes)
	clear(m.relays)
	m.health.worsen(int(gap / m.config.ProbePeriod))
	for _, suspect := range m.suspects {
		m.restartSuspicion(now, suspect)
	}
	for _, known := range m.records {
		if !known.missingSince.IsZero() {
			known.missingSince = known.missingSince.Add(gap)
		}
	}
}

func (m *Membership) randomDelay(duration time.Duration) time.Duration {
	return time.Duration(m.config.Random.Int64N(int64(duration)) + 1)
}

// Version counts the changes of what Nodes and Backends return.
func (m *Membership) Version() uint64 { return m.version }

func (m *Membership) viewChanged() {
	m.viewsStale = true
	m.version++
	m.changed = true
}

// viewChangedNow is for a machine that leaves, which nobody may give new work
// to: the signal does not wait for the ViewPeriod.
func (m *Membership) viewChangedNow() {
	m.viewChanged()
	m.nextViewSignal = time.Time{}
}

func (m *Membership) refreshViews() {
	if !m.viewsStale {
		return
	}
	m.viewsStale = false
	m.nodes = nil
	m.backends = nil
	for _, known := range m.All() {
		switch {
		case known.Kind != KindNode:
			m.backends = append(m.backends, known)
		case known.Status == StatusLive || known.Status == StatusSuspect:
			known.Status = StatusLive
			m.nodes = append(m.nodes, known)
		}
	}
}

// machine returns the entry with the status that follows from all sources.
func (r *record) machine() Machine {
	entry := r.listed
	entry.Status = r.effectiveStatus()
	return entry
}

func (r *record) effectiveStatus() Status {
	if r.status != StatusDead && r.leaving {
		return StatusLeaving
	}
	return r.status
}

// CompareID orders machines by their ids.
func CompareID(left, right Machine) int { return cmp.Compare(left.ID, right.ID) }
