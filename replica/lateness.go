package replica

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"birchwood.example/birchwood/dispatch"
)

// Lateness learns how long the calls of each route take, and tells from when on
// one that was not answered is late: its answer is likely lost. It is not safe
// for concurrent use.
type Lateness struct {
	routes map[string]*routeLatency
}

// routeLatency are the times of one route's answered calls.
type routeLatency struct {
	window *hdrhistogram.WindowedHistogram
	// late is the bound as of the last rotation, or 0 while too few are known.
	lateAfter time.Duration
	// usual is what half of the calls took less than, as of then.
	median    time.Duration
	rotatedAt time.Time
	// fresh counts the calls since the last rotation.
	samples int
}

// The sketch of call times: a window of some seconds in slices, with a relative
// error of a tenth.
const (
	latencyUnit          = 100 * time.Microsecond
	latencyMaximum       = 2 * time.Minute
	latencyDigits        = 1
	latencySlices        = 5
	latencySliceDuration = 4 * time.Second
	maximumRoutes        = 200
)

// A call is late once it has taken this much more than all but a hundredth of
// its route's calls, of which enough are known.
const (
	latePercentile     = 99
	lateFactor         = 1.25
	lateMinimumSamples = 30
	// medianPercentile is the part of a route's calls that take less than its usual time.
	medianPercentile = 50
	// lateMinimum leaves room for pauses of this process.
	lateMinimum = 20 * time.Millisecond
)

// NewLateness returns a Lateness that knows no route.
func NewLateness() *Lateness { return &Lateness{routes: make(map[string]*routeLatency)} }

// Observe takes in how long an answered call of the route took.
func (l *Lateness) Observe(now time.Time, route string, took time.Duration) {
	known := l.routes[route]
	if known == nil {
		if len(l.routes) >= maximumRoutes {
			dispatch.ForgetOldest(l.routes, func(m *routeLatency) time.Time { return m.rotatedAt })
		}
		known = &routeLatency{
			window:    hdrhistogram.NewWindowed(latencySlices, 1, int64(latencyMaximum/latencyUnit), latencyDigits),
			rotatedAt: now,
		}
		l.routes[route] = known
	}
	_ = known.window.Current.RecordValue(int64(min(took, latencyMaximum) / latencyUnit))
	known.samples++
	known.refresh(now)
}

// After returns how long after its start a call of the route is late, or the
// given time while too little is known of the route.
func (l *Lateness) After(route string, fallback time.Duration) time.Duration {
	known := l.routes[route]
	if known == nil || known.lateAfter == 0 {
		return fallback
	}
	return known.lateAfter
}

// Usual returns what a call of the route takes as a rule, or 0 while too little is known.
func (l *Lateness) Usual(route string) time.Duration {
	if known := l.routes[route]; known != nil {
		return known.median
	}
	return 0
}

// refresh computes the bound anew at the end of each slice, and sooner while
// there is none.
func (t *routeLatency) refresh(now time.Time) {
	age := now.Sub(t.rotatedAt)
	firstBound := t.lateAfter == 0 && t.samples >= lateMinimumSamples
	if age < latencySliceDuration && !firstBound {
		return
	}
	times := t.window.Merge()
	if times.TotalCount() >= lateMinimumSamples {
		tail := time.Duration(times.ValueAtQuantile(latePercentile)) * latencyUnit
		t.lateAfter = max(lateMinimum, time.Duration(lateFactor*float64(tail)))
		t.median = time.Duration(times.ValueAtQuantile(medianPercentile)) * latencyUnit
	}
	if age >= latencySliceDuration {
		t.window.Rotate()
		t.rotatedAt = now
		t.samples = 0
	}
}
