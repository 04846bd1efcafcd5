package tenant

import "time"

// sweepPeriod is the interval between sweeps of the accounts.
const sweepPeriod = 500 * time.Millisecond

// Limiter holds the accounts of the tenants for which a node is the counting node. It is
// not safe for concurrent use.
type Limiter struct {
	config   Config
	accounts map[string]*account
	costs    map[string]*cost
	// countingSince is the time since which this node has been the only counting node of
	// the accounts that are opened from now on. A new account starts with what was earned
	// since then.
	countingSince time.Time
	// share is the fraction of each limit that this node may grant.
	share     float64
	nextSweep time.Time
}

// NewLimiter returns a Limiter without accounts.
func NewLimiter(now time.Time, config Config) *Limiter {
	return &Limiter{config: config, accounts: make(map[string]*account), costs: make(map[string]*cost), countingSince: now, share: 1}
}

// SetShare sets the fraction of each limit that this node may grant. The rest is for
// unreachable nodes, which may count separately.
func (b *Limiter) SetShare(share float64) { b.share = min(max(share, 0), 1) }

// NodeLost records the loss of a node, which may have been the counting node of tenants
// that this node counts for from now on. The lost node may have granted all that their
// accounts held.
func (b *Limiter) NodeLost(now time.Time) { b.countingSince = now }

// Retain drops the accounts of tenants that now have another counting node.
func (b *Limiter) Retain(owned func(tenant string) bool) {
	for name := range b.accounts {
		if !owned(name) {
			delete(b.accounts, name)
		}
	}
}

// Take decides whether a request fits the tenant's limit, and counts it if so. It is
// idempotent by the ID of the request.
func (b *Limiter) Take(now time.Time, name string, request Request) Decision {
	b.sweep(now)
	acct := b.accounts[name]
	if acct == nil {
		acct = newAccount(now, b.countingSince, &b.config, &request)
		b.accounts[name] = acct
	}
	acct.updateLimit(&request)
	acct.refill(now, &b.config, b.share)
	decision := b.decide(now, acct, &request)
	decision.Balance = b.available(acct)
	if request.Program != "" {
		decision.Programs = len(acct.programs)
	}
	return decision
}

// decide grants a request, or returns when to retry it.
func (b *Limiter) decide(now time.Time, acct *account, request *Request) Decision {
	if _, again := acct.granted[request.ID]; again {
		return Decision{Granted: true}
	}
	if wait := b.retryAfter(now, acct, request); wait > 0 {
		return Decision{RetryAfter: wait}
	}
	acct.grant(now, request)
	b.recordUse(acct, request)
	return Decision{Granted: true}
}

// recordUse adds a granted request to what programs of its route need.
func (b *Limiter) recordUse(acct *account, request *Request) {
	if known := acct.programs[request.Program]; known != nil && !known.inherited {
		b.costOf(known.route).recordUse()
	}
}

func (b *Limiter) available(acct *account) float64 { return acct.available(&b.config, b.share) }

// retryAfter returns the retry delay of a request that has to be refused, or 0 if it can
// be granted.
func (b *Limiter) retryAfter(now time.Time, acct *account, request *Request) time.Duration {
	if request.Program == "" || b.config.ArrivalOrder {
		return b.retryAfterPlain(now, acct)
	}
	if b.available(acct) < 1 {
		acct.shortUntil = now.Add(shortageMemory)
	}
	known := acct.programs[request.Program]
	if known == nil && now.Sub(acct.opened) < openingGrace {
		known = &program{route: request.Route, firstAt: now, inherited: true}
		acct.programs[request.Program] = known
	}
	if known != nil {
		return b.retryAfterStarted(now, acct, known)
	}
	return b.retryAfterNew(now, acct, request)
}

// retryAfterPlain is retryAfter for a request that is granted without regard to its
// program.
func (b *Limiter) retryAfterPlain(now time.Time, acct *account) time.Duration {
	deficit := 1 - b.available(acct)
	if deficit <= 0 {
		return 0
	}
	return acct.waitFor(now, &b.config, deficit, b.share)
}

// retryAfterStarted is retryAfter for a started program, whose requests are refused only
// if the overdraft is used up.
func (b *Limiter) retryAfterStarted(now time.Time, acct *account, known *program) time.Duration {
	known.lastAt = now
	deficit := 1 - b.available(acct) - acct.overdraft(&b.config)
	if deficit <= 0 {
		return 0
	}
	known.refused = true
	return acct.waitFor(now, &b.config, deficit, b.share)
}

// retryAfterNew is retryAfter for a new program. It is refused if its requests, with those
// that started programs still need, are more than the account is expected to hold. Started
// programs take half of a program's span on average until they end, during which the
// account earns more requests. Unless the account was empty recently, the needs are
// ignored: most programs finish within the limit, and an unnecessary wait makes a program
// late.
func (b *Limiter) retryAfterNew(now time.Time, acct *account, request *Request) time.Duration {
	needs := b.costOf(request.Route)
	earned := needs.span.Seconds() / 2 * acct.rate(now, &b.config, b.share)
	deficit := b.committed(now, acct) + needs.mean() - b.available(acct) - acct.overdraft(&b.config) - earned
	noShortage := !now.Before(acct.shortUntil)
	alone := len(acct.programs) == 0 && b.available(acct) >= 1
	if alone || noShortage || b.mayStart(acct, request, deficit) {
		acct.programs[request.Program] = &program{route: request.Route, firstAt: now, lastAt: now}
		return 0
	}
	acct.refused[request.Program] = now
	// Refused programs retry one after the other, as fast as programs can start.
	earliest := now.Add(acct.waitFor(now, &b.config, deficit, b.share))
	if acct.nextRetry.Before(earliest) {
		acct.nextRetry = earliest
	}
	wait := acct.nextRetry.Sub(now)
	acct.nextRetry = now.Add(min(wait+acct.waitFor(now, &b.config, needs.mean(), b.share), maxRetryAfter))
	return clampRetryAfter(wait)
}

// mayStart reports whether a new program may start although the account lacks the given
// number of requests, by what started programs are expected to need. While the account is
// short, programs that retry go after those that arrive for the first time: they have less
// time left, and a limit that holds half of the programs serves half of them in time or
// all of them late. A program that arrives for the first time may start if the account
// holds most of what it needs. Any program may start if the bucket is almost full.
func (b *Limiter) mayStart(acct *account, request *Request, deficit float64) bool {
	_, retrying := acct.refused[request.Program]
	switch {
	case b.config.RetriesAsNew:
		return deficit <= 0
	case retrying:
		capacity := acct.capacity(&b.config, b.share)
		return deficit <= -retryReserve*capacity || b.available(acct) >= max(1, nearlyFullFraction*capacity)
	default:
		return deficit <= 0 || b.available(acct) >= max(1, newProgramFraction*b.costOf(request.Route).mean())
	}
}

// committed returns how many requests the started programs are still expected to need.
func (b *Limiter) committed(now time.Time, acct *account) float64 {
	total := 0.0
	for _, known := range acct.programs {
		total += b.costOf(known.route).remaining(now, known)
	}
	return total
}

func (b *Limiter) costOf(route string) *cost {
	known := b.costs[route]
	if known == nil {
		known = newCost()
		b.costs[route] = known
	}
	return known
}

// Refund undoes the grant of a request that did not run.
func (b *Limiter) Refund(name string, request Request) {
	if acct := b.accounts[name]; acct != nil {
		acct.refund(request.ID, request.Program)
	}
}

func (b *Limiter) sweep(now time.Time) {
	if now.Before(b.nextSweep) {
		return
	}
	b.nextSweep = now.Add(sweepPeriod)
	for name, acct := range b.accounts {
		if b.config.IdleAfter > 0 && now.Sub(acct.at) > b.config.IdleAfter {
			delete(b.accounts, name)
			continue
		}
		acct.sweep(now, func(ended *program) { b.costOf(ended.route).observe(ended) })
	}
}

// Count returns the number of accounts.
func (b *Limiter) Count() int { return len(b.accounts) }
