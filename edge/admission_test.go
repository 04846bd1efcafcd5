package edge

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/ingress"
	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/routing"
	"birchwood.example/birchwood/upstream"
)

// turnRequest returns the state of a turn's request.
func turnRequest(route *routing.Route) *requestState {
	return &requestState{
		exchange: &ingress.Exchange{Cancel: &upstream.Cancel{}}, id: "t", program: "p", session: "s", maxTokens: 100, budget: 100,
		deadline: time.Now().Add(time.Minute), route: route,
	}
}

// TestAdmissionGivenUp checks that the node sends a settlement to an owner that did not
// reply in time, since the owner may have granted the turn.
func TestAdmissionGivenUp(t *testing.T) {
	g := NewWithT(t)
	node := keyNode(g, Settings{}, false)
	defer node.Kill()
	ctx, cancel := context.WithCancel(node.ctx)
	defer cancel()
	settled := make(chan ledger.Settlement, 1)
	go func() {
		for input := range node.control.inbox {
			switch input := input.(type) {
			case ownerLookup:
				input.answer <- node.self
			case partitionRequest:
				if input.request.Settle != nil {
					settled <- *input.request.Settle
					input.answer <- coordinator.Reply{Status: coordinator.ReplyDone}
					return
				}
				// The caller gives up before the owner answers.
				cancel()
			}
		}
	}()
	r := turnRequest(&routing.Route{})
	_, err := node.requestAdmission(ctx, r, &coordinator.AdmitRequest{Turn: node.turnOf(r)})
	g.Expect(err).To(HaveOccurred())
	var end ledger.Settlement
	g.Eventually(settled).WithTimeout(time.Minute).Should(Receive(&end))
	g.Expect(end).To(Equal(ledger.Settlement{Turn: "t", Program: "p", Session: "s"}))
}

// TestNextOwnerLearnsOrigin checks that a turn whose owner was lost before its record was
// durable tells the next owner where its stream begins.
func TestNextOwnerLearnsOrigin(t *testing.T) {
	g := NewWithT(t)
	node := keyNode(g, Settings{}, false)
	defer node.Kill()
	begun := make(chan *ledger.Stream, 1)
	go func() {
		for input := range node.control.inbox {
			switch input := input.(type) {
			case ownerLookup:
				input.answer <- node.self
			case partitionRequest:
				if input.request.Await != nil {
					input.answer <- coordinator.Reply{Status: coordinator.ReplyLost}
					continue
				}
				begun <- input.request.Admit.Begin
				admission := &ledger.Admission{Verdict: ledger.VerdictGranted}
				input.answer <- coordinator.Reply{Status: coordinator.ReplyDone, Admission: admission}
				return
			}
		}
	}()
	origin := ledger.StreamOrigin{Service: "model", Version: "v1"}
	r := turnRequest(&routing.Route{Kind: routing.KindStream, Resumable: true})
	r.origin = &origin
	g.Eventually(node.awaitRecorded(node.ctx, r, 1, 1)).WithTimeout(time.Minute).Should(Receive(BeNil()))
	var stream *ledger.Stream
	g.Expect(begun).To(Receive(&stream))
	g.Expect(stream).To(Equal(&ledger.Stream{Attempt: "t", Origin: origin}))
}
