package replica

import (
	"cmp"
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"birchwood.example/birchwood/dispatch"
	"birchwood.example/birchwood/zone"
)

// ID names one incarnation of a replica.
type ID string

// Status is a replica's place in its life.
type Status string

// The states of a replica. A replica that is gone is not in the set.
const (
	StatusReady    Status = "ready"
	StatusDraining Status = "draining"
)

// Entry is a replica as the platform lists it.
type Entry struct {
	ID      ID
	Service string
	Address netip.AddrPort
	Zone    string
	Status  Status
	// Slots is how many requests it works on at once.
	Slots int
	// Incarnation is when the replica's process started, in Unix milliseconds; 0 where
	// it does not tell. A replica that starts again under its id holds nothing of before.
	Incarnation uint64 `json:",omitempty"`
	// Cold is what the entry says of how long the replica stays cold.
	Cold ColdWord
}

// Config sets up a Set.
type Config struct {
	// Zone is this node's own, and Regions tells the regions of zones.
	Zone    string
	Regions zone.Topology
	// LeaveWithin is the time that the operator gives to leave an evacuated zone; with
	// 0 all requests leave at once.
	LeaveWithin time.Duration
	// SuspectFor is how long a replica that failed to answer is passed over
	// while others are feasible. It doubles with each failure in a row.
	SuspectFor time.Duration
	// MaximumSuspect bounds it.
	MaximumSuspect time.Duration
	// PeerLoadLifetime is how long a peer's report counts.
	PeerLoadLifetime time.Duration
	// Without switches parts of the choice off, to measure what they are worth.
	Without Parts
}

// Parts are parts of the choice of a replica.
type Parts struct {
	// KeptPrompts is the estimate of what each engine keeps, and LastReplica that
	// the one which served a line of turns last keeps its prompt.
	KeptPrompts bool
	LastReplica bool
	// SharedParts is the estimate of what other nodes had engines read.
	SharedParts bool
	// PeerLoads are the requests that other nodes have under way, and Estimates
	// those of the nodes that were not heard lately.
	PeerLoads bool
	Estimates bool
	// Zones prefers replicas of the node's own zone, Regions those of its region, and
	// Connections those to which a connection is free.
	Zones       bool
	Regions     bool
	Connections bool
	// Faults avoids replicas that erred, and Suspicion passes over those that
	// failed to answer.
	Faults    bool
	Suspicion bool
	// Pace weighs how fast replicas are, and Slack how programs stand against their time.
	Pace  bool
	Slack bool
	// Cold weighs that a replica is cold, and passes over one that is at its rate.
	Cold bool
}

// DefaultConfig returns the settings used in production.
func DefaultConfig(zone string) Config {
	return Config{
		Zone:             zone,
		SuspectFor:       500 * time.Millisecond,
		MaximumSuspect:   4 * time.Second,
		PeerLoadLifetime: 2 * time.Second,
	}
}

// Set is the replicas that this node knows. It is not safe for concurrent use.
type Set struct {
	config Config
	byID   map[ID]*member
	// services lists the replicas of each service, and ranked lists them in the order in
	// which a window takes them in.
	services map[string][]*member
	ranked   map[string][]*member
	// windows bound which replicas of a large service are weighed.
	windows map[string]*window
	// zones counts the replicas of each zone.
	zoneCounts map[string]int
	// busy are the replicas that have requests of this node, and coldTracked those
	// whose turn to warm is still to be told. doubted are those that the list lacks.
	busy        map[ID]*member
	coldTracked map[ID]*member
	unlisted    map[ID]*member
	// paced are the replicas whose pace this node measured lately.
	measured          map[ID]*member
	serviceTokenTimes map[string]*tokenTimes
	// shares is the room in which a choice draws.
	weights []float64
	// cacheTokens is the memory of a service's engines.
	cacheTokens map[string]int
	// coldRates is how many requests a second a cold replica of a service bears.
	coldRates    map[string]float64
	peerRequests map[string]peerReport
	shared       *sharedParts
	// word is the last word of a collector.
	summary receivedSummary
	// flows tell how long the requests of each service take.
	durations map[string]*durationEstimator
	// evacuated are the zones that are to get no requests, and since when.
	evacuated map[zone.Name]time.Time
	// nodes is how many nodes send to the replicas, this one included.
	nodeCount int
}

// member is one replica with what is known of it.
type member struct {
	entry Entry
	// rank orders the replicas of a zone alike for all its nodes, and place is the
	// replica's index in the list of its service.
	rank  uint64
	index int
	// listedAt is when this node first knew of the replica.
	listedAt time.Time
	// own counts this node's requests there; peers those of other nodes.
	ownRequests  int
	peerRequests int
	// others are the requests of all other nodes by a word of a collector, and word is
	// the number of that word.
	summaryRequests float64
	summary         uint64
	cache           *cache
	// faults counts errors, time-outs and failures; it halves with time.
	faults   float64
	faultsAt time.Time
	// failures in a row, and until when the replica is passed over.
	failures     int
	suspectUntil time.Time
	// removeAt is when a replica that is not listed is to go; zero while
	// it is listed.
	removeAt time.Time
	cold     coldState
	// pace is how long a generated token takes there.
	tokenTime dispatch.Pace
	// token is the estimate of it as of the last look at the service's paces, in
	// nanoseconds; 0 where nothing is known.
	tokenNanoseconds float64
	// share is the replica's part of the turns that are placed by a draw, by any measure.
	weight float64
}

// NewSet returns a set without replicas.
func NewSet(config Config) *Set {
	return &Set{
		config:            config,
		byID:              make(map[ID]*member),
		services:          make(map[string][]*member),
		ranked:            make(map[string][]*member),
		windows:           make(map[string]*window),
		zoneCounts:        make(map[string]int),
		busy:              make(map[ID]*member),
		coldTracked:       make(map[ID]*member),
		unlisted:          make(map[ID]*member),
		measured:          make(map[ID]*member),
		serviceTokenTimes: make(map[string]*tokenTimes),
		cacheTokens:       make(map[string]int),
		coldRates:         make(map[string]float64),
		peerRequests:      make(map[string]peerReport),
		shared:            newSharedParts(),
		durations:         make(map[string]*durationEstimator),
		nodeCount:         1,
	}
}

// SetCacheTokens tells the memory of the engines of a service.
func (s *Set) SetCacheTokens(service string, tokens int) {
	s.cacheTokens[service] = tokens
	for _, m := range s.services[service] {
		m.cache.capacity = tokens
	}
}

// SetNodes tells how many nodes send to the replicas, this one included.
func (s *Set) SetNodes(nodeCount int) { s.nodeCount = max(1, nodeCount) }

// Put adds a replica or takes over its new entry. It reports whether anything
// but the entry of a known, equal replica changed. A cold time that runs down is no
// change, and word of an earlier incarnation is not taken in. A replica that started
// again, or serves another service now, begins without anything that was known of it.
func (s *Set) Put(now time.Time, entry Entry) (changed bool) {
	status := entry.Cold
	entry.Cold = ColdWord{}
	known := s.byID[entry.ID]
	if known != nil && entry.Incarnation != 0 && entry.Incarnation < known.entry.Incarnation {
		return false
	}
	if known != nil && !known.replacedBy(entry) {
		changed = s.updateEntry(known, entry)
		return s.updateCold(now, known, status) || changed
	}
	if known != nil {
		s.Remove(entry.ID)
	}
	m := &member{
		entry: entry, rank: rankHash(s.config.Zone, 0, entry.ID), listedAt: now,
		cache: newCache(s.cacheTokens[entry.Service]), peerRequests: s.peerRequestsAt(entry.ID),
	}
	s.updateCold(now, m, status)
	s.byID[entry.ID] = m
	s.addToService(m)
	return true
}

// replacedBy reports whether an entry is of another process than the one known.
func (m *member) replacedBy(entry Entry) bool {
	return entry.Incarnation > m.entry.Incarnation || entry.Service != m.entry.Service
}

// renew takes over a new entry of the process that is known. It reports whether
// anything differs.
func (s *Set) updateEntry(known *member, entry Entry) (changed bool) {
	entry.Incarnation = max(entry.Incarnation, known.entry.Incarnation)
	changed = known.entry != entry
	zoneChanged := known.entry.Zone != entry.Zone
	if zoneChanged {
		s.removeRanked(known)
	}
	known.entry = entry
	if zoneChanged {
		s.insertRanked(known)
	}
	known.removeAt = time.Time{}
	delete(s.unlisted, entry.ID)
	return changed
}

// updateCold takes in what an entry says of the replica being cold. It reports whether
// other nodes are to hear of it.
func (s *Set) updateCold(now time.Time, known *member, status ColdWord) (announce bool) {
	announce = known.cold.update(now, status)
	s.trackCold(now, known)
	return announce
}

// Remove forgets a replica. It returns its entry, and false if it was unknown.
func (s *Set) Remove(id ID) (Entry, bool) {
	known := s.byID[id]
	if known == nil {
		return Entry{}, false
	}
	s.removeFromService(known)
	delete(s.byID, id)
	delete(s.busy, id)
	delete(s.coldTracked, id)
	delete(s.unlisted, id)
	delete(s.measured, id)
	return known.entry, true
}

// Count returns how many replicas are known.
func (s *Set) Count() int { return len(s.byID) }

// IDs returns the ids of all replicas, in no order.
func (s *Set) IDs() []ID { return slices.Collect(maps.Keys(s.byID)) }

// Lookup returns the entry of a replica.
func (s *Set) Lookup(id ID) (Entry, bool) {
	known := s.byID[id]
	if known == nil {
		return Entry{}, false
	}
	return known.entry, true
}

// Entries returns all replicas, sorted by id, with how long they stay cold from now.
func (s *Set) Entries(now time.Time) []Entry {
	all := make([]Entry, 0, len(s.byID))
	for _, known := range s.byID {
		all = append(all, known.entryAt(now))
	}
	slices.SortFunc(all, func(left, right Entry) int { return cmp.Compare(left.ID, right.ID) })
	return all
}

// Began counts a request that is sent to the replica, with the parts of its
// prompt that the replica will keep.
func (s *Set) Began(now time.Time, id ID, request *Request) {
	known := s.byID[id]
	if known == nil {
		return
	}
	s.addOwnRequest(known)
	s.recordInFlight(now, known.entry.Service, 1)
	known.cache.add(now, request.Prompt)
	s.shared.add(now, request.Program, request.Prompt)
}

// Reserve counts a request that may be sent to the replica. Withdraw or Began follows.
func (s *Set) Reserve(id ID) {
	if known := s.byID[id]; known != nil {
		s.addOwnRequest(known)
	}
}

// begin counts one request of this node at a replica.
func (s *Set) addOwnRequest(known *member) {
	known.ownRequests++
	s.busy[known.entry.ID] = known
}

// end counts one request of this node less.
func (s *Set) removeOwnRequest(known *member) {
	known.ownRequests = max(0, known.ownRequests-1)
	if known.ownRequests == 0 {
		delete(s.busy, known.entry.ID)
	}
}

// Withdraw takes back what Reserve counted.
func (s *Set) Withdraw(id ID) {
	if known := s.byID[id]; known != nil {
		s.removeOwnRequest(known)
	}
}

// Result tells how a request at a replica ended.
type Result int

// The results of a request.
const (
	// ResultAnswered is any answer of the replica itself.
	ResultAnswered Result = iota
	// ResultRejected is an answer that the replica did not run the request.
	ResultRejected
	// ResultFailed is a connection that failed, or an answer that broke off.
	ResultFailed
	// ResultErred is an answer of the replica that tells of its own fault.
	ResultErred
	// ResultTimedOut had no answer for long until its time was up.
	ResultTimedOut
	// ResultCancelled was ended from this side.
	ResultCancelled
)

// Ended counts a request that is over.
func (s *Set) Ended(now time.Time, id ID, result Result) {
	known := s.byID[id]
	if known == nil {
		return
	}
	s.removeOwnRequest(known)
	s.recordInFlight(now, known.entry.Service, -1)
	switch result {
	case ResultAnswered:
		known.failures = 0
		known.suspectUntil = time.Time{}
	case ResultRejected:
		known.suspectUntil = now.Add(rejectionPause)
	case ResultFailed:
		wait := s.config.SuspectFor << min(known.failures, maximumSuspicionDoublings)
		known.suspectUntil = now.Add(min(wait, s.config.MaximumSuspect))
		known.failures++
		known.recordFault(now)
	case ResultErred, ResultTimedOut:
		known.recordFault(now)
	case ResultCancelled:
	}
}

// faultHalfLife is the time in which a fault counts half as much.
const faultHalfLife = 3 * time.Second

// fault counts one fault.
func (m *member) recordFault(now time.Time) {
	m.faults = m.decayedFaults(now) + 1
	m.faultsAt = now
}

// decayedFaults returns the faults that still count.
func (m *member) decayedFaults(now time.Time) float64 {
	if m.faults == 0 {
		return 0
	}
	return m.faults * math.Exp2(-float64(now.Sub(m.faultsAt))/float64(faultHalfLife))
}

const (
	// maximumSuspicionDoublings bounds the shift of the time of suspicion.
	maximumSuspicionDoublings = 6
	// rejectionPause is how long a replica that was full is passed over.
	rejectionPause = 50 * time.Millisecond
)

// Own returns this node's requests under way, by replica.
func (s *Set) Own() map[ID]int {
	counts := make(map[ID]int, len(s.busy))
	for id, known := range s.busy {
		counts[id] = known.ownRequests
	}
	return counts
}
