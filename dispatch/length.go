package dispatch

import (
	"math"
	"time"
)

// Lengths estimates how many tokens the turns of each route generate. It is not safe for
// concurrent use.
type Lengths struct {
	routes map[string]*routeLength
}

// routeLength is the geometric mean of one route's turn lengths, which a few long turns
// change little.
type routeLength struct {
	meanLog float64
	turns   float64
	usedAt  time.Time
}

const (
	// lengthMemory is how many turns the mean of a route covers.
	lengthMemory = 100
	// maxLengthRoutes bounds the routes that are tracked: more than deployments have.
	maxLengthRoutes = 200
)

// NewLengths returns Lengths without observations.
func NewLengths() *Lengths { return &Lengths{routes: make(map[string]*routeLength)} }

// Observe adds the number of tokens that a turn of the route generated.
func (l *Lengths) Observe(now time.Time, route string, tokens int) {
	if tokens <= 0 {
		return
	}
	stats := l.routes[route]
	if stats == nil {
		if len(l.routes) >= maxLengthRoutes {
			ForgetOldest(l.routes, func(one *routeLength) time.Time { return one.usedAt })
		}
		stats = &routeLength{}
		l.routes[route] = stats
	}
	stats.usedAt = now
	stats.turns = min(stats.turns+1, lengthMemory)
	stats.meanLog += (math.Log(float64(tokens)) - stats.meanLog) / stats.turns
}

// Expected returns how many tokens a turn is expected to generate: the geometric mean of
// the client's hint and the usual length of the route, as far as each is known, and at
// most the turn's limit; 0 if nothing is known. The two are averaged because a hint is
// right in the median but often far off.
func (l *Lengths) Expected(route string, hint, limit int) int {
	routeMean := 0.0
	if stats := l.routes[route]; stats != nil {
		routeMean = math.Exp(stats.meanLog)
	}
	expected := float64(max(0, hint))
	switch {
	case hint <= 0:
		expected = routeMean
	case routeMean > 0:
		expected = math.Sqrt(expected * routeMean)
	}
	if limit > 0 {
		expected = min(expected, float64(limit))
	}
	return int(math.Round(expected))
}
