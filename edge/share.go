package edge

import (
	"sync"
	"time"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/dispatch"
)

// shares guards what this node knows of the tenants' shares of the replicas' room.
type shares struct {
	mutex sync.Mutex
	known *dispatch.Shares
}

func newShares() *shares { return &shares{known: dispatch.NewShares()} }

// heard takes in what the node that counts for a request's tenant told of its programs.
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

// overShare reports whether a program that has not begun is to wait since its tenant has
// more than its share of replicas that are full.
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
