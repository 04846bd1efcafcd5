package replica

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"birchwood.example/birchwood/dispatch"
)

// LatencyTracker tracks the latencies of answered calls per route, and derives the time after
// which an unanswered call is late, that is, its answer is probably lost. It is not safe for
// concurrent use.
type LatencyTracker struct {
	routes map[string]*routeLatency
}

// routeLatency holds the latencies of one route's answered calls.
type routeLatency struct {
	window *hdrhistogram.WindowedHistogram
	// lateAfter is the time after which a call is late, as of the last refresh; 0 while there
	// are too few samples.
	lateAfter time.Duration
	// median is the median latency, as of the last refresh.
	median    time.Duration
	rotatedAt time.Time
	// samples is the number of calls since the last rotation.
	samples int
}

// The histogram of latencies: a sliding window of 20 s in slices, with one significant digit (a
// relative error of a tenth).
const (
	latencyUnit          = 100 * time.Microsecond
	latencyMaximum       = 2 * time.Minute
	latencyDigits        = 1
	latencySlices        = 5
	latencySliceDuration = 4 * time.Second
	maximumRoutes        = 200
)

// A call is late after lateFactor times the 99th percentile of its route's latencies, of which
// at least lateMinimumSamples must be known.
const (
	latePercentile     = 99
	lateFactor         = 1.25
	lateMinimumSamples = 30
	// medianPercentile is the percentile returned by Median.
	medianPercentile = 50
	// lateMinimum allows for pauses of this process.
	lateMinimum = 20 * time.Millisecond
)

// NewLatencyTracker returns a tracker without routes.
func NewLatencyTracker() *LatencyTracker {
	return &LatencyTracker{routes: make(map[string]*routeLatency)}
}

// Observe records the latency of an answered call of the route.
func (l *LatencyTracker) Observe(now time.Time, route string, took time.Duration) {
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

// LateAfter returns the time after which a call of the route is late, or the fallback while too
// few latencies are known.
func (l *LatencyTracker) LateAfter(route string, fallback time.Duration) time.Duration {
	known := l.routes[route]
	if known == nil || known.lateAfter == 0 {
		return fallback
	}
	return known.lateAfter
}

// Median returns the median latency of the route, or 0 while too few latencies are known.
func (l *LatencyTracker) Median(route string) time.Duration {
	if known := l.routes[route]; known != nil {
		return known.median
	}
	return 0
}

// refresh recomputes the bounds at the end of each slice, and earlier if there are none yet.
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
