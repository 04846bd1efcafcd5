package machine

import (
	"cmp"
	"slices"
	"time"
)

// Membership is one node's view of the fleet. It is not safe for concurrent
// use; the control goroutine owns it.
type Membership struct {
	config Config
	self   Machine
	// leaving is set once this node has announced that it is leaving.
	leaving bool
	records map[ID]*record
	// probes are the probes without an ack so far, by sequence number.
	probes map[uint64]*probe
	// relays are the probes sent on behalf of peers, by sequence number.
	relays map[uint64]relay
	// suspects are the nodes with a running suspicion.
	suspects map[ID]*record
	sequence uint64
	// probeRound counts the rounds of probes.
	probeRound uint64
	rotation   rotation
	// deadRotation is a second rotation over the same nodes, used for probes of
	// dead ones.
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
	// nextViewSignal is the earliest time of the next signal of a changed view.
	nextViewSignal time.Time

	outbound   []Outbound
	changed    bool
	nodes      []Machine
	backends   []Machine
	viewsStale bool
	// version counts the changes of nodes and backends.
	version uint64
}

// record is the state of another machine.
type record struct {
	// listed is the entry as the machine list last showed it.
	listed Machine
	// missingSince is when a list first lacked the entry; zero while it is
	// listed.
	missingSince time.Time
	// incarnation is the highest known one, from the list or from updates.
	incarnation uint64
	// status is live, suspect or dead, according to probing.
	status Status
	// leaving is set from the list or by gossip.
	leaving bool
	// leavingSince is the time of the latest evidence of leaving, and
	// leavingIncarnation the incarnation of the first evidence.
	leavingSince       time.Time
	leavingIncarnation uint64
	suspectSince       time.Time
	// suspectedHere is set when the suspicion began with a failed probe from
	// this node.
	suspectedHere bool
	// suspectUntil is when an unrefuted suspect is declared dead.
	suspectUntil time.Time
	// unreachable is set while direct probes from this node get no ack.
	unreachable bool
	lastProbe   time.Time
	// lastReceived is when the machine's last message arrived.
	lastReceived time.Time
}

// MembershipReady is the output that the driver has to act on.
type MembershipReady struct {
	Messages []Outbound
	// Changed reports that Nodes or Backends have changed. It is set at most
	// once per ViewPeriod, except that a leaving machine is signalled at once.
	Changed bool
}

// NewMembership returns a membership that contains only this node.
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

// NextWake returns the latest time for the next call of Tick.
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

// Leave announces that this node is leaving, to all nodes at once and in later
// messages. It can't be undone in this incarnation.
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

// announce sends an update to every node at once. Gossip alone would take
// several periods, in which nodes would hand partitions to a node that is
// releasing its own. Nodes leave rarely, so one message per peer is acceptable.
func (m *Membership) announce(update Update) {
	m.refreshViews()
	for _, node := range m.nodes {
		if node.ID != m.self.ID {
			m.send(node.ID, Message{Kind: MessageAnnounce, Updates: []Update{update}, Reliable: true})
		}
	}
}

// Nodes returns the live nodes sorted by ID, this one included unless it is
// leaving. Suspects count as live. The caller must not modify the slice.
func (m *Membership) Nodes() []Machine {
	m.refreshViews()
	return m.nodes
}

// Backends returns the engines and tools with their status, live or leaving,
// sorted by ID. The caller must not modify the slice.
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

// SetRevision sets the highest settings revision that this node holds. A higher
// one than before is disseminated like other updates.
func (m *Membership) SetRevision(revision uint64) {
	if revision <= m.revision {
		return
	}
	m.revision = revision
	m.rumours.requestRounds(revisionGossipRounds)
}

// revisionGossipRounds is the number of gossip periods in which a new revision
// causes messages of its own. Every node that receives it sends as many; a node
// that is missed receives the revision with the next probes.
const revisionGossipRounds = 3

// PeerRevision returns the highest settings revision that any peer has sent,
// and the peer that sent it first.
func (m *Membership) PeerRevision() (from ID, revision uint64) {
	return m.peerRevisionSource, m.peerRevision
}

// advance updates the time and detects pauses, that is gaps longer than the
// node could have intended.
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

// recoverFromPause compensates for a pause of this node. Answers missed during
// the pause are not counted against peers, and the node's own health is
// degraded.
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

// viewChangedNow signals a change without waiting for the ViewPeriod. It is
// used for a leaving machine, which must get no new work.
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

// machine returns the entry with the status that results from all sources.
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

// CompareID orders machines by ID.
func CompareID(left, right Machine) int { return cmp.Compare(left.ID, right.ID) }
