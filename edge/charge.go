package edge

import (
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/dispatch"
	"birchwood.example/birchwood/tenant"
)

const (
	// chargeTimeout is how long a request waits for its tenant's counting node: long enough
	// for the failure of a node to be detected and another one to take over the counting.
	chargeTimeout = ownerLookupTimeout
	// chargeTimeoutShare limits that to a share of the request's remaining time.
	chargeTimeoutShare = 0.5
)

// charge is how a request counts towards a rate limit.
type charge struct {
	request coordinator.Charge
	answer  chan coordinator.Charged
	outcome coordinator.Charged
	// ran is set once a replica may have run the request.
	ran bool
}

// beginCharge requests a grant from the counting node if the request's tenant has a rate
// limit. endCharge receives the answer.
func (n *Node) beginCharge(ctx context.Context, r *requestState) {
	if r.tenant == nil || r.tenant.Limit.Unlimited() || !n.settings.uses(EnforceLimits) {
		return
	}
	r.charge = &charge{
		request: coordinator.Charge{Tenant: r.tenant.Name, Request: tenant.Request{
			ID: r.id, Program: r.exchange.Field(n.adapter.Names.Program), Route: r.route.Name,
			Limit: r.tenant.Limit, Version: r.version,
		}},
		answer: make(chan coordinator.Charged, 1),
	}
	timeout := min(chargeTimeout, time.Duration(chargeTimeoutShare*float64(max(0, r.timeLeft()))))
	n.control.charge(ctx, r.charge, timeout)
}

// endCharge waits for the answer to beginCharge. If it returns false, the request has been
// answered.
func (n *Node) endCharge(ctx context.Context, r *requestState) bool {
	if r.charge == nil {
		return true
	}
	select {
	case r.charge.outcome = <-r.charge.answer:
	case <-ctx.Done():
		// The answer may still arrive; refundUnusedCharge handles it.
		n.refuse(r, dispatch.Refusal{Cause: dispatch.CauseLimit}, "the time of the request was up before it was counted")
		return false
	}
	n.metrics.charged(string(r.charge.outcome.Status))
	n.shares.observe(r)
	switch r.charge.outcome.Status {
	case coordinator.ChargeGranted:
		return true
	case coordinator.ChargeRefused:
		r.fail(fasthttp.StatusTooManyRequests, "the tenant's limit of "+strconv.FormatFloat(r.tenant.Limit.Rate, 'g', -1, 64)+
			" requests a second is reached", r.charge.outcome.Decision.RetryAfter)
	default:
		n.refuse(r, dispatch.Refusal{Cause: dispatch.CauseLimit}, "the node that counts the tenant's requests does not answer")
	}
	return false
}

// refundUnusedCharge refunds the grant of a request that did not run.
func (n *Node) refundUnusedCharge(r *requestState) {
	counted := r.charge
	switch {
	case counted == nil || counted.ran:
	case counted.outcome.Status == coordinator.ChargeGranted:
		n.refundCharge(counted)
	case counted.outcome.Status == "":
		// The request ended before its answer arrived.
		n.run(func(ctx context.Context) { n.refundLateCharge(ctx, counted) })
	}
}

// refundLateCharge refunds a grant that arrives after its request has ended. None arrives
// after the timeout of the charge.
func (n *Node) refundLateCharge(ctx context.Context, counted *charge) {
	waitCtx, cancel := context.WithTimeout(ctx, 2*chargeTimeout)
	defer cancel()
	select {
	case outcome := <-counted.answer:
		if outcome.Status == coordinator.ChargeGranted {
			n.refundCharge(counted)
		}
	case <-waitCtx.Done():
	}
}

func (n *Node) refundCharge(counted *charge) {
	n.metrics.charged(chargeRefunded)
	n.control.post(coordinator.ChargeRefunded{Charge: counted.request})
}

// markRun records that a replica may have run the request.
func (r *requestState) markRun() {
	if r.charge != nil {
		r.charge.ran = true
	}
}
