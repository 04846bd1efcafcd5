package edge

import (
	"testing"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/routing"
)

// TestResumedStreamReservesTooLittle checks that a resumed stream reserves all tokens that it may still use, whatever
// the IDs of its events are: they rise, by one or by more.
func TestResumedStreamReservesTooLittle(t *testing.T) {
	for _, test := range []struct {
		after                              string
		most, tokensPerEvent, to, received int
	}{
		{"1", 50, 10, 40, 20},
		{"2", 50, 10, 40, 30},
		{"20", 50, 10, 40, 50},
		{"0", 50, 10, 40, 10},
		{"5", 50, 10, 40, 50},
		{"99999999999", 50, 10, 40, 50},
		{"3", 50, 0, 50, 50},
		{"not a number", 50, 10, 40, 50},
		{"-1", 50, 10, 40, 50},
		{"1", 15, 10, 10, 15},
		{"1", 5, 10, 5, 5},
		{"2", 0, 10, 0, 0},
	} {
		r := &requestState{resumedAfter: test.after, maxTokens: test.most}
		r.limitToRest(test.tokensPerEvent)
		if r.maxTokens != test.to || r.receivedTokens != test.received {
			t.Errorf("after %s of %d tokens at %d each: got %d and %d received, want %d and %d",
				test.after, test.most, test.tokensPerEvent, r.maxTokens, r.receivedTokens, test.to, test.received)
		}
	}
}

// TestResumedStreamAdmittedAsAnotherTurn checks that the owner learns which stream a turn resumes, what its client can
// have received of it, and which process runs it.
func TestResumedStreamAdmittedAsAnotherTurn(t *testing.T) {
	g := NewWithT(t)
	node := keyNode(g, Settings{}, false)
	defer node.Kill()
	stream := &routing.Route{Kind: routing.KindStream, Resumable: true}
	resumed := &requestState{id: "second", route: stream, resumed: "first", resumedAfter: "2", maxTokens: 50}
	resumed.limitToRest(10)
	turn := node.turnOf(resumed)
	g.Expect(turn.Resumes).To(Equal("first"))
	g.Expect(turn.Received).To(Equal(30), "IDs may begin at 0")
	g.Expect(turn.Node).To(Equal("n"))
	g.Expect(turn.Process).To(Equal(node.self.Incarnation))

	opaque := &requestState{id: "second", route: stream, resumed: "first", resumedAfter: "x", maxTokens: 50}
	opaque.limitToRest(10)
	g.Expect(node.turnOf(opaque).Received).To(Equal(50))
	begun := &requestState{id: "third", route: stream, resumed: "first", maxTokens: 50}
	g.Expect(node.turnOf(begun).Resumes).To(BeEmpty())
}
