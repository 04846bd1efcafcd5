package edge

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/replica"
)

// TestReadersRefuseBadNumbers checks that a request with invalid numbers is rejected,
// rather than read as one for the first change.
func TestReadersRefuseBadNumbers(t *testing.T) {
	g := NewWithT(t)
	node := keyNode(g, Settings{}, false)
	defer node.Kill()
	node.holdsAllReplicas.Store(true)
	for query, status := range map[string]int{
		"life=1&since=0&wait=0":  fasthttp.StatusOK,
		"life=x&since=0&wait=0":  fasthttp.StatusBadRequest,
		"life=1&since=-1&wait=0": fasthttp.StatusBadRequest,
		"life=1&since=0":         fasthttp.StatusBadRequest,
	} {
		ctx := &fasthttp.RequestCtx{}
		ctx.Request.SetRequestURI(pathReplicas + "?" + query)
		node.peers.receiveReplicas(ctx)
		g.Expect(ctx.Response.StatusCode()).To(Equal(status), query)
	}
}

// TestNoListFromWhoHasNone checks that a node that has no list, or only a part of it, does
// not serve it. A follower would otherwise remove the missing replicas.
func TestNoListFromWhoHasNone(t *testing.T) {
	g := NewWithT(t)
	node := keyNode(g, Settings{}, false)
	defer node.Kill()
	requestList := func() int {
		ctx := &fasthttp.RequestCtx{}
		ctx.Request.SetRequestURI(pathReplicas + "?life=0&since=0&wait=0&zone=a&group=0&partial=taken")
		node.peers.receiveReplicas(ctx)
		return ctx.Response.StatusCode()
	}
	g.Expect(requestList()).To(Equal(fasthttp.StatusServiceUnavailable))
	entry := replica.Entry{ID: "r", Service: "s", Status: replica.StatusReady, Slots: 1}
	whole := relayAnswer{Whole: true, Changes: []replica.Change{{Entry: &entry}}}
	node.applyRelay(machine.Machine{ID: "source"}, time.Now(), true, &whole)
	g.Expect(node.syncedReplicas.Load()).To(BeTrue())
	g.Expect(requestList()).To(Equal(fasthttp.StatusServiceUnavailable))
	node.applyRelay(machine.Machine{ID: "source"}, time.Now(), false, &whole)
	g.Expect(requestList()).To(Equal(fasthttp.StatusOK))
}

// TestWhereAFollowerStands checks that change numbers of one list are not used for another,
// and the whole list is requested again once a reader has completed its own.
func TestWhereAFollowerStands(t *testing.T) {
	g := NewWithT(t)
	group := replica.Group{Zone: "a"}
	cursor := readerCursor{}
	cursor.setGroup(true, group)
	cursor.advance(&relayAnswer{ReaderIncarnation: 5, Next: 9, Whole: true}, true)
	cursor.setGroup(true, group)
	g.Expect(cursor.incarnation).To(Equal(uint64(5)))
	cursor.setGroup(true, replica.Group{Zone: "a", Number: 1})
	g.Expect(cursor.incarnation).To(BeZero(), "another group")
	cursor.advance(&relayAnswer{ReaderIncarnation: 5, Next: 9, Whole: true}, true)
	cursor.setGroup(false, group)
	g.Expect(cursor.incarnation).To(BeZero(), "all of the list")

	cursor.advance(&relayAnswer{ReaderIncarnation: 6, Next: 1, Whole: true, Partial: true}, true)
	cursor.advance(&relayAnswer{ReaderIncarnation: 6, Next: 4, Partial: true}, true)
	g.Expect(cursor.incarnation).To(Equal(uint64(6)))
	cursor.advance(&relayAnswer{ReaderIncarnation: 6, Next: 8}, true)
	g.Expect(cursor.incarnation).To(BeZero(), "replicas of before may be gone")
	cursor.advance(&relayAnswer{ReaderIncarnation: 6, Next: 8, Whole: true}, true)
	cursor.advance(&relayAnswer{ReaderIncarnation: 6, Next: 9}, true)
	g.Expect(cursor.incarnation).To(Equal(uint64(6)))

	fresh := readerCursor{}
	fresh.setGroup(true, group)
	fresh.advance(&relayAnswer{ReaderIncarnation: 6, Next: 1, Whole: true, Partial: true}, false)
	fresh.advance(&relayAnswer{ReaderIncarnation: 6, Next: 8}, true)
	g.Expect(fresh.incarnation).To(Equal(uint64(6)), "a node that held nothing")
}

// TestRequestOfEarlierVersion checks that a request from a node of an earlier version,
// which names no configuration, waits for changes of the replicas only. Answering it at
// once, again and again, would occupy the reader's processor.
func TestRequestOfEarlierVersion(t *testing.T) {
	g := NewWithT(t)
	node := keyNode(g, Settings{}, false)
	defer node.Kill()
	var query fasthttp.Args
	query.Parse("life=1&since=0&wait=700")
	request, err := parseRelayRequest(&query)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(request.part).To(BeFalse())
	g.Expect(request.takesPartial).To(BeFalse())
	g.Expect(request.version).To(BeNumerically(">=", node.configVersion()))
	g.Expect(request.evacuations).To(BeNumerically(">=", node.evacuations.version()))
}

// TestReaderOfASourceThatStillReads checks that a reader that began with a part of its
// source's list requests the whole list once the source has it. Until it holds all, its own
// followers must not remove replicas that they held before.
func TestReaderOfASourceThatStillReads(t *testing.T) {
	g := NewWithT(t)
	node := keyNode(g, Settings{}, false)
	defer node.Kill()
	entry := replica.Entry{ID: "r", Service: "s", Status: replica.StatusReady, Slots: 1}
	cursor := readerCursor{}
	cursor.setGroup(false, replica.Group{})
	apply := func(answer relayAnswer) {
		cursor.advance(&answer, node.replicas.count() > 0)
		node.applyRelay(machine.Machine{ID: "source"}, time.Now(), false, &answer)
	}
	apply(relayAnswer{ReaderIncarnation: 6, Next: 1, Whole: true, Partial: true, Changes: []replica.Change{{Entry: &entry}}})
	g.Expect(node.holdsAllReplicas.Load()).To(BeFalse())
	apply(relayAnswer{ReaderIncarnation: 6, Next: 8})
	g.Expect(cursor.incarnation).To(BeZero(), "the whole list is asked for")
	apply(relayAnswer{ReaderIncarnation: 6, Next: 8, Whole: true, Changes: []replica.Change{{Entry: &entry}}})
	g.Expect(node.holdsAllReplicas.Load()).To(BeTrue())
	g.Expect(cursor.incarnation).To(Equal(uint64(6)))
}

// TestRemovedReplicaComesBackFromAnotherReader checks that a reader sends no whole list that is older than that of the
// follower that turns to it: replicas that are gone would come back.
func TestRemovedReplicaComesBackFromAnotherReader(t *testing.T) {
	g := NewWithT(t)
	reader := keyNode(g, Settings{}, false)
	defer reader.Kill()
	gone := listedReplica("gone")
	reader.applyRelay(machine.Machine{ID: "source"}, time.Now(), false, &relayAnswer{Whole: true, Position: 7, Changes: []replica.Change{{Entry: &gone}}})
	answerTo := func(request relayRequest) (answer relayAnswer) {
		ctx := &fasthttp.RequestCtx{}
		ctx.Request.SetRequestURI(request.path())
		reader.peers.receiveReplicas(ctx)
		g.Expect(json.Unmarshal(ctx.Response.Body(), &answer)).To(Succeed())
		return answer
	}
	older := answerTo(relayRequest{position: 9})
	g.Expect(older.Older).To(BeTrue())
	g.Expect(older.Whole).To(BeFalse())
	g.Expect(older.Changes).To(BeEmpty())
	for _, position := range []uint64{0, 3, 7} {
		answer := answerTo(relayRequest{position: position})
		g.Expect(answer.Whole).To(BeTrue(), "a follower at %d", position)
		g.Expect(answer.Position).To(Equal(uint64(7)))
	}
	followed := answerTo(relayRequest{position: 9, incarnation: reader.self.Incarnation, since: older.Next})
	g.Expect(followed.Older).To(BeFalse(), "the changes of the reader that it follows")

	reader.applyRelay(machine.Machine{ID: "source"}, time.Now(), false, &relayAnswer{Position: 9, Changes: []replica.Change{{Gone: "gone"}}})
	newer := answerTo(relayRequest{position: 9})
	g.Expect(newer.Whole).To(BeTrue())
	g.Expect(newer.Changes).To(BeEmpty())
	g.Expect(newer.Position).To(Equal(uint64(9)))
}
