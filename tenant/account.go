package tenant

import (
	"math"
	"time"
)

// Config configures the accounts of a Limiter.
type Config struct {
	// Window is the time window over which a limit is enforced.
	Window time.Duration
	// Overrun, a fraction of a window's limit, plus Slack, a number of requests, is the
	// excess that the operator accepts while nodes count separately.
	Overrun float64
	Slack   float64
	// IdleAfter is the time without a request after which an account is dropped; 0 means
	// never. It must be longer than the window.
	IdleAfter time.Duration
	// ArrivalOrder grants requests in order of arrival, without precedence of started
	// programs. It exists to measure the benefit of that precedence.
	ArrivalOrder bool
	// RetriesAsNew treats refused programs that retry like programs that arrive for the
	// first time. It exists to measure the benefit of preferring the latter.
	RetriesAsNew bool
}

// DefaultConfig returns the settings used where the operator sets none.
func DefaultConfig() Config {
	return Config{Window: 5 * time.Second, Overrun: 0.1, Slack: 20}
}

// coldReplicaIdle is the time without a request after which the account of a cold replica
// is dropped: replicas come and go, and are cold for seconds.
const coldReplicaIdle = 20 * time.Second

// ColdReplicaConfig returns the settings for limiting requests to cold replicas, used
// where the operator sets none.
func ColdReplicaConfig() Config {
	return Config{Window: time.Second, Overrun: 0.5, Slack: 5, IdleAfter: coldReplicaIdle}
}

const (
	// overdraftFraction is the fraction of the accepted overrun by which started programs
	// may overdraw an account. The rest is for requests that two nodes count separately
	// while an account moves from one counting node to the next.
	overdraftFraction = 0.25
	// bucketSlackFraction is the fraction of Config.Slack that the bucket holds, besides
	// the fraction Config.Overrun of a window's limit. The bucket's content may be granted
	// twice when an account moves to another node.
	bucketSlackFraction = 0.5
	// takeoverOverlap is how long two nodes may both count for an account: until the loss
	// or the return of a node is known everywhere. Simulated fleets need 0.2 to 0.4 s.
	takeoverOverlap = 400 * time.Millisecond
)

const (
	// newProgramFraction is the fraction of a program's expected requests that an account
	// in shortage must hold for a new program to start: the rest is earned while the
	// program runs.
	newProgramFraction = 0.7
	// retryReserve is how many buckets an account must be expected to have left over for a
	// recently refused program to start: more than the random error of the expectation.
	retryReserve = 2.0
	// nearlyFullFraction is the fill level of the bucket, as a fraction of its capacity,
	// from which on earned requests are about to be lost.
	nearlyFullFraction = 0.9
)

// Times of an account.
const (
	// grantTTL is how long a grant or a refused program is retained: a grant so that it
	// counts once if it is requested again, and can be refunded. It is longer than a
	// request may take to be refused.
	grantTTL = 4 * time.Second
	// openingGrace is how long a new account treats unknown programs as started ones: the
	// previous counting node may have granted their first requests.
	openingGrace = 2500 * time.Millisecond
	// shortageMemory is how long after an account was empty new programs have to fit in
	// addition to the started ones: about as long as a program lasts.
	shortageMemory = 3 * time.Second
	// minRetryAfter and maxRetryAfter bound the retry delay of a refusal.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Request describes one request of a tenant that is to be counted against its limit.
type Request struct {
	// ID uniquely identifies the request; repeats of it have the same ID.
	ID string `json:"id"`
	// Program is the program of the request, or "".
	Program string `json:"program,omitempty"`
	// Route is the route of the request, by which the needs of programs are estimated.
	Route string `json:"route,omitempty"`
	// Limit is the tenant's limit in the configuration of the given Version.
	Limit   Limit  `json:"limit"`
	Version uint64 `json:"version"`
}

// Decision is the result of a Request.
type Decision struct {
	Granted bool `json:"granted,omitempty"`
	// RetryAfter is the delay after which a refused request should be retried.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	// Balance is what the account holds after the decision.
	Balance float64 `json:"balance"`
	// Programs is how many programs of the tenant are running or ran recently, on all
	// nodes; 0 for requests without a program.
	Programs int `json:"programs,omitempty"`
}

// account counts one tenant's requests against its limit.
type account struct {
	limit   Limit
	version uint64
	opened  time.Time
	// balance is the content of the bucket as of at, in requests, and window holds the
	// grants of the present window.
	balance float64
	at      time.Time
	window  *window
	// cautiousUntil is when the last grant of a previous counting node leaves the window.
	cautiousUntil time.Time
	// programs are the started programs, and granted the times of recent grants by request
	// ID.
	programs map[string]*program
	granted  map[string]time.Time
	// refused are the programs that were refused before they started, with the time of the
	// latest refusal.
	refused map[string]time.Time
	// shortUntil is the time until which new programs have to fit in addition to started
	// ones.
	shortUntil time.Time
	// nextRetry is the earliest retry time of the next refused program.
	nextRetry time.Time
}

// program is the state of a started program.
type program struct {
	route    string
	requests float64
	firstAt  time.Time
	lastAt   time.Time
	// inherited reports that the program had started before the account was opened, and
	// refused that one of its requests was refused. In both cases its requests do not show
	// what programs need.
	inherited bool
	refused   bool
}

// newAccount opens an account of a tenant for which this node has been the only counting
// node since the given time.
func newAccount(now, since time.Time, config *Config, request *Request) *account {
	return &account{
		limit: request.Limit, version: request.Version, opened: now, at: since, window: newWindow(now, config.Window),
		cautiousUntil: since.Add(config.Window), programs: make(map[string]*program), granted: make(map[string]time.Time),
		refused: make(map[string]time.Time),
	}
}

// windowLimit returns how many requests may pass in a window.
func (a *account) windowLimit(config *Config) float64 {
	return a.limit.Rate*config.Window.Seconds() + a.limit.Burst
}

// capacity returns the capacity of the bucket.
func (a *account) capacity(config *Config, share float64) float64 {
	return max(1, share*(config.Overrun*a.windowLimit(config)+bucketSlackFraction*config.Slack))
}

// rate returns how many requests the account earns per second.
func (a *account) rate(now time.Time, config *Config, share float64) float64 {
	full := a.windowLimit(config) / config.Window.Seconds()
	if now.Before(a.cautiousUntil) {
		full = min(full, a.cautiousRate(config))
	}
	return share * full
}

// cautiousRate returns how many requests the account earns per second while the window may
// hold grants of a previous counting node. That node may have granted the limit of a
// window, the last part of it as fast as its bucket let it: the faster, the more recently.
// What is granted here meanwhile has to fit into the accepted overrun.
func (a *account) cautiousRate(config *Config) float64 {
	windowLimit := a.windowLimit(config)
	saved := a.capacity(config, 1) / windowLimit * config.Window.Seconds()
	return (config.Overrun*windowLimit + config.Slack) / (saved + takeoverOverlap.Seconds())
}

// refill adds what the account has earned up to now, and advances the window.
func (a *account) refill(now time.Time, config *Config, share float64) {
	if passed := now.Sub(a.at); passed > 0 {
		a.balance += passed.Seconds() * a.rate(now, config, share)
		a.at = now
	}
	a.balance = min(a.balance, a.capacity(config, share))
	a.window.advance(now)
}

// available returns how many requests may be granted now.
func (a *account) available(config *Config, share float64) float64 {
	return min(a.balance, share*a.windowLimit(config)-a.window.total)
}

// updateLimit adopts the request's limit if it is of a newer version.
func (a *account) updateLimit(request *Request) {
	if request.Version > a.version {
		a.limit, a.version = request.Limit, request.Version
	}
}

// overdraft returns by how many requests started programs may overdraw the account.
func (a *account) overdraft(config *Config) float64 {
	return overdraftFraction * (config.Overrun*a.windowLimit(config) + config.Slack)
}

// grant deducts a request from the account.
func (a *account) grant(now time.Time, request *Request) {
	a.balance--
	a.window.add()
	a.granted[request.ID] = now
	if known := a.programs[request.Program]; known != nil {
		known.requests++
		known.lastAt = now
	}
}

// waitFor returns how long the account takes to earn the given number of requests.
func (a *account) waitFor(now time.Time, config *Config, amount, share float64) time.Duration {
	seconds := amount / max(a.rate(now, config, share), math.SmallestNonzeroFloat32)
	return clampRetryAfter(time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second)))
}

func clampRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// refund undoes the grant of a request that did not run.
func (a *account) refund(id, program string) {
	at, known := a.granted[id]
	if !known {
		return
	}
	delete(a.granted, id)
	a.balance++
	a.window.remove(at)
	if known := a.programs[program]; known != nil {
		if known.requests--; known.requests <= 0 {
			delete(a.programs, program)
		}
	}
}

// sweep removes expired grants and refusals, and passes ended programs to a function.
func (a *account) sweep(now time.Time, ended func(*program)) {
	for id, at := range a.granted {
		if now.Sub(at) > grantTTL {
			delete(a.granted, id)
		}
	}
	for id, at := range a.refused {
		if now.Sub(at) > grantTTL {
			delete(a.refused, id)
		}
	}
	for id, known := range a.programs {
		if now.Sub(known.lastAt) > programIdleTime {
			delete(a.programs, id)
			ended(known)
		}
	}
}
