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
	// since is from when on this node alone counts for the tenants that come to it
	// now: an account that is opened begins with what was earned since then.
	since time.Time
	// share is the part of each limit that this node may grant.
	share     float64
	nextSweep time.Time
}

// NewBook returns a book without accounts.
func NewBook(now time.Time, config Config) *Book {
	return &Book{config: config, accounts: make(map[string]*account), costs: make(map[string]*cost), since: now, share: 1}
}

// SetShare sets the part of each limit that this node may grant: what it may not is
// for nodes that cannot be reached and may count apart.
func (b *Book) SetShare(share float64) { b.share = min(max(share, 0), 1) }

// Inherit says that a node was lost that counted for tenants which come here now. It
// may have granted all that their accounts held.
func (b *Book) Inherit(now time.Time) { b.since = now }

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
func (b *Book) Spend(now time.Time, name string, asked Request) Decision {
	b.sweep(now)
	held := b.accounts[name]
	if held == nil {
		held = newAccount(now, b.since, &b.config, &asked)
		b.accounts[name] = held
	}
	held.follow(&asked)
	held.fill(now, &b.config, b.share)
	decision := b.decide(now, held, &asked)
	decision.Balance = b.holds(held)
	if asked.Program != "" {
		decision.Programs = len(held.programs)
	}
	return decision
}

// decide grants a request, or tells when it may come back.
func (b *Book) decide(now time.Time, held *account, asked *Request) Decision {
	if _, again := held.granted[asked.ID]; again {
		return Decision{Granted: true}
	}
	if wait := b.refuse(now, held, asked); wait > 0 {
		return Decision{RetryAfter: wait}
	}
	held.grant(now, asked)
	b.use(held, asked)
	return Decision{Granted: true}
}

// use has what programs need follow from a request that was granted.
func (b *Book) use(held *account, asked *Request) {
	if known := held.programs[asked.Program]; known != nil && !known.joined {
		b.costOf(known.route).use()
	}
}

func (b *Book) holds(held *account) float64 { return held.holds(&b.config, b.share) }

// refuse returns when a request may come back that has to be refused, or 0.
func (b *Book) refuse(now time.Time, held *account, asked *Request) time.Duration {
	if asked.Program == "" || b.config.FirstCome {
		return b.refusePlain(now, held)
	}
	if b.holds(held) < 1 {
		held.tightUntil = now.Add(tightFor)
	}
	known := held.programs[asked.Program]
	if known == nil && now.Sub(held.opened) < graceAfterOpening {
		known = &program{route: asked.Route, first: now, joined: true}
		held.programs[asked.Program] = known
	}
	if known != nil {
		return b.refuseUnderWay(now, held, known)
	}
	return b.refuseNew(now, held, asked)
}

// refusePlain has a request wait that does not belong to a program.
func (b *Book) refusePlain(now time.Time, held *account) time.Duration {
	lacks := 1 - b.holds(held)
	if lacks <= 0 {
		return 0
	}
	return held.waitFor(now, &b.config, lacks, b.share)
}

// refuseUnderWay has a request of a program under way wait only if the account is
// overdrawn already.
func (b *Book) refuseUnderWay(now time.Time, held *account, known *program) time.Duration {
	known.last = now
	lacks := 1 - b.holds(held) - held.overdraft(&b.config)
	if lacks <= 0 {
		return 0
	}
	known.refused = true
	return held.waitFor(now, &b.config, lacks, b.share)
}

// refuseNew has a program wait whose requests, with those that programs under way
// still need, are more than the account can be expected to hold. Half of a program's
// span is what those under way need on the mean until they end. While the account has
// not been empty lately, what programs need is not looked at: most of them end below
// the limit, and one that waits for nothing is late.
func (b *Book) refuseNew(now time.Time, held *account, asked *Request) time.Duration {
	needs := b.costOf(asked.Route)
	earned := needs.span.Seconds() / 2 * held.pace(now, &b.config, b.share)
	lacks := b.committed(now, held) + needs.mean() - b.holds(held) - held.overdraft(&b.config) - earned
	loose := !now.Before(held.tightUntil)
	alone := len(held.programs) == 0 && b.holds(held) >= 1
	if alone || loose || b.mayBegin(held, asked, lacks) {
		held.programs[asked.Program] = &program{route: asked.Route, first: now, last: now}
		return 0
	}
	held.refused[asked.Program] = now
	// Those that are refused come back one after the other, as fast as programs
	// can begin.
	earliest := now.Add(held.waitFor(now, &b.config, lacks, b.share))
	if held.nextStart.Before(earliest) {
		held.nextStart = earliest
	}
	wait := held.nextStart.Sub(now)
	held.nextStart = now.Add(min(wait+held.waitFor(now, &b.config, needs.mean(), b.share), mostWait))
	return boundWait(wait)
}

// mayBegin reports whether a program begins for which the account lacks so much by what
// those under way are expected to need. While the account is short, programs that come back
// go behind those that come for the first time: what is left of their time has shrunk, and
// a limit that holds half of the programs serves half of them in time or all of them late.
// One that comes for the first time begins if the account holds most of what it needs,
// and each if the account is almost full.
func (b *Book) mayBegin(held *account, asked *Request, lacks float64) bool {
	_, back := held.refused[asked.Program]
	switch {
	case b.config.InTurn:
		return lacks <= 0
	case back:
		capacity := held.capacity(&b.config, b.share)
		return lacks <= -backBehind*capacity || b.holds(held) >= max(1, fullShare*capacity)
	default:
		return lacks <= 0 || b.holds(held) >= max(1, firstShare*b.costOf(asked.Route).mean())
	}
}

// committed is how many requests the programs under way still need.
func (b *Book) committed(now time.Time, held *account) float64 {
	total := 0.0
	for _, known := range held.programs {
		total += b.costOf(known.route).rest(now, known)
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
func (b *Book) Return(name string, asked Request) {
	if held := b.accounts[name]; held != nil {
		held.giveBack(asked.ID, asked.Program)
	}
}

func (b *Book) sweep(now time.Time) {
	if now.Before(b.nextSweep) {
		return
	}
	b.nextSweep = now.Add(sweepPeriod)
	for name, held := range b.accounts {
		if b.config.IdleAfter > 0 && now.Sub(held.at) > b.config.IdleAfter {
			delete(b.accounts, name)
			continue
		}
		held.sweep(now, func(ended *program) { b.costOf(ended.route).observe(ended) })
	}
}

// Count returns how many accounts the book holds.
func (b *Book) Count() int { return len(b.accounts) }
