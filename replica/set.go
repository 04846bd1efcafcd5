package replica

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

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
	config   Config
	byID     map[ID]*member
	services map[string][]*member
	// cacheTokens is the memory of a service's engines.
	cacheTokens map[string]int
	// coldRates is how many requests a second a cold replica of a service bears.
	coldRates map[string]float64
	peers     map[string]peerLoad
	shared    *sharedParts
	// evacuated are the zones that are to get no requests, and since when.
	evacuated map[zone.Name]time.Time
	// nodes is how many nodes send to the replicas, this one included.
	nodes int
}

// member is one replica with what is known of it.
type member struct {
	entry Entry
	// listedAt is when this node first knew of the replica.
	listedAt time.Time
	// own counts this node's requests there; peers those of other nodes.
	own   int
	peers int
	cache *cache
	// faults counts errors, time-outs and failures; it halves with time.
	faults   float64
	faultsAt time.Time
	// failures in a row, and until when the replica is passed over.
	failures     int
	suspectUntil time.Time
	// doubtedUntil is when a replica that is not listed is to go; zero while
	// it is listed.
	doubtedUntil time.Time
	cold         coldness
}

// NewSet returns a set without replicas.
func NewSet(config Config) *Set {
	return &Set{
		config:      config,
		byID:        make(map[ID]*member),
		services:    make(map[string][]*member),
		cacheTokens: make(map[string]int),
		coldRates:   make(map[string]float64),
		peers:       make(map[string]peerLoad),
		shared:      newSharedParts(),
		nodes:       1,
	}
}

// SetCacheTokens tells the memory of the engines of a service.
func (s *Set) SetCacheTokens(service string, tokens int) {
	s.cacheTokens[service] = tokens
	for _, one := range s.services[service] {
		one.cache.capacity = tokens
	}
}

// SetNodes tells how many nodes send to the replicas, this one included.
func (s *Set) SetNodes(nodes int) { s.nodes = max(1, nodes) }

// Put adds a replica or takes over its new entry. It reports whether anything
// but the entry of a known, equal replica changed. A cold time that runs down is no
// change.
func (s *Set) Put(now time.Time, entry Entry) (changed bool) {
	word := entry.Cold
	entry.Cold = ColdWord{}
	known := s.byID[entry.ID]
	if known != nil {
		changed = known.entry != entry
		known.entry = entry
		known.doubtedUntil = time.Time{}
		return known.cold.hear(now, word) || changed
	}
	added := &member{entry: entry, listedAt: now, cache: newCache(s.cacheTokens[entry.Service]), peers: s.peersAt(entry.ID)}
	added.cold.hear(now, word)
	s.byID[entry.ID] = added
	list := append(s.services[entry.Service], added)
	slices.SortFunc(list, func(left, right *member) int { return cmp.Compare(left.entry.ID, right.entry.ID) })
	s.services[entry.Service] = list
	return true
}

// Remove forgets a replica. It returns its entry, and false if it was unknown.
func (s *Set) Remove(id ID) (Entry, bool) {
	known := s.byID[id]
	if known == nil {
		return Entry{}, false
	}
	delete(s.byID, id)
	service := known.entry.Service
	s.services[service] = slices.DeleteFunc(s.services[service], func(one *member) bool { return one == known })
	return known.entry, true
}

// Count returns how many replicas are known.
func (s *Set) Count() int { return len(s.byID) }

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
	known.own++
	known.cache.add(now, request.Prompt)
	s.shared.add(now, request.Program, request.Prompt)
}

// Reserve counts a request that may be sent to the replica. Withdraw or Began follows.
func (s *Set) Reserve(id ID) {
	if known := s.byID[id]; known != nil {
		known.own++
	}
}

// Withdraw takes back what Reserve counted.
func (s *Set) Withdraw(id ID) {
	if known := s.byID[id]; known != nil {
		known.own = max(0, known.own-1)
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
	known.own = max(0, known.own-1)
	switch result {
	case ResultAnswered:
		known.failures = 0
		known.suspectUntil = time.Time{}
	case ResultRejected:
		known.suspectUntil = now.Add(rejectionPause)
	case ResultFailed:
		wait := s.config.SuspectFor << min(known.failures, maximumDoublings)
		known.suspectUntil = now.Add(min(wait, s.config.MaximumSuspect))
		known.failures++
		known.fault(now)
	case ResultErred, ResultTimedOut:
		known.fault(now)
	case ResultCancelled:
	}
}

// faultHalfLife is the time in which a fault counts half as much.
const faultHalfLife = 3 * time.Second

// fault counts one fault.
func (m *member) fault(now time.Time) {
	m.faults = m.faultsNow(now) + 1
	m.faultsAt = now
}

// faultsNow returns the faults that still count.
func (m *member) faultsNow(now time.Time) float64 {
	if m.faults == 0 {
		return 0
	}
	return m.faults * math.Exp2(-float64(now.Sub(m.faultsAt))/float64(faultHalfLife))
}

const (
	// maximumDoublings bounds the shift of the time of suspicion.
	maximumDoublings = 6
	// rejectionPause is how long a replica that was full is passed over.
	rejectionPause = 50 * time.Millisecond
)

// Own returns this node's requests under way, by replica.
func (s *Set) Own() map[ID]int {
	counts := make(map[ID]int)
	for id, known := range s.byID {
		if known.own > 0 {
			counts[id] = known.own
		}
	}
	return counts
}
