package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"birchwood.example/birchwood/tenant"
	"birchwood.example/birchwood/zone"
)

// Kind says how often a request may run, and how it is answered.
type Kind string

// The kinds of route.
const (
	// KindSafe requests may run any number of times.
	KindSafe Kind = "safe"
	// KindUnsafe requests run at most once for each attempt of the client.
	KindUnsafe Kind = "unsafe"
	// KindStream requests are answered with a stream of events. They count as unsafe
	// unless the route is resumable.
	KindStream Kind = "stream"
)

// Share is one of the services among which a route splits its requests.
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
	// Timeout limits how long a request may be held.
	Timeout time.Duration
	// LatencyObjective is the latency up to which an answer counts in full.
	LatencyObjective time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	// Shares are the services that serve the route.
	Shares []Share
	// MaxAttempts limits the number of replicas that one request may run on.
	MaxAttempts int
	// Resumable streams may be continued by another run.
	Resumable bool
	// Sticky routes benefit from a replica that has served the same object before.
	Sticky bool
	// Retain says that turns of this route are stored for RetainFor, and that a request
	// contains only the new input of its turn.
	Retain    bool
	RetainFor time.Duration
	// MaxEventGap is the longest pause between two events that still counts as in time.
	MaxEventGap time.Duration
	// Public routes accept requests without a tenant's key.
	Public bool
	// Regions are the only regions in which requests of the route may be served and their
	// data stored; empty means no restriction.
	Regions []zone.Region
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || (r.Kind == KindStream && r.Resumable)
}

// Attempts returns MaxAttempts, but at least 1.
func (r *Route) Attempts() int { return max(1, r.MaxAttempts) }

// Serves reports whether requests of the route may go to the service.
func (r *Route) Serves(service string) bool {
	return slices.ContainsFunc(r.Shares, func(share Share) bool { return share.Service == service && share.Weight > 0 })
}

// SingleService returns the service that gets all requests of the route, and false if they
// are split.
func (r *Route) SingleService() (service string, single bool) {
	for _, share := range r.Shares {
		if share.Weight <= 0 || share.Service == service {
			continue
		}
		if service != "" {
			return "", false
		}
		service = share.Service
	}
	return service, service != ""
}

// Service describes a service that serves routes, and its replicas.
type Service struct {
	Name string
	// MaxConnections is how many connections one replica accepts from all callers in
	// total.
	MaxConnections int
	// Slots is how many requests an engine's replica runs concurrently; 0 if the service
	// is not an engine.
	Slots int
	// CacheTokens is the capacity of an engine's KV cache, in tokens.
	CacheTokens int
	// TokensPerEvent is how many tokens one event of an engine's stream contains.
	TokensPerEvent int
	// HealthPath is the path at which a replica answers that it is healthy, or "" if there is
	// none.
	HealthPath string
	// ColdRate is how many requests per second a replica may get while it is cold; 0
	// means no limit.
	ColdRate float64
}

// Limits restrict the size and duration of a client's request.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration. It must not be modified once it is built.
type Table struct {
	Version  uint64
	Services map[string]Service
	Limits   Limits
	// Tenants are those whose clients may send requests; nil allows every client.
	Tenants *tenant.Directory
	// byHost holds the routes of each host, the longest prefix first.
	byHost map[string][]*Route
	// maxRetention is the longest RetainFor of any route.
	maxRetention time.Duration
}

// NewTable returns a table of the given routes, indexed by host.
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

// MaxRetention returns the longest RetainFor of any route.
func (t *Table) MaxRetention() time.Duration { return t.maxRetention }

// Match returns the route of the host with the longest prefix of the path, or nil. The
// host may include a port; the path must not include a query.
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

// Choose returns the service that serves a request of the route, by weight. The draw is a
// uniform random number in [0, 1). It returns false if no share has a positive weight.
func (r *Route) Choose(draw float64) (service string, ok bool) {
	// The sum of the weights may be beyond the range of an int.
	total := 0.0
	for _, share := range r.Shares {
		total += float64(max(0, share.Weight))
	}
	if total == 0 {
		return "", false
	}
	rest := draw * total
	for _, share := range r.Shares {
		weight := float64(max(0, share.Weight))
		if rest < weight {
			return share.Service, true
		}
		rest -= weight
	}
	return lastWeightedService(r.Shares), true
}

// lastWeightedService returns the last service with a positive weight. It is chosen for a
// draw that rounding has raised to the total weight.
func lastWeightedService(shares []Share) string {
	for index := len(shares) - 1; index >= 0; index-- {
		if shares[index].Weight > 0 {
			return shares[index].Service
		}
	}
	return ""
}

// Priorities returns the priorities of the routes that a service serves, one entry for
// each route.
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
