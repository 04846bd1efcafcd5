package tenant

import "time"

// sweepPeriod is how often an account forgets what is old.
const sweepPeriod = 500 * time.Millisecond

// Book holds the accounts of the tenants that a node counts for the fleet. It is not
// safe for concurrent use.
type Book struct {
	config   Config
	accounts map[string]*account
	costs    map[string]*cost
	// countingSince is from when on this node alone counts for the tenants that come to it
	// now: an account that is opened begins with what was earned countingSince then.
	countingSince time.Time
	// share is the part of each limit that this node may grant.
	share     float64
	nextSweep time.Time
}

// NewBook returns a book without accounts.
func NewBook(now time.Time, config Config) *Book {
	return &Book{config: config, accounts: make(map[string]*account), costs: make(map[string]*cost), countingSince: now, share: 1}
}

// SetShare sets the part of each limit that this node may grant: what it may not is
// for nodes that cannot be reached and may count apart.
func (b *Book) SetShare(share float64) { b.share = min(max(share, 0), 1) }

// Inherit says that a node was lost that counted for tenants which come here now. It
// may have granted all that their accounts held.
func (b *Book) Inherit(now time.Time) { b.countingSince = now }

// Keep drops the accounts of the tenants that another node counts for by now.
func (b *Book) Keep(owned func(tenant string) bool) {
	for name := range b.accounts {
		if !owned(name) {
			delete(b.accounts, name)
		}
	}
}

// Spend decides whether a request of a tenant fits its limit, and counts it if so.
// The same request may be asked for again.
func (b *Book) Spend(now time.Time, name string, request Request) Decision {
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

// decide grants a request, or tells when it may come back.
func (b *Book) decide(now time.Time, acct *account, request *Request) Decision {
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

// recordUse has what programs need follow from a request that was granted.
func (b *Book) recordUse(acct *account, request *Request) {
	if known := acct.programs[request.Program]; known != nil && !known.inherited {
		b.costOf(known.route).recordUse()
	}
}

func (b *Book) available(acct *account) float64 { return acct.available(&b.config, b.share) }

// retryAfter returns when a request may come back that has to be refused, or 0.
func (b *Book) retryAfter(now time.Time, acct *account, request *Request) time.Duration {
	if request.Program == "" || b.config.FirstCome {
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

// retryAfterPlain has a request wait that does not belong to a program.
func (b *Book) retryAfterPlain(now time.Time, acct *account) time.Duration {
	deficit := 1 - b.available(acct)
	if deficit <= 0 {
		return 0
	}
	return acct.waitFor(now, &b.config, deficit, b.share)
}

// retryAfterStarted has a request of a program under way wait only if the account is
// overdrawn already.
func (b *Book) retryAfterStarted(now time.Time, acct *account, known *program) time.Duration {
	known.lastAt = now
	deficit := 1 - b.available(acct) - acct.overdraft(&b.config)
	if deficit <= 0 {
		return 0
	}
	known.refused = true
	return acct.waitFor(now, &b.config, deficit, b.share)
}

// retryAfterNew has a program wait whose requests, with those that programs under way
// still need, are more than the account can be expected to hold. Half of a program's
// span is what those under way need on the mean until they end. While the account has
// not been empty lately, what programs need is not looked at: most of them end below
// the limit, and one that waits for nothing is late.
func (b *Book) retryAfterNew(now time.Time, acct *account, request *Request) time.Duration {
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
	// Those that are refused come back one after the other, as fast as programs
	// can begin.
	earliest := now.Add(acct.waitFor(now, &b.config, deficit, b.share))
	if acct.nextRetry.Before(earliest) {
		acct.nextRetry = earliest
	}
	wait := acct.nextRetry.Sub(now)
	acct.nextRetry = now.Add(min(wait+acct.waitFor(now, &b.config, needs.mean(), b.share), maxRetryAfter))
	return clampRetryAfter(wait)
}

// mayStart reports whether a program begins for which the account lacks so much by what
// those under way are expected to need. While the account is short, programs that come back
// go behind those that come for the first time: what is left of their time has shrunk, and
// a limit that holds half of the programs serves half of them in time or all of them late.
// One that comes for the first time begins if the account holds most of what it needs,
// and each if the account is almost full.
func (b *Book) mayStart(acct *account, request *Request, deficit float64) bool {
	_, retrying := acct.refused[request.Program]
	switch {
	case b.config.InTurn:
		return deficit <= 0
	case retrying:
		capacity := acct.capacity(&b.config, b.share)
		return deficit <= -retryReserve*capacity || b.available(acct) >= max(1, nearlyFullFraction*capacity)
	default:
		return deficit <= 0 || b.available(acct) >= max(1, newProgramFraction*b.costOf(request.Route).mean())
	}
}

// committed is how many requests the programs under way still need.
func (b *Book) committed(now time.Time, acct *account) float64 {
	total := 0.0
	for _, known := range acct.programs {
		total += b.costOf(known.route).remaining(now, known)
	}
	return total
}

func (b *Book) costOf(route string) *cost {
	known := b.costs[route]
	if known == nil {
		known = newCost()
		b.costs[route] = known
	}
	return known
}

// Return takes back a request that was granted and did not run.
func (b *Book) Return(name string, request Request) {
	if acct := b.accounts[name]; acct != nil {
		acct.refund(request.ID, request.Program)
	}
}

func (b *Book) sweep(now time.Time) {
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

// Count returns how many accounts the book holds.
func (b *Book) Count() int { return len(b.accounts) }
