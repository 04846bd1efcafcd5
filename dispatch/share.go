package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// useKnownFor is how long what was told of a tenant's programs counts: the counting
	// node tells it with each of the tenant's requests.
	useKnownFor = time.Second
	// leastPrograms is how many programs a tenant may have under way beyond its share, and
	// what chance brings: shares of small tenants are fractions of a program.
	leastPrograms = 2
	// levelFor is how long a level counts: all uses are looked at for it, and few
	// programs begin or end meanwhile.
	levelFor = 50 * time.Millisecond
	// mostTenants bounds the tenants that are known: some times those in use.
	mostTenants = 4096
)

// Shares divides the room of replicas among tenants while there is too little: max-min
// fair by the programs that each has under way over all nodes, weighed by its limit. A
// tenant that sends many times its usual gets what others leave. It is not safe for
// concurrent use.
type Shares struct {
	uses map[string]use
	// level is how many programs by its weight each tenant may have, as of a time.
	level   float64
	levelAt time.Time
}

// use is what is known of one tenant.
type use struct {
	programs int
	weight   float64
	at       time.Time
}

// NewShares returns shares that know no tenant.
func NewShares() *Shares { return &Shares{uses: make(map[string]use)} }

// Observe takes in how many programs a tenant has under way, and its weight.
func (s *Shares) Observe(now time.Time, tenant string, programs int, weight float64) {
	if _, known := s.uses[tenant]; !known && len(s.uses) >= mostTenants {
		s.forget(now)
		if len(s.uses) >= mostTenants {
			return
		}
	}
	s.uses[tenant] = use{programs: programs, weight: max(weight, 1), at: now}
}

// forget drops what is too old to count.
func (s *Shares) forget(now time.Time) {
	for tenant, one := range s.uses {
		if now.Sub(one.at) > useKnownFor {
			delete(s.uses, tenant)
		}
	}
}

// Over reports whether a tenant has more than its share while the replicas are as full as
// that: requests by places at the emptiest of them. It is never so while a place is free.
func (s *Shares) Over(now time.Time, tenant string, full float64) bool {
	one, known := s.uses[tenant]
	if full < 1 || !known || now.Sub(one.at) > useKnownFor || one.programs <= leastPrograms {
		return false
	}
	if now.Sub(s.levelAt) >= levelFor {
		s.level, s.levelAt = s.levelOf(now, full), now
	}
	share := s.level * one.weight
	return float64(one.programs) > share+math.Sqrt(share)+leastPrograms
}

// levelOf returns how many programs by its weight each tenant may have, so that all together
// have as many as the replicas bear without being fuller than their places.
func (s *Shares) levelOf(now time.Time, full float64) float64 {
	uses := make([]use, 0, len(s.uses))
	programs, weights := 0., 0.
	for _, one := range s.uses {
		if now.Sub(one.at) <= useKnownFor {
			uses = append(uses, one)
			programs += float64(one.programs)
			weights += one.weight
		}
	}
	slices.SortFunc(uses, func(one, other use) int {
		return cmp.Compare(float64(one.programs)/one.weight, float64(other.programs)/other.weight)
	})
	room := programs / full
	for _, one := range uses {
		if float64(one.programs) >= one.weight*room/weights {
			break
		}
		room -= float64(one.programs)
		weights -= one.weight
	}
	return room / weights
}
