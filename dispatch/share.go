package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// usageTTL is how long what was told of a tenant's programs counts: the counting
	// node tells it with each of the tenant's requests.
	usageTTL = time.Second
	// minPrograms is how many programs a tenant may have under way beyond its share, and
	// what chance brings: shares of small tenants are fractions of a program.
	minPrograms = 2
	// levelTTL is how long a level counts: all uses are looked at for it, and few
	// programs begin or end meanwhile.
	levelTTL = 50 * time.Millisecond
	// maxTenants bounds the tenants that are known: some times those in use.
	maxTenants = 4096
)

// Shares divides the room of replicas among tenants while there is too little: max-min
// fair by the programs that each has under way over all nodes, weighed by its limit. A
// tenant that sends many times its usual gets what others leave. It is not safe for
// concurrent use.
type Shares struct {
	usages map[string]usage
	// level is how many programs by its weight each tenant may have, as of a time.
	level   float64
	levelAt time.Time
}

// usage is what is known of one tenant.
type usage struct {
	programs int
	weight   float64
	at       time.Time
}

// NewShares returns shares that know no tenant.
func NewShares() *Shares { return &Shares{usages: make(map[string]usage)} }

// Observe takes in how many programs a tenant has under way, and its weight.
func (s *Shares) Observe(now time.Time, tenant string, programs int, weight float64) {
	if _, known := s.usages[tenant]; !known && len(s.usages) >= maxTenants {
		s.dropExpired(now)
		if len(s.usages) >= maxTenants {
			return
		}
	}
	s.usages[tenant] = usage{programs: programs, weight: max(weight, 1), at: now}
}

// dropExpired drops what is too old to count.
func (s *Shares) dropExpired(now time.Time) {
	for tenant, reported := range s.usages {
		if now.Sub(reported.at) > usageTTL {
			delete(s.usages, tenant)
		}
	}
}

// Over reports whether a tenant has more than its share while the replicas are as full as
// that: requests by places at the emptiest of them. It is never so while a place is free.
func (s *Shares) Over(now time.Time, tenant string, full float64) bool {
	reported, known := s.usages[tenant]
	if full < 1 || !known || now.Sub(reported.at) > usageTTL || reported.programs <= minPrograms {
		return false
	}
	if now.Sub(s.levelAt) >= levelTTL {
		s.level, s.levelAt = s.computeLevel(now, full), now
	}
	share := s.level * reported.weight
	return float64(reported.programs) > share+math.Sqrt(share)+minPrograms
}

// computeLevel returns how many programs by its weight each tenant may have, so that all together
// have as many as the replicas bear without being fuller than their places.
func (s *Shares) computeLevel(now time.Time, full float64) float64 {
	usages := make([]usage, 0, len(s.usages))
	programs, weights := 0., 0.
	for _, reported := range s.usages {
		if now.Sub(reported.at) <= usageTTL {
			usages = append(usages, reported)
			programs += float64(reported.programs)
			weights += reported.weight
		}
	}
	slices.SortFunc(usages, func(reported, other usage) int {
		return cmp.Compare(float64(reported.programs)/reported.weight, float64(other.programs)/other.weight)
	})
	room := programs / full
	for _, reported := range usages {
		if float64(reported.programs) >= reported.weight*room/weights {
			break
		}
		room -= float64(reported.programs)
		weights -= reported.weight
	}
	return room / weights
}
