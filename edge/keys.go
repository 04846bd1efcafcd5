package edge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/dispatch"
	"birchwood.example/birchwood/recordstore"
	"birchwood.example/birchwood/routing"
	"birchwood.example/birchwood/tenant"
)

// A node honours keys only while it can prove that what it knows of them was the
// newest a short time ago: an operator who takes a key away is told so by the store,
// and no node may honour it for long after that, whatever the node can reach.
const (
	// defaultKeyLease is the lease where the operator names no bound.
	defaultKeyLease = 5 * time.Second
	// leaseShare is the part of the operator's bound that is used: clocks run at
	// slightly different rates.
	leaseShare = 0.98
	// lookPause is the least time between two looks into the store for keys that are
	// not known, so that clients with wrong keys cost few calls.
	unknownKeyReadPause = 250 * time.Millisecond
	// lookTimeout bounds one look, and with it how long a request with a key that is
	// not known waits for its answer.
	unknownKeyReadTimeout = 300 * time.Millisecond
	// proofEnough is the age of a proof up to which a key that is not known is
	// refused though the store cannot be asked: what a node in touch reaches while
	// its read of the configuration waits.
	sufficientProofAge = configurationWait + 200*time.Millisecond
)

// proof is when a node's configuration was last proven to be the newest. It is safe
// for concurrent use.
type freshnessProof struct {
	// epoch is a time before any proof that counts: a peer may have had its proof
	// before this process began.
	epoch time.Time
	// at is when the last proof was, since epoch in nanoseconds; 0 before the first.
	at atomic.Int64
	// lookedAt is when the store was asked last because of a key that was not
	// known, since epoch in nanoseconds.
	storeReadAt atomic.Int64
}

// proofHorizon is how long before the process began proofs may lie: longer than any
// operator's bound.
const proofHorizon = 2 * time.Hour

func newFreshnessProof(now time.Time) *freshnessProof {
	return &freshnessProof{epoch: now.Add(-proofHorizon)}
}

// note takes in that the configuration which the node holds was the newest at a time.
func (p *freshnessProof) record(at time.Time) {
	since := int64(at.Sub(p.epoch))
	for known := p.at.Load(); since > known; known = p.at.Load() {
		if p.at.CompareAndSwap(known, since) {
			return
		}
	}
}

// age returns how long ago the last proof was, or false before the first one.
func (p *freshnessProof) age(now time.Time) (time.Duration, bool) {
	at := p.at.Load()
	if at == 0 {
		return 0, false
	}
	return now.Sub(p.epoch) - time.Duration(at), true
}

// mayLook reports whether the store may be asked again because of a key.
func (p *freshnessProof) allowRead(now time.Time) bool {
	since := int64(now.Sub(p.epoch))
	last := p.storeReadAt.Load()
	return (last == 0 || since-last >= int64(unknownKeyReadPause)) && p.storeReadAt.CompareAndSwap(last, since)
}

// keyLease is how old a proof may be for keys to be honoured.
func (s *Settings) keyLease() time.Duration {
	bound := s.KeyLease
	if bound <= 0 {
		bound = defaultKeyLease
	}
	return time.Duration(leaseShare * float64(bound))
}

// authenticate finds the tenant whose key the request shows. If it returns false, the
// request was answered.
func (n *Node) authenticate(r *requestState, table *routing.Table) bool {
	if table.Tenants == nil {
		return true
	}
	r.scope = tenant.PublicScope()
	if r.route.Public {
		return true
	}
	age, _ := n.freshnessProof.age(time.Now())
	r.proofAge = age
	if n.settings.uses(LeaseKeys) && !n.leased() {
		n.metrics.keyRefused(keyLeaseOver)
		n.refuse(r, dispatch.Refusal{Cause: dispatch.CauseUnproven}, "whether keys are still valid is not certain at present")
		return false
	}
	keys := r.exchange.Values(n.adapter.Names.Key)
	if len(keys) != 1 || keys[0] == "" {
		n.metrics.keyRefused(keyMissing)
		r.fail(fasthttp.StatusUnauthorized, "want one key in "+n.adapter.Names.Key, 0)
		return false
	}
	if known, found := table.Tenants.Lookup(keys[0]); found {
		r.tenant, r.scope = known, tenant.ScopeOf(known)
		n.metrics.keyAccepted(age)
		return true
	}
	return n.recheckKey(r, keys[0])
}

// lookAgain answers a request whose key is not known, unless a newer configuration
// knows it: the operator may have added it since this node last heard.
func (n *Node) recheckKey(r *requestState, key string) bool {
	current := n.readConfigurationNow()
	table := n.routes.Current()
	if table.Tenants == nil {
		r.scope = tenant.Scope{}
		return true
	}
	if known, found := table.Tenants.Lookup(key); found {
		r.tenant, r.version, r.scope = known, table.Version, tenant.ScopeOf(known)
		return true
	}
	age, _ := n.freshnessProof.age(time.Now())
	r.proofAge = age
	if !current && age > sufficientProofAge {
		n.metrics.keyRefused(keyUncertain)
		n.refuse(r, dispatch.Refusal{Cause: dispatch.CauseUnproven}, "whether the key is valid is not certain at present")
		return false
	}
	n.metrics.keyRefused(keyUnknown)
	r.fail(fasthttp.StatusUnauthorized, "the key is not known", 0)
	return false
}

// readConfigurationNow reads the configuration beside the read that waits for its next
// change. It reports whether the store answered.
func (n *Node) readConfigurationNow() bool {
	asked := time.Now()
	if !n.freshnessProof.allowRead(asked) {
		return false
	}
	ctx, cancel := context.WithTimeout(n.ctx, unknownKeyReadTimeout)
	defer cancel()
	records, end, err := n.readNewest(ctx, recordstore.Stream{Name: recordstore.StreamConfiguration})
	if err != nil {
		n.logger.Warn().Err(err).Msg("config: not read again for a key that is not known")
		return false
	}
	n.applyConfigurations(records, end)
	n.recordProof(asked)
	return true
}

// noteProof takes in that the configuration held here was the newest at a time.
func (n *Node) recordProof(at time.Time) {
	n.freshnessProof.record(at)
	if n.needsProofs() {
		n.control.post(coordinator.FreshnessProven{At: at, Version: n.routes.Current().Version})
	}
}

// needsProofs reports whether the configuration in force holds keys, so that its age
// matters.
func (n *Node) needsProofs() bool {
	table := n.routes.Current()
	return table != nil && table.Tenants != nil
}

// provesForZone reports whether the other nodes of the zone have their proofs from this
// one.
func (n *Node) provesForZone() bool {
	roles := n.roles.Load()
	if !n.needsProofs() || roles == nil || !n.settings.uses(ShareProofs) {
		return false
	}
	return includes(roles.Readers, n.self.ID)
}

// proofLate is the age of a proof from which on a node reads the configuration without
// waiting for a change: its peers have had nothing newer for longer than they ask for.
const lateProofAge = 1500 * time.Millisecond

// lacksProof reports whether this node needs a proof sooner than a read that waits
// brings one.
func (n *Node) lacksProof() bool {
	if !n.needsProofs() || !n.settings.uses(ShareProofs) {
		return false
	}
	age, proven := n.freshnessProof.age(time.Now())
	return !proven || age > lateProofAge
}

// leased reports whether this node may honour keys.
func (n *Node) leased() bool {
	age, proven := n.freshnessProof.age(time.Now())
	return proven && age <= n.settings.keyLease()
}
