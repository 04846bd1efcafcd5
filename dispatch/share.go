package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// usageTTL is how long a report of a tenant's programs is valid: the counting node
	// sends one with each of the tenant's requests.
	usageTTL = time.Second
	// minPrograms is how many programs a tenant may run in excess of its share and of
	// chance variation: the shares of small tenants are fractions of a program.
	minPrograms = 2
	// levelTTL is how long a computed level is reused: computing it iterates over all
	// tenants, and few programs begin or end meanwhile.
	levelTTL = 50 * time.Millisecond
	// maxTenants bounds the tenants that are tracked: several times those in use.
	maxTenants = 4096
)

// Shares divides the capacity of the replicas among tenants when it is scarce: max-min
// fair by the programs that each tenant runs on all nodes, weighted by its limit. A tenant
// that sends many times its usual load gets what the others leave. It is not safe for
// concurrent use.
type Shares struct {
	usages map[string]usage
	// level is how many programs per unit of weight each tenant may run, as computed at
	// levelAt.
	level   float64
	levelAt time.Time
}

// usage is the last report of one tenant.
type usage struct {
	programs int
	weight   float64
	at       time.Time
}

// NewShares returns Shares without observations.
func NewShares() *Shares { return &Shares{usages: make(map[string]usage)} }

// Observe records how many programs a tenant runs, and its weight.
func (s *Shares) Observe(now time.Time, tenant string, programs int, weight float64) {
	if _, known := s.usages[tenant]; !known && len(s.usages) >= maxTenants {
		s.dropExpired(now)
		if len(s.usages) >= maxTenants {
			return
		}
	}
	s.usages[tenant] = usage{programs: programs, weight: max(weight, 1), at: now}
}

// dropExpired removes reports older than usageTTL.
func (s *Shares) dropExpired(now time.Time) {
	for tenant, reported := range s.usages {
		if now.Sub(reported.at) > usageTTL {
			delete(s.usages, tenant)
		}
	}
}

// Over reports whether a tenant runs more than its share at the given utilisation of the
// least loaded replica, in requests per slot. It is false while that replica has a free
// slot.
func (s *Shares) Over(now time.Time, tenant string, utilisation float64) bool {
	reported, known := s.usages[tenant]
	if utilisation < 1 || !known || now.Sub(reported.at) > usageTTL || reported.programs <= minPrograms {
		return false
	}
	if now.Sub(s.levelAt) >= levelTTL {
		s.level, s.levelAt = s.computeLevel(now, utilisation), now
	}
	share := s.level * reported.weight
	return float64(reported.programs) > share+math.Sqrt(share)+minPrograms
}

// computeLevel returns how many programs per unit of weight each tenant may run so that
// all together run as many as fit the slots.
func (s *Shares) computeLevel(now time.Time, utilisation float64) float64 {
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
	capacity := programs / utilisation
	for _, reported := range usages {
		if float64(reported.programs) >= reported.weight*capacity/weights {
			break
		}
		capacity -= float64(reported.programs)
		weights -= reported.weight
	}
	return capacity / weights
}
