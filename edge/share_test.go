package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/dispatch"
	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/routing"
	"birchwood.example/birchwood/tenant"
)

// TestShareByTenant checks that a program has to wait if its tenant has more than its share
// of full replicas, but not while a slot is free or if the mechanism is switched off.
func TestShareByTenant(t *testing.T) {
	g := NewWithT(t)
	for _, settings := range []Settings{{}, without(ShareByTenant)} {
		node := &Node{settings: settings, replicas: newReplicas(&settings), shares: newShares(), metrics: newMetrics(func() uint64 { return 0 })}
		node.replicas.put(replica.Entry{ID: "r", Service: "s", Status: replica.StatusReady, Slots: 1})
		of := func(name string, programs int) *requestState {
			request := &requestState{service: "s", route: &routing.Route{}, tenant: &tenant.Tenant{Name: name, Limit: tenant.Limit{Rate: 10}}}
			request.charge = &charge{outcome: coordinator.Charged{
				Status: coordinator.ChargeGranted, Decision: tenant.Decision{Granted: true, Programs: programs},
			}}
			node.shares.observe(request)
			return request
		}
		hot, normal := of("hot", 100), of("usual", 5)
		g.Expect(node.overShare(hot)).To(BeFalse())
		_, err := node.replicas.choose(&replica.Request{Service: "s"})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = node.replicas.choose(&replica.Request{Service: "s"})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(node.overShare(hot)).To(Equal(settings.uses(ShareByTenant)))
		g.Expect(node.overShare(normal)).To(BeFalse())
		g.Expect(node.overShare(&requestState{service: "s", route: &routing.Route{}})).To(BeFalse())
	}
}

// TestRepeatWithCapacity checks that a late call is repeated only if a replica has
// capacity, or in any case if the mechanism is switched off.
func TestRepeatWithCapacity(t *testing.T) {
	g := NewWithT(t)
	for _, settings := range []Settings{{}, without(RepeatWithCapacity)} {
		stats, err := newCallStats()
		g.Expect(err).NotTo(HaveOccurred())
		node := &Node{settings: settings, replicas: newReplicas(&settings), callStats: stats}
		node.replicas.put(replica.Entry{ID: "r", Service: "s", Status: replica.StatusReady, Slots: 1})
		run := &callRun{node: node, request: &requestState{service: "s", route: &routing.Route{}, deadline: time.Now().Add(time.Hour)}}
		g.Expect(dispatch.DecideRepeat(run.lateCall())).To(Equal(dispatch.RepeatSent))
		_, err = node.replicas.choose(&replica.Request{Service: "s"})
		g.Expect(err).NotTo(HaveOccurred())
		want := dispatch.RepeatSent
		if settings.uses(RepeatWithCapacity) {
			want = dispatch.RepeatFull
		}
		g.Expect(dispatch.DecideRepeat(run.lateCall())).To(Equal(want))
	}
}
