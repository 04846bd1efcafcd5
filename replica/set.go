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

// ID identifies a replica. A replica may restart under the same ID, with a newer incarnation.
type ID string

// Status is the lifecycle state of a replica.
type Status string

// The lifecycle states. A replica that no longer exists is not in the set.
const (
	StatusReady    Status = "ready"
	StatusDraining Status = "draining"
)

// Entry describes a replica as the platform lists it.
type Entry struct {
	ID      ID
	Service string
	Address netip.AddrPort
	Zone    string
	// Version is the version of the replica's software, or "" if the replica does not report
	// it. It never changes under one ID.
	Version string `json:",omitempty"`
	Status  Status
	// Slots is the number of requests that the replica processes concurrently.
	Slots int
	// Incarnation is the start time of the replica's process in Unix milliseconds, or 0 if the
	// replica does not report it. A replica that restarts under the same ID has lost its state.
	Incarnation uint64 `json:",omitempty"`
	// Cold is how long the replica stays cold according to this entry.
	Cold ColdStatus
}

// Config configures a Set.
type Config struct {
	// Zone is this node's own zone. Regions maps zones to regions.
	Zone    string
	Regions zone.Topology
	// LeaveWithin is the time that the operator allows for leaving an evacuated zone. With 0,
	// all requests leave at once.
	LeaveWithin time.Duration
	// SuspectFor is how long a replica that failed to answer is avoided while others are
	// feasible. It doubles with each consecutive failure.
	SuspectFor time.Duration
	// MaximumSuspect is the upper bound of the doubled SuspectFor.
	MaximumSuspect time.Duration
	// PeerLoadLifetime is how long a peer's report remains valid.
	PeerLoadLifetime time.Duration
	// Disabled switches off parts of the selection, to measure their effect.
	Disabled SelectionFactors
}

// SelectionFactors names the parts of the selection that can be switched off.
type SelectionFactors struct {
	// CachedPrompts is the estimate of what each engine has cached. LastReplica is the
	// assumption that the replica that served the previous turn of a session still has the
	// session's prompt cached.
	CachedPrompts bool
	LastReplica   bool
	// SharedParts is the estimate of the prompt parts that engines cached for other nodes.
	SharedParts bool
	// PeerLoads counts the requests in flight of other nodes. Estimates extrapolates those of
	// nodes without a recent report.
	PeerLoads bool
	Estimates bool
	// Zones prefers replicas in the node's own zone, Regions those in its region, and
	// Connections those with an idle connection.
	Zones       bool
	Regions     bool
	Connections bool
	// Faults avoids replicas that returned errors. Suspicion avoids those that failed to
	// answer.
	Faults    bool
	Suspicion bool
	// TokenTimes takes the replicas' token times into account, and Slack whether a program is
	// ahead of or behind its schedule.
	TokenTimes bool
	Slack      bool
	// Cold adds the cost of a cold replica, and excludes one that has reached its cold rate.
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

// Set holds the replicas that this node knows. It is not safe for concurrent use.
type Set struct {
	config Config
	byID   map[ID]*member
	// services lists the replicas of each service. ranked lists the same replicas in the order
	// in which a window includes them.
	services map[string][]*member
	ranked   map[string][]*member
	// windows holds the window of each large service.
	windows map[string]*window
	// versions are the software versions of each service's replicas.
	versions map[string]*serviceVersions
	// zoneCounts is the number of replicas in each zone.
	zoneCounts map[string]int
	// busy holds the replicas with requests of this node in flight, coldTracked those whose
	// transition to warm has not been reported yet, and unlisted those that the platform's list
	// no longer contains.
	busy        map[ID]*member
	coldTracked map[ID]*member
	unlisted    map[ID]*member
	// measured holds the replicas with recent token times measured by this node.
	// serviceTokenTimes are the token times of each service.
	measured          map[ID]*member
	serviceTokenTimes map[string]*tokenTimes
	// weights is a buffer reused by selectByDraw.
	weights []float64
	// cacheTokens is the KV cache capacity of each service's engines, in tokens.
	cacheTokens map[string]int
	// coldRates is the maximum request rate of a cold replica, per service, in requests per
	// second. peerRequests holds the latest report of each peer.
	coldRates    map[string]float64
	peerRequests map[string]peerReport
	shared       *sharedParts
	// summary is the latest load summary of a collector.
	summary receivedSummary
	// durations estimates the request duration of each service.
	durations map[string]*durationEstimator
	// evacuated maps each evacuated zone to the start of its evacuation.
	evacuated map[zone.Name]time.Time
	// nodeCount is the number of nodes that send requests to the replicas, including this one.
	nodeCount int
}

// member is a replica together with the state that this node keeps for it.
type member struct {
	entry Entry
	// rank orders the replicas of a zone in the same way on all nodes of this node's zone.
	// index is the replica's position in the list of its service.
	rank  uint64
	index int
	// listedAt is when this node first saw the replica.
	listedAt time.Time
	// ownRequests counts the requests in flight of this node, and peerRequests those in the
	// valid reports of peers.
	ownRequests  int
	peerRequests int
	// summaryRequests is the number of requests of all other nodes according to a load summary,
	// and summary is the number of that load summary.
	summaryRequests float64
	summary         uint64
	cache           *cache
	// faults counts errors, timeouts and failures as of faultsAt. It decays exponentially.
	faults   float64
	faultsAt time.Time
	// failures counts consecutive failures. The replica is avoided until suspectUntil.
	failures     int
	suspectUntil time.Time
	// removeAt is when an unlisted replica is removed. It is zero while the replica is listed.
	removeAt time.Time
	cold     coldState
	// tokenTime estimates the time per generated token.
	tokenTime dispatch.TokenTimeEstimator
	// tokenNanoseconds is that estimate as of the last update of the service's token times, in
	// nanoseconds; 0 if nothing is known.
	tokenNanoseconds float64
	// weight is the replica's unnormalised weight in the draws of selectByDraw.
	weight float64
}

// NewSet returns an empty set.
func NewSet(config Config) *Set {
	return &Set{
		config:            config,
		byID:              make(map[ID]*member),
		services:          make(map[string][]*member),
		ranked:            make(map[string][]*member),
		windows:           make(map[string]*window),
		versions:          make(map[string]*serviceVersions),
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

// SetCacheTokens sets the KV cache capacity of a service's engines.
func (s *Set) SetCacheTokens(service string, tokens int) {
	s.cacheTokens[service] = tokens
	for _, m := range s.services[service] {
		m.cache.capacity = tokens
	}
}

// SetNodes sets the number of nodes that send requests to the replicas, including this one.
func (s *Set) SetNodes(nodeCount int) { s.nodeCount = max(1, nodeCount) }

// Put adds a replica or updates its entry. It reports whether anything changed that should be
// announced to other nodes. A cold time that merely runs down is no change. Entries of an
// earlier incarnation are ignored. A replica that restarted, or that now serves another
// service, starts without the state of its predecessor.
func (s *Set) Put(now time.Time, entry Entry) (changed bool) {
	status := entry.Cold
	entry.Cold = ColdStatus{}
	known := s.byID[entry.ID]
	if known != nil && entry.Incarnation != 0 && entry.Incarnation < known.entry.Incarnation {
		return false
	}
	if known != nil && !known.replacedBy(entry) {
		changed = s.updateEntry(now, known, entry)
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
	s.addVersion(now, entry)
	return true
}

// replacedBy reports whether an entry belongs to a later process, or to another service, than
// the known one.
func (m *member) replacedBy(entry Entry) bool {
	return entry.Incarnation > m.entry.Incarnation || entry.Service != m.entry.Service
}

// updateEntry replaces the entry of the known process. It reports whether anything differs.
func (s *Set) updateEntry(now time.Time, known *member, entry Entry) (changed bool) {
	entry.Incarnation = max(entry.Incarnation, known.entry.Incarnation)
	changed = known.entry != entry
	zoneChanged := known.entry.Zone != entry.Zone
	if zoneChanged {
		s.removeRanked(known)
	}
	if known.entry.Version != entry.Version {
		s.removeVersion(known.entry)
		s.addVersion(now, entry)
	}
	known.entry = entry
	if zoneChanged {
		s.insertRanked(known)
	}
	known.removeAt = time.Time{}
	delete(s.unlisted, entry.ID)
	return changed
}

// updateCold applies the cold status of an entry. It reports whether to announce it to other
// nodes.
func (s *Set) updateCold(now time.Time, known *member, status ColdStatus) (announce bool) {
	announce = known.cold.update(now, status)
	s.trackCold(now, known)
	return announce
}

// Remove removes a replica. It returns the replica's entry, or false if the replica is unknown.
func (s *Set) Remove(id ID) (Entry, bool) {
	known := s.byID[id]
	if known == nil {
		return Entry{}, false
	}
	s.removeFromService(known)
	s.removeVersion(known.entry)
	delete(s.byID, id)
	delete(s.busy, id)
	delete(s.coldTracked, id)
	delete(s.unlisted, id)
	delete(s.measured, id)
	return known.entry, true
}

// Count returns the number of known replicas.
func (s *Set) Count() int { return len(s.byID) }

// IDs returns the IDs of all replicas in no particular order.
func (s *Set) IDs() []ID { return slices.Collect(maps.Keys(s.byID)) }

// Lookup returns the entry of a replica, or false if the replica is unknown.
func (s *Set) Lookup(id ID) (Entry, bool) {
	known := s.byID[id]
	if known == nil {
		return Entry{}, false
	}
	return known.entry, true
}

// Entries returns the entries of all replicas sorted by ID, each with its remaining cold time
// as of now.
func (s *Set) Entries(now time.Time) []Entry {
	all := make([]Entry, 0, len(s.byID))
	for _, known := range s.byID {
		all = append(all, known.entryAt(now))
	}
	slices.SortFunc(all, func(left, right Entry) int { return cmp.Compare(left.ID, right.ID) })
	return all
}

// Began records that a request is sent to the replica, and that the replica will cache the
// parts of its prompt.
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

// Reserve counts a request that may be sent to the replica. The caller then calls Release,
// followed by Began if the request is sent.
func (s *Set) Reserve(id ID) {
	if known := s.byID[id]; known != nil {
		s.addOwnRequest(known)
	}
}

// addOwnRequest counts one more request of this node in flight at a replica.
func (s *Set) addOwnRequest(known *member) {
	known.ownRequests++
	s.busy[known.entry.ID] = known
}

// removeOwnRequest counts one request of this node less.
func (s *Set) removeOwnRequest(known *member) {
	known.ownRequests = max(0, known.ownRequests-1)
	if known.ownRequests == 0 {
		delete(s.busy, known.entry.ID)
	}
}

// Release undoes Reserve.
func (s *Set) Release(id ID) {
	if known := s.byID[id]; known != nil {
		s.removeOwnRequest(known)
	}
}

// Result is how a request at a replica ended.
type Result int

// The results of a request.
const (
	// ResultAnswered means that the replica itself answered.
	ResultAnswered Result = iota
	// ResultRejected means that the replica answered that it did not run the request.
	ResultRejected
	// ResultFailed means that the connection failed or the answer was truncated.
	ResultFailed
	// ResultErred means that the replica answered with an error of its own.
	ResultErred
	// ResultTimedOut means that no answer arrived before the request's deadline.
	ResultTimedOut
	// ResultCancelled means that this node cancelled the request.
	ResultCancelled
)

// Ended records that a request ended with the given result.
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

// faultHalfLife is the half-life of the fault count.
const faultHalfLife = 3 * time.Second

// recordFault counts one fault.
func (m *member) recordFault(now time.Time) {
	m.faults = m.decayedFaults(now) + 1
	m.faultsAt = now
}

// decayedFaults returns the fault count decayed to the given time.
func (m *member) decayedFaults(now time.Time) float64 {
	if m.faults == 0 {
		return 0
	}
	return m.faults * math.Exp2(-float64(now.Sub(m.faultsAt))/float64(faultHalfLife))
}

const (
	// maximumSuspicionDoublings bounds the shift that doubles SuspectFor.
	maximumSuspicionDoublings = 6
	// rejectionPause is how long a replica that rejected a request is avoided.
	rejectionPause = 50 * time.Millisecond
)

// OwnRequests returns the number of this node's requests in flight, by replica.
func (s *Set) OwnRequests() map[ID]int {
	counts := make(map[ID]int, len(s.busy))
	for id, known := range s.busy {
		counts[id] = known.ownRequests
	}
	return counts
}
