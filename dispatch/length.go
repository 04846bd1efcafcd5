package dispatch

import (
	"math"
	"time"
)

// Lengths learns how many tokens the turns of each route usually have. It is not safe for
// concurrent use.
type Lengths struct {
	routes map[string]*length
}

// length is the usual of one route, as a mean of logarithms: a few long turns do not move
// it far.
type length struct {
	logarithm float64
	turns     float64
	at        time.Time
}

const (
	// lengthTurns is how many turns the mean of a route's lengths holds.
	lengthTurns = 100
	// lengthRoutes bounds the routes that are followed: more than deployments have.
	lengthRoutes = 200
)

// NewLengths returns lengths that know no route.
func NewLengths() *Lengths { return &Lengths{routes: make(map[string]*length)} }

// Observe takes in how many tokens a turn of the route had.
func (l *Lengths) Observe(now time.Time, route string, tokens int) {
	if tokens <= 0 {
		return
	}
	known := l.routes[route]
	if known == nil {
		if len(l.routes) >= lengthRoutes {
			ForgetOldest(l.routes, func(one *length) time.Time { return one.at })
		}
		known = &length{}
		l.routes[route] = known
	}
	known.at = now
	known.turns = min(known.turns+1, lengthTurns)
	known.logarithm += (math.Log(float64(tokens)) - known.logarithm) / known.turns
}

// Expected returns how many tokens a turn will have: between the client's hint and the
// usual of the route, as far as they are known, and at most what it may have; 0 where
// nothing is known. A hint is right in the median, and often far off.
func (l *Lengths) Expected(route string, hint, most int) int {
	usual := 0.0
	if known := l.routes[route]; known != nil {
		usual = math.Exp(known.logarithm)
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
