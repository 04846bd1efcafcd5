package gateway

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"birchwood.example/birchwood/api"
)

const (
	// sweepThreshold is the number of callers above which idle ones are
	// forgotten.
	sweepThreshold = 1024
	// forgetAfter is how long a caller without requests is remembered. Its
	// tokens have filled up by then unless the burst is very large.
	forgetAfter = 5 * time.Minute
	// minimumReleaseWait and maximumReleaseWait bound the advice given when
	// too many requests are in flight.
	minimumReleaseWait = 20 * time.Millisecond
	maximumReleaseWait = 5 * time.Second
	// holdTimeWeight is the weight of the newest request in the average time
	// that a request holds its place.
	holdTimeWeight = 0.1
)

// limits bounds what each caller may have in flight and send in a second.
type limits struct {
	mutex   sync.Mutex
	config  Config
	callers map[callerID]*caller
	// holdTime is the average time that a request is in flight, in seconds.
	holdTime float64
}

// caller is the state of one bearer token.
type caller struct {
	rate     *rate.Limiter
	inFlight int
	last     time.Time
}

func newLimits(config Config) *limits {
	return &limits{config: config, callers: make(map[callerID]*caller)}
}

// acquire takes a place for one request, or refuses with the time after which
// a place is likely. The returned function gives the place back.
func (l *limits) acquire(id callerID, now time.Time) (func(), *api.Error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	entry := l.caller(id, now)
	if entry.inFlight >= l.config.CallerInFlight {
		return nil, api.Refuse(api.CodeLimitReached, "%d requests of this token are in flight", entry.inFlight).
			After(l.releaseWait(entry.inFlight))
	}
	reservation := entry.rate.ReserveN(now, 1)
	if delay := reservation.DelayFrom(now); delay > 0 {
		reservation.CancelAt(now)
		return nil, api.Refuse(api.CodeLimitReached, "this token may send %g requests a second", l.config.CallerRate).
			After(ceilMilliseconds(delay))
	}
	entry.inFlight++
	var once sync.Once
	return func() { once.Do(func() { l.release(entry, now) }) }, nil
}

// release gives a place back and learns how long it was held.
func (l *limits) release(entry *caller, acquired time.Time) {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	entry.inFlight--
	entry.last = now
	l.holdTime += holdTimeWeight * (now.Sub(acquired).Seconds() - l.holdTime)
}

// caller returns the state of the token. The mutex is held.
func (l *limits) caller(id callerID, now time.Time) *caller {
	entry, known := l.callers[id]
	if !known {
		l.sweep(now)
		entry = &caller{rate: rate.NewLimiter(rate.Limit(l.config.CallerRate), l.config.CallerBurst)}
		l.callers[id] = entry
	}
	entry.last = now
	return entry
}

// sweep forgets idle callers. The mutex is held.
func (l *limits) sweep(now time.Time) {
	if len(l.callers) < sweepThreshold {
		return
	}
	for id, entry := range l.callers {
		if entry.inFlight == 0 && now.Sub(entry.last) > forgetAfter {
			delete(l.callers, id)
		}
	}
}

// expectedRelease returns the milliseconds until some request is likely done.
func (l *limits) expectedRelease(time.Time) int64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.releaseWait(l.config.InFlight)
}

// releaseWait returns the milliseconds after which one of so many requests is
// likely done: their average time shared by their number. The mutex is held.
func (l *limits) releaseWait(inFlight int) int64 {
	wait := time.Duration(l.holdTime / float64(max(1, inFlight)) * float64(time.Second))
	wait = min(max(wait, minimumReleaseWait), maximumReleaseWait)
	return ceilMilliseconds(wait)
}

// ceilMilliseconds rounds up, so that a caller that waits so long is not
// early.
func ceilMilliseconds(wait time.Duration) int64 {
	return int64((wait + time.Millisecond - 1) / time.Millisecond)
}
