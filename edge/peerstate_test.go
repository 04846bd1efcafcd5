package edge

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/recordstore"
	"birchwood.example/birchwood/replica"
)

// stateOf returns a node's list of replicas, as it passes it on to a peer.
func stateOf(g *WithT, n *Node) peerState {
	ctx := &fasthttp.RequestCtx{}
	n.peers.receiveState(ctx)
	var state peerState
	g.Expect(json.Unmarshal(ctx.Response.Body(), &state)).To(Succeed())
	return state
}

func (n *Node) adopt(state peerState) {
	n.adoptList(machine.Machine{ID: "peer"}, time.Now(), &state)
}

// listOutage is the outage of the store in the tests of lists of replicas, and listSettled a time
// in which a node has read everything that was written before.
var listOutage = span{4 * time.Second, 7 * time.Second}

const listSettled = replicasWait + replicasPause

// TestRemovedReplicaComesBackFromPeer checks that a replica that is gone does not come back with an older list of
// a peer: it would get requests until the next complete read.
func TestRemovedReplicaComesBackFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		node, store := nodeAtOutageStore(g, []span{listOutage})
		defer node.Kill()
		time.Sleep(listSettled)
		store.put(recordstore.StreamReplicas, "kept", "ready")
		time.Sleep(listSettled)
		older := stateOf(g, node)
		g.Expect(older.Replicas).To(HaveLen(2))
		store.put(recordstore.StreamReplicas, "r", "")
		time.Sleep(listSettled)
		g.Expect(node.replicas.ids()).To(ConsistOf(replica.ID("kept")))

		time.Sleep(time.Until(store.begun.Add(listOutage.from + contactLifetime)))
		g.Expect(node.reachesStore()).To(BeFalse())
		node.adopt(older)
		g.Expect(node.replicas.ids()).To(ConsistOf(replica.ID("kept")))
		time.Sleep(time.Until(store.begun.Add(listOutage.to + listSettled)))
		node.adopt(older)
		g.Expect(node.replicas.ids()).To(ConsistOf(replica.ID("kept")), "a peer's answer that comes after the outage")
	})
}

// TestTailReplaysRecordsOfNewerPeerList checks that the tail is read on behind a newer list of a peer: records before
// it would bring back a replica that is gone.
func TestTailReplaysRecordsOfNewerPeerList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		node, store := nodeAtOutageStore(g, []span{listOutage})
		defer node.Kill()
		time.Sleep(time.Until(store.begun.Add(listOutage.from + time.Millisecond)))
		store.put(recordstore.StreamReplicas, "brief", "ready")
		store.put(recordstore.StreamReplicas, "brief", "")
		store.put(recordstore.StreamReplicas, "new", "ready")
		store.put(recordstore.StreamReplicas, "r", "")
		time.Sleep(2 * contactLifetime)
		node.adopt(peerState{Replicas: []replica.Entry{listedReplica("new")}, Position: 5})
		for time.Since(store.begun) < listOutage.to+2*listSettled {
			g.Expect(node.replicas.ids()).To(ConsistOf(replica.ID("new")))
			time.Sleep(time.Millisecond)
		}
		store.put(recordstore.StreamReplicas, "later", "ready")
		time.Sleep(listSettled)
		g.Expect(node.replicas.ids()).To(ConsistOf(replica.ID("new"), replica.ID("later")))
	})
}

// TestStartingNodeInOutageHasNoReplicas checks that a node without a list takes over that of a peer, with or without
// a position, and a newer one after it.
func TestStartingNodeInOutageHasNoReplicas(t *testing.T) {
	g := NewWithT(t)
	node := keyNode(g, Settings{}, false)
	defer node.Kill()
	adopt := func(position uint64, id replica.ID) {
		node.adopt(peerState{Replicas: []replica.Entry{listedReplica(id)}, Position: position})
	}
	adopt(0, "a")
	g.Expect(node.replicas.ids()).To(ConsistOf(replica.ID("a")), "a peer of an earlier version")
	adopt(7, "b")
	g.Expect(node.replicas.ids()).To(ConsistOf(replica.ID("b")))
	adopt(9, "c")
	g.Expect(node.replicas.ids()).To(ConsistOf(replica.ID("c")))
	adopt(0, "a")
	g.Expect(node.replicas.ids()).To(ConsistOf(replica.ID("c")), "a list of unknown age")
}

// TestDeferredRemovalForgottenByPeer checks that a replica whose removal a peer defers after an outage is removed by
// a node that takes over the peer's list, which reads on behind the removal.
func TestDeferredRemovalForgottenByPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		peer, store := nodeAtOutageStore(g, []span{listOutage})
		defer peer.Kill()
		time.Sleep(time.Until(store.begun.Add(listOutage.from + time.Millisecond)))
		store.put(recordstore.StreamReplicas, "kept", "ready")
		store.put(recordstore.StreamReplicas, "r", "")
		for peer.listPosition.current() < 3 {
			time.Sleep(time.Millisecond)
		}
		g.Expect(peer.replicas.ids()).To(ConsistOf(replica.ID("r"), replica.ID("kept")), "the removal is deferred")

		node := keyNode(g, Settings{}, false)
		defer node.Kill()
		node.adopt(peerState{Replicas: []replica.Entry{listedReplica("r")}, Position: 1})
		node.adopt(stateOf(g, peer))
		time.Sleep(removalDeferral)
		node.replicasCaughtUp(time.Now())
		g.Expect(node.replicas.ids()).To(ConsistOf(replica.ID("kept")))
	})
}

func listedReplica(id replica.ID) replica.Entry {
	return replica.Entry{ID: id, Service: "s", Status: replica.StatusReady, Slots: 1}
}
