package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/header"
	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/routing"
	"birchwood.example/birchwood/tenant"
	"birchwood.example/birchwood/upstream"
)

// coldNode returns a node with replicas that stay cold. Its control goroutine does not run,
// so that the test answers the charges.
func coldNode(g *WithT, without []Mechanism, ids ...replica.ID) *Node {
	node, err := New(Settings{Node: "n", Zone: "z", Partitions: 1, Disabled: without}, Adapter{Names: header.Names{ColdLeft: "X-Left"}}, quietLogger)
	g.Expect(err).NotTo(HaveOccurred())
	table := &routing.Table{Services: map[string]routing.Service{"s": {Name: "s", ColdRate: 28}}}
	node.replicas.configure(table)
	for _, id := range ids {
		node.replicas.put(replica.Entry{
			ID: id, Service: "s", Zone: "z", Status: replica.StatusReady, Slots: 4, Cold: replica.ColdStatus{Remaining: time.Hour, Sequence: 1},
		})
	}
	return node
}

// answerCold answers the next charges with the given statuses, and appends the charges to
// requested.
func answerCold(node *Node, requested *[]coordinator.Charge, statuses ...coordinator.ChargeStatus) {
	go func() {
		for _, status := range statuses {
			pending, isCharge := (<-node.control.inbox).(chargeRequest)
			if !isCharge {
				return
			}
			*requested = append(*requested, pending.charge)
			pending.answer <- coordinator.Charged{Status: status, Decision: tenant.Decision{RetryAfter: time.Hour}}
		}
	}()
}

func coldRequest() *requestState {
	return &requestState{id: "q", version: 3, deadline: time.Now().Add(time.Hour), attemptInFlight: true}
}

// TestColdReplicaNeedsGrant checks that a request goes to a cold replica only after a
// grant. If that is refused, the next best replica is selected at once.
func TestColdReplicaNeedsGrant(t *testing.T) {
	g := NewWithT(t)
	node := coldNode(g, nil, "r0", "r1")
	defer node.Kill()
	var requested []coordinator.Charge
	answerCold(node, &requested, coordinator.ChargeRefused, coordinator.ChargeGranted)
	request := coldRequest()
	choice, err := node.chooseWithinColdRates(request, &replica.Request{Service: "s"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(requested).To(HaveLen(2))
	g.Expect(requested[0].Replica).To(Equal("r0"))
	g.Expect(requested[0].Request.Limit).To(Equal(tenant.Limit{Rate: 28}))
	g.Expect(requested[0].Request.Version).To(BeEquivalentTo(3))
	g.Expect(choice.Entry.ID).To(BeEquivalentTo("r1"))
	g.Expect(node.replicas.ownRequests()).To(Equal(map[string]int{"r1": 1}))
	// The refused replica is skipped until its retry delay is over.
	answerCold(node, &requested, coordinator.ChargeGranted)
	choice, err = node.chooseWithinColdRates(request, &replica.Request{Service: "s"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(choice.Entry.ID).To(BeEquivalentTo("r1"))
	g.Expect(requested).To(HaveLen(3))
}

// TestColdChargesAreSeparate checks that two requests with the same client id are charged
// separately, so that the grant for one does not cover the other.
func TestColdChargesAreSeparate(t *testing.T) {
	g := NewWithT(t)
	node := coldNode(g, nil, "r0")
	defer node.Kill()
	var requested []coordinator.Charge
	answerCold(node, &requested, coordinator.ChargeGranted, coordinator.ChargeGranted)
	for range 2 {
		_, err := node.chooseWithinColdRates(coldRequest(), &replica.Request{Service: "s"})
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(requested).To(HaveLen(2))
	g.Expect(requested[0].Request.ID).NotTo(Equal(requested[1].Request.ID))
}

// TestColdReplicaWithoutAnswer checks that a cold replica whose charge is not answered is
// skipped.
func TestColdReplicaWithoutAnswer(t *testing.T) {
	g := NewWithT(t)
	node := coldNode(g, nil, "r0")
	defer node.Kill()
	var requested []coordinator.Charge
	answerCold(node, &requested, coordinator.ChargeUnknown)
	_, err := node.chooseWithinColdRates(coldRequest(), &replica.Request{Service: "s"})
	g.Expect(err).To(MatchError(replica.ErrColdRate))
	g.Expect(node.replicas.ownRequests()).To(BeEmpty())
}

// TestColdGrantIsRefunded checks that the grant is refunded, once, if the replica did not
// run the request.
func TestColdGrantIsRefunded(t *testing.T) {
	g := NewWithT(t)
	node := coldNode(g, nil, "r0")
	defer node.Kill()
	var requested []coordinator.Charge
	answerCold(node, &requested, coordinator.ChargeGranted)
	request := coldRequest()
	choice, err := node.chooseWithinColdRates(request, &replica.Request{Service: "s"})
	g.Expect(err).NotTo(HaveOccurred())
	node.attemptRejected(request, choice.Entry, replica.ResultRejected)
	g.Expect(<-node.control.inbox).To(Equal(coordinator.ChargeRefunded{Charge: requested[0]}))
	node.attemptRejected(request, choice.Entry, replica.ResultRejected)
	g.Expect(node.control.inbox).To(BeEmpty())
}

// TestLimitCold checks that nothing is charged if the mechanism is switched off.
func TestLimitCold(t *testing.T) {
	g := NewWithT(t)
	node := coldNode(g, []Mechanism{LimitColdReplicas}, "r0")
	defer node.Kill()
	_, err := node.chooseWithinColdRates(coldRequest(), &replica.Request{Service: "s"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(node.control.inbox).To(BeEmpty())
}

// TestColdTimeOfAnswers checks that a valid cold time in an answer is applied, and an
// invalid one is ignored.
func TestColdTimeOfAnswers(t *testing.T) {
	g := NewWithT(t)
	node := coldNode(g, nil)
	defer node.Kill()
	node.replicas.put(replica.Entry{ID: "r0", Service: "s", Status: replica.StatusReady, Slots: 4})
	before, _, _ := node.replicas.since(&relayRequest{}, false)
	g.Expect(before[0].Entry.Cold.Remaining).To(BeZero())
	for _, value := range []string{"", "soon", "0"} {
		node.observeColdStatus("r0", answerWith(value))
		g.Expect(node.ColdReplicas()).To(BeZero(), value)
	}
	node.observeColdStatus("r0", answerWith("3600000"))
	g.Expect(node.ColdReplicas()).To(Equal(1))
	changes, _, _ := node.replicas.since(&relayRequest{since: 1}, true)
	g.Expect(changes).To(HaveLen(1))
	g.Expect(changes[0].Entry.Cold.Remaining).To(BeNumerically("~", time.Hour, time.Minute))
}

func answerWith(left string) *upstream.Response {
	response := &upstream.Response{}
	response.Header = fasthttp.ResponseHeader{}
	if left != "" {
		response.Header.Set("X-Left", left)
	}
	return response
}
