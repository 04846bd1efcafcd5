package edge

import (
	"testing"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/routing"
)

func TestResumedStreamReservesTheRest(t *testing.T) {
	for _, test := range []struct {
		after                    string
		most, tokensPerEvent, to int
	}{
		{"2", 50, 10, 30},
		{"0", 50, 10, 50},
		{"5", 50, 10, 10},
		{"99999999999", 50, 10, 10},
		{"3", 50, 0, 50},
		{"not a number", 50, 10, 50},
		{"-1", 50, 10, 50},
		{"1", 5, 10, 5},
		{"2", 0, 10, 0},
	} {
		r := &requestState{resumedAfter: test.after, maxTokens: test.most}
		r.limitToRest(test.tokensPerEvent)
		if r.maxTokens != test.to {
			t.Errorf("after %s of %d tokens at %d each: got %d, want %d", test.after, test.most, test.tokensPerEvent, r.maxTokens, test.to)
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
