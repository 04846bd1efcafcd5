package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"birchwood.example/birchwood/tenant"
	"birchwood.example/birchwood/zone"
)

// Kind tells how often a request may run.
type Kind string

// The kinds of route.
const (
	// KindSafe requests may run any number of times.
	KindSafe Kind = "safe"
	// KindUnsafe requests run at most once per client attempt.
	KindUnsafe Kind = "unsafe"
	// KindStream requests are answered with a stream of events. They count as
	// unsafe unless the route is resumable.
	KindStream Kind = "stream"
)

// Share is one service of a split route with its weight.
type Share struct {
	Service string
	// Weight is relative to the weights of the route's other shares.
	Weight int
}

// Route is one rule of a Table.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is how long the operator lets a request be held at most.
	Timeout time.Duration
	// Objective is the latency within which an answer counts in full.
	Objective time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// Shares are the services that serve the route.
	Shares []Share
	// MaxAttempts is the most replicas that one request may run on.
	MaxAttempts int
	// Resumable streams may be continued by another run.
	Resumable bool
	// Sticky routes profit from a replica that has seen the object before.
	Sticky bool
	// Retain says that the system keeps the turns of this route for RetainFor,
	// and that a turn brings only its new input.
	Retain    bool
	RetainFor time.Duration
	// EventGap is the longest pause between events that is still in time.
	EventGap time.Duration
	// Public routes take requests without a tenant's key.
	Public bool
	// Regions are the only ones in which requests of the route may be served and
	// their data be; none set no bound.
	Regions []zone.Region
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || (r.Kind == KindStream && r.Resumable)
}

// Attempts returns MaxAttempts, which is at least one.
func (r *Route) Attempts() int { return max(1, r.MaxAttempts) }

// Service describes the replicas that serve a share of a route.
type Service struct {
	Name string
	// MaxConnections is what one replica accepts from all callers together.
	MaxConnections int
	// Slots is how many requests a replica of an engine works on at once; 0
	// where the service is no engine.
	Slots int
	// CacheTokens is the size of an engine's memory.
	CacheTokens int
	// TokensPerEvent is how many tokens one event of an engine's stream holds.
	TokensPerEvent int
	// ColdRate is how many requests a second a replica bears while it is cold; 0 where
	// that is not bounded.
	ColdRate float64
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration. It must not be changed once it
// was built.
type Table struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits
	// Tenants are those whose clients may send requests, or nil where every
	// client may.
	Tenants *tenant.Directory
	// byHost holds the routes of a host, the longest prefix first.
	byHost map[string][]*Route
	// maxRetention is the longest RetainFor of any route.
	maxRetention time.Duration
}

// NewTable indexes the routes of a configuration.
func NewTable(version uint64, routes []Route, services []Service, limits Limits) *Table {
	table := &Table{
		Version:  version,
		Services: make(map[string]Service, len(services)),
		Limits:   limits,
		byHost:   make(map[string][]*Route),
	}
	for _, service := range services {
		table.Services[service.Name] = service
	}
	for index := range routes {
		route := routes[index]
		host := strings.ToLower(route.Host)
		table.byHost[host] = append(table.byHost[host], &route)
		table.maxRetention = max(table.maxRetention, route.RetainFor)
	}
	for _, hostRoutes := range table.byHost {
		slices.SortStableFunc(hostRoutes, func(left, right *Route) int {
			return cmp.Compare(len(right.PathPrefix), len(left.PathPrefix))
		})
	}
	return table
}

// LongestRetain returns the longest time for which any route keeps programs.
func (t *Table) LongestRetain() time.Duration { return t.maxRetention }

// Match returns the route of a host whose prefix begins the path and is the
// longest, or nil. The host may carry a port; the path carries no query.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	routes, found := t.byHost[host]
	if !found {
		name, _, _ := strings.Cut(host, ":")
		routes = t.byHost[name]
	}
	for _, route := range routes {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Choose returns the service that serves a request of the route, by weight.
// The draw is a uniform number from 0 (included) to 1. It returns false where
// no share has any weight.
func (r *Route) Choose(draw float64) (service string, ok bool) {
	total := 0
	for _, share := range r.Shares {
		total += max(0, share.Weight)
	}
	if total == 0 {
		return "", false
	}
	rest := draw * float64(total)
	for _, share := range r.Shares {
		weight := float64(max(0, share.Weight))
		if rest < weight {
			return share.Service, true
		}
		rest -= weight
	}
	return lastWeightedService(r.Shares), true
}

// lastWeightedService returns the last service with a weight, which a draw that was
// rounded up to the total falls to.
func lastWeightedService(shares []Share) string {
	for index := len(shares) - 1; index >= 0; index-- {
		if shares[index].Weight > 0 {
			return shares[index].Service
		}
	}
	return ""
}

// Priorities returns the priorities of the routes that a service serves, each as often as
// there are such routes.
func (t *Table) Priorities(service string) []int {
	var priorities []int
	for _, routes := range t.byHost {
		for _, route := range routes {
			serves := slices.ContainsFunc(route.Shares, func(share Share) bool { return share.Service == service })
			if serves {
				priorities = append(priorities, route.Priority)
			}
		}
	}
	return priorities
}
