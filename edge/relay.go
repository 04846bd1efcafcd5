package edge

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/replica"
)

// In a large fleet most nodes follow the replicas through readers: a few nodes of
// their zone that follow the store. Replicas write there all the time, and what
// all nodes would read of that grows with nodes times replicas.
const (
	pathReplicas = "/peer/replicas"
	// relayAbove is the product of nodes and replicas from which on nodes follow
	// readers.
	relayAbove = 40_000
	// relayWait is how long a reader holds an answer that brings no change, and
	// relaySlack how much later the answer may come.
	relayWait  = 700 * time.Millisecond
	relaySlack = 300 * time.Millisecond
	// relayAge is the age of a reader's list from which on it is not followed.
	relayAge = 1300 * time.Millisecond
	// storeTurn is how long a node follows the store that no reader serves.
	storeTurn = 1500 * time.Millisecond
	// maximumRelayWait bounds the wait that another node may ask for.
	maximumRelayWait = 5 * time.Second
)

// relayAnswer is a reader's answer: the changes since the number that was asked
// for, or the whole list.
type relayAnswer struct {
	// Life names the reader's process; numbers of another one mean nothing.
	Life uint64 `json:"life"`
	// Next is the number to ask for next.
	Next    uint64           `json:"next"`
	Whole   bool             `json:"whole,omitempty"`
	Changes []replica.Change `json:"changes,omitempty"`
	// AgeMS is how long ago the reader's list was that of the store, in
	// milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// noteListed notes how old the list of replicas is.
func (n *Node) noteListed(age time.Duration) {
	n.listedAt.Store(int64(time.Since(n.started) - age))
}

// listAge returns how long ago the list of replicas was that of the store.
func (n *Node) listAge() time.Duration {
	return time.Since(n.started) - time.Duration(n.listedAt.Load())
}

// readersToFollow returns the readers that this node follows, or none where it
// follows the store itself.
func (n *Node) readersToFollow() []machine.Machine {
	readers := n.readers.Load()
	if readers == nil || !n.settings.uses(FollowReaders) || int(n.liveNodes.Load())*n.replicas.count() < n.settings.relayAbove() {
		return nil
	}
	for _, reader := range *readers {
		if reader.ID == n.self.ID {
			return nil
		}
	}
	return *readers
}

func (s *Settings) relayAbove() int {
	if s.RelayAbove > 0 {
		return s.RelayAbove
	}
	return relayAbove
}

// followReaders follows the replicas through readers for as long as that is the
// way of this node and one of them serves.
func (n *Node) followReaders(ctx context.Context) {
	defer n.following.Store(false)
	var life, next uint64
	turn, failures := 0, 0
	for ctx.Err() == nil {
		readers := n.readersToFollow()
		if len(readers) == 0 || failures > len(readers) {
			return
		}
		reader := readers[turn%len(readers)]
		answer, err := n.askReader(ctx, reader, life, next)
		if err != nil || time.Duration(answer.AgeMS)*time.Millisecond > relayAge {
			n.logger.Warn().Str("reader", string(reader.ID)).Int64("age", answer.AgeMS).Err(err).Msg("replicas: reader not followed")
			turn++
			failures++
			life, next = 0, 0
			continue
		}
		failures = 0
		life, next = answer.Life, answer.Next
		n.takeRelay(answer)
		n.noteFollowing(reader)
	}
}

// noteFollowing writes when this node begins to follow a reader.
func (n *Node) noteFollowing(reader machine.Machine) {
	if !n.following.Swap(true) {
		n.logger.Info().Str("reader", string(reader.ID)).Msg("replicas: following a reader")
	}
}

// FollowsReader reports whether the node follows the replicas through another.
func (n *Node) FollowsReader() bool { return n.following.Load() }

// askReader asks a reader for what has changed.
func (n *Node) askReader(ctx context.Context, reader machine.Machine, life, since uint64) (relayAnswer, error) {
	callCtx, cancel := context.WithTimeout(ctx, relayWait+relaySlack)
	defer cancel()
	var answer relayAnswer
	path := fmt.Sprintf("%s?life=%d&since=%d&wait=%d", pathReplicas, life, since, relayWait.Milliseconds())
	err := n.peers.client(reader.Address).Do(callCtx, fasthttp.MethodGet, path, nil, &answer)
	return answer, err
}

// takeRelay takes over a reader's answer.
func (n *Node) takeRelay(answer relayAnswer) {
	listed := make(map[replica.ID]bool, len(answer.Changes))
	for _, change := range answer.Changes {
		if change.Entry == nil {
			n.removeReplica(change.Gone, "gone from the reader's list")
			continue
		}
		listed[change.Entry.ID] = true
		n.putReplica(*change.Entry)
	}
	if answer.Whole {
		n.removeUnlisted(listed, "not in the reader's list")
	}
	n.noteListed(time.Duration(answer.AgeMS) * time.Millisecond)
}

// receiveReplicas answers a node that follows this one.
func (p *peers) receiveReplicas(ctx *fasthttp.RequestCtx) {
	query := ctx.QueryArgs()
	life, lifeErr := strconv.ParseUint(string(query.Peek("life")), 10, 64)
	since, sinceErr := strconv.ParseUint(string(query.Peek("since")), 10, 64)
	milliseconds, waitErr := query.GetUint("wait")
	if err := errors.Join(lifeErr, sinceErr, waitErr); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	wait := time.Duration(milliseconds) * time.Millisecond
	node := p.node
	own := node.self.Incarnation
	if life == own {
		node.replicas.await(node.ctx, since, min(wait, maximumRelayWait))
	}
	changes, next, whole := node.replicas.since(since, life == own)
	writeJSON(ctx, relayAnswer{Life: own, Next: next, Whole: whole, Changes: changes, AgeMS: node.listAge().Milliseconds()})
}
