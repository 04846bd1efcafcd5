package edge

import (
	"context"
	"encoding/json"
	"time"

	"birchwood.example/birchwood/internal/wait"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/replica"
)

// peerStatePeriod is how often a node that cannot reach the store queries a peer.
const peerStatePeriod = 500 * time.Millisecond

// followerFetchPause is how long a follower waits for its reader to deliver a newer
// configuration before fetching it itself: much shorter than the minimum time that
// operators allow for one to take effect, and long enough for two requests to the reader.
const followerFetchPause = 800 * time.Millisecond

// followPeers fetches the configuration and the replicas from a peer while only this node
// cannot reach the store.
func (n *Node) followPeers(ctx context.Context) {
	for wait.For(ctx, peerStatePeriod) {
		if n.reachesStore() {
			continue
		}
		n.fetchFromPeer(ctx)
	}
}

func (n *Node) fetchFromPeer(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, peerStatePeriod)
	defer cancel()
	if from, found := n.anyPeer(callCtx); found {
		n.applyPeerState(callCtx, from)
	}
}

// anyPeer returns a random live peer that reaches the store.
func (n *Node) anyPeer(ctx context.Context) (peer machine.Machine, found bool) {
	live, err := n.control.livePeers(ctx)
	if err != nil || len(live.peers) == 0 {
		return machine.Machine{}, false
	}
	return live.peers[int(n.draw()*float64(len(live.peers)))], true
}

// applyPeerState fetches and applies the state of a peer.
func (n *Node) applyPeerState(ctx context.Context, from machine.Machine) {
	requestedAt := time.Now()
	// In a large fleet each node holds only a part of the replicas, which it gets from a
	// reader.
	replicas := !n.reachesStore() && !n.large()
	state, err := n.peers.state(ctx, from, replicas)
	if err != nil {
		n.logger.Info().Str("peer", string(from.ID)).Err(err).Msg("peers: state could not be fetched")
		return
	}
	n.adoptEvacuations(from, requestedAt, state.Evacuations)
	n.applyPeerConfiguration(from, requestedAt, &state)
	if replicas && !n.reachesStore() && len(state.Replicas) > 0 {
		n.adoptList(from, requestedAt, &state)
	}
}

// adoptList replaces this node's list of replicas by that of a peer, if the peer's is newer.
// A list without a position, as nodes of an earlier version send it, is used only while this
// node has none.
func (n *Node) adoptList(from machine.Machine, requestedAt time.Time, state *peerState) {
	n.listPosition.applying.Lock()
	defer n.listPosition.applying.Unlock()
	position, own := state.Position, n.listPosition.current()
	event := n.logger.Info().Str("peer", string(from.ID)).Uint64("position", position).Uint64("own", own).Dur("age", time.Since(requestedAt))
	if own > 0 && position <= own {
		event.Msg("peers: list of replicas not newer")
		return
	}
	changed := 0
	listed := make(map[replica.ID]bool, len(state.Replicas))
	for _, entry := range state.Replicas {
		listed[entry.ID] = true
		if n.replicas.put(entry) {
			changed++
		}
	}
	removed := n.dropUnlisted(listed, n.removeQuietly)
	// The tail is read on behind their removal, so that it would not remove them again.
	for _, id := range state.Unlisted {
		n.replicas.deferRemoval(id, time.Now().Add(removalDeferral))
	}
	n.listPosition.set(position)
	event.Int("listed", len(listed)).Int("unlisted", len(state.Unlisted)).Int("changed", changed).Int("removed", removed).Msg("peers: list of replicas taken over")
}

// applyPeerConfiguration applies a peer's configuration, if it has one, and its freshness
// proof.
func (n *Node) applyPeerConfiguration(from machine.Machine, requestedAt time.Time, state *peerState) {
	if len(state.Configuration) == 0 {
		return
	}
	var raw rawConfiguration
	if err := json.Unmarshal(state.Configuration, &raw); err != nil {
		n.logger.Warn().Str("peer", string(from.ID)).Err(err).Msg("peers: configuration could not be decoded")
		return
	}
	n.applyConfiguration(raw.Key, raw.Value, "peer "+string(from.ID))
	if state.Proven {
		n.recordProof(requestedAt.Add(-time.Duration(state.ProofAgeMS) * time.Millisecond))
	}
}

// observeVersion fetches a peer's configuration or evacuated zones if they are newer than
// this node's.
func (n *Node) observeVersion(from machine.Machine, version, evacuations uint64) {
	n.config.mutex.Lock()
	defer n.config.mutex.Unlock()
	newer := version > n.config.version || evacuations > n.evacuations.version()
	if !newer || n.config.fetching {
		return
	}
	n.config.fetching = true
	n.run(func(ctx context.Context) {
		if n.role() == roleFollower {
			// A follower usually gets it sooner from its reader.
			wait.For(ctx, followerFetchPause)
		}
		callCtx, cancel := context.WithTimeout(ctx, peerStatePeriod)
		defer cancel()
		if version > n.configVersion() || evacuations > n.evacuations.version() {
			n.applyPeerState(callCtx, from)
		}
		n.config.mutex.Lock()
		n.config.fetching = false
		n.config.mutex.Unlock()
	})
}
