package dispatch

import (
	"math"
	"time"
)

// Lengths learns how many tokens the turns of each route usually have. It is not safe for
// concurrent use.
type Lengths struct {
	routes map[string]*routeLength
}

// routeLength is the usual of one route, as a mean of logarithms: a few long turns do not move
// it far.
type routeLength struct {
	meanLog float64
	turns   float64
	usedAt  time.Time
}

const (
	// lengthMemory is how many turns the mean of a route's lengths holds.
	lengthMemory = 100
	// maxLengthRoutes bounds the routes that are followed: more than deployments have.
	maxLengthRoutes = 200
)

// NewLengths returns lengths that know no route.
func NewLengths() *Lengths { return &Lengths{routes: make(map[string]*routeLength)} }

// Observe takes in how many tokens a turn of the route had.
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

// Expected returns how many tokens a turn will have: between the client's hint and the
// usual of the route, as far as they are known, and at most what it may have; 0 where
// nothing is known. A hint is right in the median, and often far off.
func (l *Lengths) Expected(route string, hint, most int) int {
	usual := 0.0
	if stats := l.routes[route]; stats != nil {
		usual = math.Exp(stats.meanLog)
	}
	expected := float64(max(0, hint))
	switch {
	case hint <= 0:
		expected = usual
	case usual > 0:
		expected = math.Sqrt(expected * usual)
	}
	if most > 0 {
		expected = min(expected, float64(most))
	}
	return int(math.Round(expected))
}
