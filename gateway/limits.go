package gateway

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"birchwood.example/birchwood/api"
)

const (
	// removeIdleThreshold is the number of callers from which idle ones are
	// removed.
	removeIdleThreshold = 1024
	// idleCallerTTL is how long a caller without requests is kept. By then its
	// token bucket is full again, unless the burst is very large, so that
	// removing the caller does not raise its rate.
	idleCallerTTL = 5 * time.Minute
	// minimumReleaseWait and maximumReleaseWait bound the retry-after time of
	// a refusal because of too many requests in flight.
	minimumReleaseWait = 20 * time.Millisecond
	maximumReleaseWait = 5 * time.Second
	// inFlightTimeWeight is the weight of the latest request in the moving
	// average of the time that a request is in flight.
	inFlightTimeWeight = 0.1
)

// limits enforces each caller's limit of requests in flight and its rate limit.
type limits struct {
	mutex   sync.Mutex
	config  Config
	callers map[tokenHash]*caller
	// inFlightSeconds is the moving average of the time that a request is in
	// flight, in seconds.
	inFlightSeconds float64
}

// caller is the state of one bearer token.
type caller struct {
	rate     *rate.Limiter
	inFlight int
	// lastActive is when a request of the caller last began or ended.
	lastActive time.Time
}

func newLimits(config Config) *limits {
	return &limits{config: config, callers: make(map[tokenHash]*caller)}
}

// acquire counts one request against the caller's limits, or refuses it with
// the time after which it is likely to be admitted. The returned function ends
// the request.
func (l *limits) acquire(id tokenHash, now time.Time) (func(), *api.Error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	entry := l.caller(id, now)
	if entry.inFlight >= l.config.CallerInFlight {
		return nil, api.Refuse(api.CodeLimitReached, "%d requests of this token are in flight", entry.inFlight).
			WithRetryAfter(l.releaseWait(entry.inFlight))
	}
	reservation := entry.rate.ReserveN(now, 1)
	if delay := reservation.DelayFrom(now); delay > 0 {
		reservation.CancelAt(now)
		return nil, api.Refuse(api.CodeLimitReached, "this token may send %g requests a second", l.config.CallerRate).
			WithRetryAfter(ceilMilliseconds(delay))
	}
	entry.inFlight++
	var once sync.Once
	return func() { once.Do(func() { l.release(entry, now) }) }, nil
}

// release ends a request and updates the average time in flight.
func (l *limits) release(entry *caller, acquired time.Time) {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	entry.inFlight--
	entry.lastActive = now
	l.inFlightSeconds += inFlightTimeWeight * (now.Sub(acquired).Seconds() - l.inFlightSeconds)
}

// caller returns the state of the token, creating it if needed. The calling
// function holds the mutex.
func (l *limits) caller(id tokenHash, now time.Time) *caller {
	entry, known := l.callers[id]
	if !known {
		l.removeIdle(now)
		entry = &caller{rate: rate.NewLimiter(rate.Limit(l.config.CallerRate), l.config.CallerBurst)}
		l.callers[id] = entry
	}
	entry.lastActive = now
	return entry
}

// removeIdle removes idle callers once there are removeIdleThreshold of them.
// The calling function holds the mutex.
func (l *limits) removeIdle(now time.Time) {
	if len(l.callers) < removeIdleThreshold {
		return
	}
	for id, entry := range l.callers {
		if entry.inFlight == 0 && now.Sub(entry.lastActive) > idleCallerTTL {
			delete(l.callers, id)
		}
	}
}

// expectedRelease returns the expected time until some request on this node
// ends, in milliseconds.
func (l *limits) expectedRelease(time.Time) int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.releaseWait(l.config.InFlight)
}

// releaseWait returns the expected time until one of inFlight requests ends, in
// milliseconds: the average time in flight divided by their number. The calling
// function holds the mutex.
func (l *limits) releaseWait(inFlight int) int64 {
	wait := time.Duration(l.inFlightSeconds / float64(max(1, inFlight)) * float64(time.Second))
	wait = min(max(wait, minimumReleaseWait), maximumReleaseWait)
	return ceilMilliseconds(wait)
}

// ceilMilliseconds converts to milliseconds and rounds up, so that a caller
// that waits for that time does not retry too early.
func ceilMilliseconds(wait time.Duration) int64 {
	return int64((wait + time.Millisecond - 1) / time.Millisecond)
}
