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
	routes map[string]*callTimes
}

// callTimes are the times of one route's answered calls.
type callTimes struct {
	window *hdrhistogram.WindowedHistogram
	// late is the bound as of the last rotation, or 0 while too few are known.
	late time.Duration
	// usual is what half of the calls took less than, as of then.
	usual     time.Duration
	rotatedAt time.Time
	// fresh counts the calls since the last rotation.
	fresh int
}

// The sketch of call times: a window of some seconds in slices, with a relative
// error of a tenth.
const (
	timesUnit     = 100 * time.Microsecond
	timesMaximum  = 2 * time.Minute
	timesDigits   = 1
	timesSlices   = 5
	timesSlice    = 4 * time.Second
	maximumRoutes = 200
)

// A call is late once it has taken this much more than all but a hundredth of
// its route's calls, of which enough are known.
const (
	lateQuantile = 99
	lateFactor   = 1.25
	lateSamples  = 30
	// usualQuantile is the part of a route's calls that take less than its usual time.
	usualQuantile = 50
	// lateMinimum leaves room for pauses of this process.
	lateMinimum = 20 * time.Millisecond
)

// NewLateness returns a Lateness that knows no route.
func NewLateness() *Lateness { return &Lateness{routes: make(map[string]*callTimes)} }

// Observe takes in how long an answered call of the route took.
func (l *Lateness) Observe(now time.Time, route string, took time.Duration) {
	known := l.routes[route]
	if known == nil {
		if len(l.routes) >= maximumRoutes {
			dispatch.ForgetOldest(l.routes, func(one *callTimes) time.Time { return one.rotatedAt })
		}
		known = &callTimes{
			window:    hdrhistogram.NewWindowed(timesSlices, 1, int64(timesMaximum/timesUnit), timesDigits),
			rotatedAt: now,
		}
		l.routes[route] = known
	}
	_ = known.window.Current.RecordValue(int64(min(took, timesMaximum) / timesUnit))
	known.fresh++
	known.refresh(now)
}

// After returns how long after its start a call of the route is late, or the
// given time while too little is known of the route.
func (l *Lateness) After(route string, otherwise time.Duration) time.Duration {
	known := l.routes[route]
	if known == nil || known.late == 0 {
		return otherwise
	}
	return known.late
}

// Usual returns what a call of the route takes as a rule, or 0 while too little is known.
func (l *Lateness) Usual(route string) time.Duration {
	if known := l.routes[route]; known != nil {
		return known.usual
	}
	return 0
}

// refresh computes the bound anew at the end of each slice, and sooner while
// there is none.
func (t *callTimes) refresh(now time.Time) {
	age := now.Sub(t.rotatedAt)
	early := t.late == 0 && t.fresh >= lateSamples
	if age < timesSlice && !early {
		return
	}
	times := t.window.Merge()
	if times.TotalCount() >= lateSamples {
		tail := time.Duration(times.ValueAtQuantile(lateQuantile)) * timesUnit
		t.late = max(lateMinimum, time.Duration(lateFactor*float64(tail)))
		t.usual = time.Duration(times.ValueAtQuantile(usualQuantile)) * timesUnit
	}
	if age >= timesSlice {
		t.window.Rotate()
		t.rotatedAt = now
		t.fresh = 0
	}
}
