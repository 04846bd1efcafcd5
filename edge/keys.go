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

// A node accepts keys only while it can prove that its list of keys was the newest a short
// time ago. An operator who removes a key gets a confirmation from the store, and no node
// may accept the key for long after that, whatever the node can reach.
const (
	// defaultKeyLease is the lease if the operator sets no bound.
	defaultKeyLease = 5 * time.Second
	// leaseShare is the part of the operator's bound that is used, because clocks run at
	// slightly different rates.
	leaseShare = 0.98
	// unknownKeyReadPause is the minimum time between two reads of the store because of
	// unknown keys, so that clients with wrong keys cause few calls.
	unknownKeyReadPause = 250 * time.Millisecond
	// unknownKeyReadTimeout bounds one such read, and thereby how long a request with an
	// unknown key waits for its answer.
	unknownKeyReadTimeout = 300 * time.Millisecond
	// sufficientProofAge is the age of a proof up to which an unknown key is refused even
	// if the store cannot be read: the age that a connected node reaches while its read of
	// the configuration waits.
	sufficientProofAge = configurationWait + 200*time.Millisecond
)

// freshnessProof records when a node's configuration was last proven to be the newest. It
// is safe for concurrent use.
type freshnessProof struct {
	// epoch is the origin of the times below. It is earlier than any proof that counts,
	// since a peer may have had its proof before this process began.
	epoch time.Time
	// at is the time of the last proof, in nanoseconds since epoch; 0 if there is none.
	at atomic.Int64
	// storeReadAt is when the store was last read because of an unknown key, in nanoseconds
	// since epoch.
	storeReadAt atomic.Int64
}

// proofHorizon is how long before the start of the process a proof may date from. It
// exceeds any operator's bound.
const proofHorizon = 2 * time.Hour

func newFreshnessProof(now time.Time) *freshnessProof {
	return &freshnessProof{epoch: now.Add(-proofHorizon)}
}

// record records that the node's configuration was the newest at a time.
func (p *freshnessProof) record(at time.Time) {
	since := int64(at.Sub(p.epoch))
	for known := p.at.Load(); since > known; known = p.at.Load() {
		if p.at.CompareAndSwap(known, since) {
			return
		}
	}
}

// age returns the age of the last proof, or false if there is none.
func (p *freshnessProof) age(now time.Time) (time.Duration, bool) {
	at := p.at.Load()
	if at == 0 {
		return 0, false
	}
	return now.Sub(p.epoch) - time.Duration(at), true
}

// allowRead reports whether the store may be read again because of an unknown key.
func (p *freshnessProof) allowRead(now time.Time) bool {
	since := int64(now.Sub(p.epoch))
	last := p.storeReadAt.Load()
	return (last == 0 || since-last >= int64(unknownKeyReadPause)) && p.storeReadAt.CompareAndSwap(last, since)
}

// keyLease returns the maximum age of a proof with which keys are accepted.
func (s *Settings) keyLease() time.Duration {
	bound := s.KeyLease
	if bound <= 0 {
		bound = defaultKeyLease
	}
	return time.Duration(leaseShare * float64(bound))
}

// authenticate looks up the tenant of the request's key. If it returns false, the request
// has been answered.
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
	keys := r.exchange.Values(n.adapter.Names.APIKey)
	if len(keys) != 1 || keys[0] == "" {
		n.metrics.keyRefused(keyMissing)
		r.fail(fasthttp.StatusUnauthorized, "want one key in "+n.adapter.Names.APIKey, 0)
		return false
	}
	if known, found := table.Tenants.Lookup(keys[0]); found {
		r.tenant, r.scope = known, tenant.ScopeOf(known)
		n.metrics.keyAccepted(age)
		return true
	}
	return n.recheckKey(r, keys[0])
}

// recheckKey answers a request with an unknown key, unless a newer configuration has the
// key: the operator may have added it since this node last read the configuration.
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

// readConfigurationNow reads the configuration independently of the read that waits for its
// next change. It reports whether the store answered.
func (n *Node) readConfigurationNow() bool {
	requestedAt := time.Now()
	if !n.freshnessProof.allowRead(requestedAt) {
		return false
	}
	ctx, cancel := context.WithTimeout(n.ctx, unknownKeyReadTimeout)
	defer cancel()
	records, end, err := n.readNewest(ctx, recordstore.Stream{Name: recordstore.StreamConfiguration})
	if err != nil {
		n.logger.Warn().Err(err).Msg("config: could not be read again for an unknown key")
		return false
	}
	n.applyConfigurations(records, end)
	n.recordProof(requestedAt)
	return true
}

// recordProof records that this node's configuration was the newest at a time.
func (n *Node) recordProof(at time.Time) {
	n.freshnessProof.record(at)
	if n.needsProofs() {
		n.control.post(coordinator.FreshnessProven{At: at, Version: n.routes.Current().Version})
	}
}

// needsProofs reports whether the configuration in force has keys, which require freshness
// proofs.
func (n *Node) needsProofs() bool {
	table := n.routes.Current()
	return table != nil && table.Tenants != nil
}

// provesForZone reports whether the other nodes of the zone get their proofs from this one.
func (n *Node) provesForZone() bool {
	roles := n.roles.Load()
	if !n.needsProofs() || roles == nil || !n.settings.uses(ShareProofs) {
		return false
	}
	return includes(roles.Readers, n.self.ID)
}

// lateProofAge is the age of a proof from which on a node reads the configuration without
// long polling. It exceeds the age at which a node requests a proof from its peers, which
// therefore had no newer one.
const lateProofAge = 1500 * time.Millisecond

// lacksProof reports whether this node needs a proof sooner than a long-polling read
// provides one.
func (n *Node) lacksProof() bool {
	if !n.needsProofs() || !n.settings.uses(ShareProofs) {
		return false
	}
	age, proven := n.freshnessProof.age(time.Now())
	return !proven || age > lateProofAge
}

// leased reports whether this node may accept keys.
func (n *Node) leased() bool {
	age, proven := n.freshnessProof.age(time.Now())
	return proven && age <= n.settings.keyLease()
}
