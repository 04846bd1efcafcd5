package edge

import (
	"context"
	"time"

	"birchwood.example/birchwood/quarantine"
	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/upstream"
)

// identity returns what the request has in common with its other tries.
func (r *requestState) identity() *quarantine.Identity {
	identity := &quarantine.Identity{
		Route: r.route.Name, Method: r.exchange.Method, Target: r.exchange.Target, Previous: r.previous, Body: r.exchange.Body,
	}
	if r.tenant != nil {
		identity.Tenant = r.tenant.Name
	}
	return identity
}

// brokenRun is a run without a whole answer.
type brokenRun struct {
	request *requestState
	replica replica.Entry
	sentAt  time.Time
	cause   error
}

// brokeOff reports whether the run ended because the replica's side closed or reset the
// connection, as it does when its process ends.
func (b *brokenRun) brokeOff() bool {
	return upstream.BrokeOff(b.cause) && b.request.exchange.Cancel.Cause() == nil
}

// checkReplica determines whether the replica of a broken run has ended, and logs it.
func (n *Node) checkReplica(broken *brokenRun) {
	if !broken.brokeOff() {
		return
	}
	n.run(func(context.Context) {
		start := time.Now()
		process := n.pool.CheckProcess(targetOf(broken.replica), broken.sentAt)
		n.metrics.runBrokeOff(process)
		n.logger.Info().Str("request", broken.request.id).Str("fingerprint", broken.request.fingerprint.String()).
			Str("replica", string(broken.replica.ID)).Str("process", string(process)).Dur("ranFor", start.Sub(broken.sentAt)).
			Dur("took", time.Since(start)).Err(broken.cause).Msg("request: run broke off")
	})
}
