package edge

import (
	"sync"
	"time"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/dispatch"
)

// shares holds this node's view of the tenants' shares of the replicas' capacity. It is
// safe for concurrent use.
type shares struct {
	mutex sync.Mutex
	known *dispatch.Shares
}

func newShares() *shares { return &shares{known: dispatch.NewShares()} }

// observe records the number of the tenant's programs, as reported by the tenant's counting
// node.
func (s *shares) observe(r *requestState) {
	outcome := &r.charge.outcome
	if outcome.Status == coordinator.ChargeUnknown || outcome.Decision.Programs == 0 {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.known.Observe(time.Now(), r.tenant.Name, outcome.Decision.Programs, r.tenant.Limit.Rate)
}

func (s *shares) over(tenant string, utilisation float64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.known.Over(time.Now(), tenant, utilisation)
}

// overShare reports whether a new program has to wait because the replicas are full and its
// tenant has more than its share of them.
func (n *Node) overShare(r *requestState) bool {
	if r.charge == nil || !n.settings.uses(ShareByTenant) {
		return false
	}
	utilisation := n.replicas.minUtilisation(n.selectionRequest(r))
	if !n.shares.over(r.tenant.Name, utilisation) {
		return false
	}
	n.metrics.shareRefused()
	return true
}
