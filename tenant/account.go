package tenant

import (
	"math"
	"time"
)

// Config sets up the accounts of a Book.
type Config struct {
	// Window is the span over which a limit is judged.
	Window time.Duration
	// Overrun is the share of a window's limit, and Slack the number of requests
	// beyond it, that the operator accepts for nodes that count apart.
	Overrun float64
	Slack   float64
	// IdleAfter is after what time without a request an account is dropped; 0 keeps
	// it. It is longer than the window.
	IdleAfter time.Duration
	// FirstCome grants requests in the order in which they come, programs under
	// way and new ones alike, to measure what putting the former first is worth.
	FirstCome bool
	// InTurn has programs that were refused begin as those that come for the first time,
	// to measure what putting the latter first is worth.
	InTurn bool
}

// DefaultConfig returns the settings used where the operator names none: what the
// users' deployments name.
func DefaultConfig() Config {
	return Config{Window: 5 * time.Second, Overrun: 0.1, Slack: 20}
}

// coldReplicaIdle is after what time an account of a cold replica is dropped: replicas
// come and go, and are cold for seconds.
const coldReplicaIdle = 20 * time.Second

// ColdReplicaConfig returns the settings by which requests to cold replicas are counted
// where the operator names none: what the users' deployments name.
func ColdReplicaConfig() Config {
	return Config{Window: time.Second, Overrun: 0.5, Slack: 5, IdleAfter: coldReplicaIdle}
}

const (
	// overdraftFraction is the part of the accepted overrun by which programs under way
	// may overdraw an account. The rest is for what nodes count apart while the
	// counting passes from one to another.
	overdraftFraction = 0.25
	// bucketSlackFraction is the part of Config.Slack that the bucket holds besides the
	// share Config.Overrun of a window's limit. The bucket is what may pass twice
	// where the counting passes on.
	bucketSlackFraction = 0.5
	// takeoverOverlap is how long a node may count on that another one follows: until
	// word of a loss, or of a return, is everywhere. Fleets in virtual time need 0.2 to
	// 0.4 s.
	takeoverOverlap = 400 * time.Millisecond
)

const (
	// newProgramFraction is the part of a program's needs that a short account holds if one that
	// comes for the first time begins: the rest is earned while it runs.
	newProgramFraction = 0.7
	// retryReserve is the part of a bucket that an account is to be expected to have left if
	// a program begins that was refused lately: more than chance makes of an expectation.
	retryReserve = 2.0
	// nearlyFullFraction is the part of a bucket from which on what the account earns is soon lost.
	nearlyFullFraction = 0.9
)

// Times of an account.
const (
	// grantTTL is how long a grant or a refused program is remembered, a grant so that it
	// counts once if it is asked for again, and can be returned: longer than a request is refused late.
	grantTTL = 4 * time.Second
	// openingGrace is how long a new account takes programs that it does not
	// know for ones under way: the owner before it knew them.
	openingGrace = 2500 * time.Millisecond
	// shortageMemory is how long after an account was empty new programs have to fit beside
	// those under way: about as long as a program lasts.
	shortageMemory = 3 * time.Second
	// minRetryAfter and mostWait bound the time to come back that a refusal names.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Request asks for one request of a tenant.
type Request struct {
	// ID is the same for the same request, and no other has it.
	ID string `json:"id"`
	// Program is the program that the request belongs to, or "".
	Program string `json:"program,omitempty"`
	// Route names the kind of the request.
	Route string `json:"route,omitempty"`
	// Limit is the tenant's limit by the configuration of this version.
	Limit   Limit  `json:"limit"`
	Version uint64 `json:"version"`
}

// Decision answers a request.
type Decision struct {
	Granted bool `json:"granted,omitempty"`
	// RetryAfter is when a request that was not granted may come back.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	// Balance is what the account held after the decision.
	Balance float64 `json:"balance"`
	// Programs is how many programs of the tenant are under way, or were lately, over all
	// nodes; 0 for requests without a program.
	Programs int `json:"programs,omitempty"`
}

// account counts one tenant's requests against its limit.
type account struct {
	limit   Limit
	version uint64
	opened  time.Time
	// balance is how many requests the bucket held at a time, and window those that
	// were granted.
	balance float64
	at      time.Time
	window  *window
	// cautiousUntil is when no grant of a former owner is in the window any more.
	cautiousUntil time.Time
	// programs are those under way, and granted the requests that were.
	programs map[string]*program
	granted  map[string]time.Time
	// refused are the programs that were refused before they began.
	refused map[string]time.Time
	// shortUntil is until when new programs have to fit beside those under way.
	shortUntil time.Time
	// nextRetry is when the next program that was refused may come back.
	nextRetry time.Time
}

// program is what an account knows of a program.
type program struct {
	route    string
	requests float64
	firstAt  time.Time
	lastAt   time.Time
	// inherited says that the program was under way when the account was opened, and
	// refused that a request of it was refused: neither tells what programs need.
	inherited bool
	refused   bool
}

// newAccount opens an account whose tenant this node alone has counted for since a
// time.
func newAccount(now, since time.Time, config *Config, request *Request) *account {
	return &account{
		limit: request.Limit, version: request.Version, opened: now, at: since, window: newWindow(now, config.Window),
		cautiousUntil: since.Add(config.Window), programs: make(map[string]*program), granted: make(map[string]time.Time),
		refused: make(map[string]time.Time),
	}
}

// windowLimit is what may pass in a window.
func (a *account) windowLimit(config *Config) float64 {
	return a.limit.Rate*config.Window.Seconds() + a.limit.Burst
}

// capacity is the most that the bucket holds.
func (a *account) capacity(config *Config, share float64) float64 {
	return max(1, share*(config.Overrun*a.windowLimit(config)+bucketSlackFraction*config.Slack))
}

// rate is how many requests a second the account earns.
func (a *account) rate(now time.Time, config *Config, share float64) float64 {
	full := a.windowLimit(config) / config.Window.Seconds()
	if now.Before(a.cautiousUntil) {
		full = min(full, a.cautiousRate(config))
	}
	return share * full
}

// cautiousRate is how many requests a second the account earns while grants of a node
// that counted before may lie in the window. That node may have granted all of a
// window, the last of it as fast as its bucket let it: the faster, the shorter ago. What
// is granted here from then on has to fit into what the operator accepts beyond.
func (a *account) cautiousRate(config *Config) float64 {
	windowLimit := a.windowLimit(config)
	saved := a.capacity(config, 1) / windowLimit * config.Window.Seconds()
	return (config.Overrun*windowLimit + config.Slack) / (saved + takeoverOverlap.Seconds())
}

// refill lets the bucket refill up to now, and the window pass.
func (a *account) refill(now time.Time, config *Config, share float64) {
	if passed := now.Sub(a.at); passed > 0 {
		a.balance += passed.Seconds() * a.rate(now, config, share)
		a.at = now
	}
	a.balance = min(a.balance, a.capacity(config, share))
	a.window.advance(now)
}

// available is how many requests may be granted now.
func (a *account) available(config *Config, share float64) float64 {
	return min(a.balance, share*a.windowLimit(config)-a.window.total)
}

// updateLimit takes a newer limit over.
func (a *account) updateLimit(request *Request) {
	if request.Version > a.version {
		a.limit, a.version = request.Limit, request.Version
	}
}

// overdraft is how far programs under way may overdraw the account.
func (a *account) overdraft(config *Config) float64 {
	return overdraftFraction * (config.Overrun*a.windowLimit(config) + config.Slack)
}

// grant takes a request off the account.
func (a *account) grant(now time.Time, request *Request) {
	a.balance--
	a.window.add()
	a.granted[request.ID] = now
	if known := a.programs[request.Program]; known != nil {
		known.requests++
		known.lastAt = now
	}
}

// waitFor is how long the account takes to earn an amount.
func (a *account) waitFor(now time.Time, config *Config, amount, share float64) time.Duration {
	seconds := amount / max(a.rate(now, config, share), math.SmallestNonzeroFloat32)
	return clampRetryAfter(time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second)))
}

func clampRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// refund takes back a grant whose request did not run.
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

// sweep forgets old grants, and hands over the programs that have ended.
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
