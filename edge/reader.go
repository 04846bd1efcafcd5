package edge

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/internal/wait"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/replica"
)

// setListAge records the age of the list of replicas.
func (n *Node) setListAge(age time.Duration) {
	n.replicasAsOf.Store(int64(time.Since(n.started) - age))
}

// listAge returns how long ago the list of replicas was equal to that of the store.
func (n *Node) listAge() time.Duration {
	return time.Since(n.started) - time.Duration(n.replicasAsOf.Load())
}

// readerCursor is the position of a node that follows readers.
type readerCursor struct {
	reader      machine.Machine
	readerIndex int
	// incarnation and next are the position in the reader's changes, for this node's part
	// of the list; incarnation 0 requests the whole part.
	incarnation, next uint64
	part              bool
	group             replica.Group
	// uncertain is set if the reader was still reading the list, so that the replicas that
	// this node holds may differ from the whole list.
	uncertain bool
	// failures counts the consecutive requests without an answer.
	failures int
	// servedAt is when a reader last answered.
	servedAt time.Time
}

// nextReader directs the next request to the next reader.
func (r *readerCursor) nextReader() {
	r.readerIndex++
	r.incarnation, r.next = 0, 0
}

// followReaders follows the replicas through readers, for as long as this node's role
// requires it and a reader answers.
func (n *Node) followReaders(ctx context.Context) {
	defer n.following.Store(false)
	cursor := readerCursor{servedAt: time.Now()}
	backoff := n.backoffOf(readerMinimumBackoff, readerMaximumBackoff)
	for ctx.Err() == nil {
		readers := n.readersToFollow()
		if len(readers) == 0 || n.readsStoreItself(&cursor, len(readers)) {
			return
		}
		cursor.reader = readers[cursor.readerIndex%len(readers)]
		cursor.setGroup(n.role() == roleFollower, n.ownGroup())
		request := n.relayRequest(&cursor)
		requestedAt := time.Now()
		answer, err := n.queryReader(ctx, cursor.reader, request)
		if err == nil && answer.Older {
			err = n.leaveOlderList(cursor.reader, requestedAt, &request, &answer)
		}
		if err != nil {
			n.logger.Warn().Str("reader", string(cursor.reader.ID)).Int("failures", cursor.failures).Err(err).Msg("replicas: reader not followed")
			cursor.failures++
			cursor.nextReader()
			if cursor.failures%len(readers) == 0 {
				wait.For(ctx, backoff.Next())
			}
			continue
		}
		backoff.Reset()
		cursor.failures, cursor.servedAt = 0, time.Now()
		n.readerAnswered()
		cursor.advance(&answer, n.replicas.count() > 0)
		n.applyRelay(cursor.reader, requestedAt, request.part, &answer)
		n.logFollowing(cursor.reader)
		if !answer.Partial && answer.age() > maximumListAge && n.switchToFresherReader(ctx, &cursor, readers, answer.age()) {
			cursor.incarnation, cursor.next = 0, 0
		}
	}
}

// olderListError says that a reader's list is older than this node's. Replicas that are gone
// would come back with it.
type olderListError struct{ position, own uint64 }

// Error describes both positions.
func (e *olderListError) Error() string {
	return fmt.Sprintf("its list is at offset %d, this node's at %d", e.position, e.own)
}

// leaveOlderList applies what a reader's answer without a list holds besides, and returns why
// the reader is not followed.
func (n *Node) leaveOlderList(reader machine.Machine, requestedAt time.Time, request *relayRequest, answer *relayAnswer) error {
	n.readerAnswered()
	n.applyRelayedConfiguration(reader, requestedAt, answer)
	return &olderListError{position: answer.Position, own: request.position}
}

// readerAnswered records that a reader answered.
func (n *Node) readerAnswered() { n.readerAnsweredAt.Store(int64(time.Since(n.started))) }

// setGroup sets whether the next request is for a group's part of the list or for all of
// it. A change invalidates the position.
func (r *readerCursor) setGroup(part bool, group replica.Group) {
	if part != r.part || (part && group != r.group) {
		r.incarnation, r.next = 0, 0
	}
	r.part, r.group = part, group
}

// advance updates the position after an answer; held is set if this node held replicas
// before it. After the reader has completed its list, this node requests the whole list
// again if it may hold replicas that are not in it, or if it serves the whole list itself
// and therefore needs certainty that it holds all replicas.
func (r *readerCursor) advance(answer *relayAnswer, held bool) {
	r.incarnation, r.next = answer.ReaderIncarnation, answer.Next
	switch {
	case answer.Partial:
		r.uncertain = r.uncertain || !r.part || (answer.Whole && held)
	case answer.Whole:
		r.uncertain = false
	case r.uncertain:
		r.incarnation, r.next = 0, 0
	}
}

// fetchTotal queries the readers of this zone, and the sources, for the number of replicas.
// A starting node needs it to decide whether to follow them or to read the store. In a
// small fleet that has just started, no node has the number.
func (n *Node) fetchTotal(ctx context.Context) {
	roles := n.roles.Load()
	if roles == nil || !n.settings.uses(FollowReaders) {
		return
	}
	for _, reader := range slices.Concat(roles.Readers, roles.Sources) {
		if n.replicas.total() > 0 {
			return
		}
		if reader.ID == n.self.ID {
			continue
		}
		answer, err := n.queryReader(ctx, reader, relayRequest{ageOnly: true})
		if err == nil {
			n.replicas.setTotal(answer.Total)
		}
	}
}

// readsStoreItself reports whether no reader has answered for so long that this node should
// read the store itself. Followers, of which there are many, wait longer than readers, and
// for a randomly varied time.
func (n *Node) readsStoreItself(cursor *readerCursor, readers int) bool {
	if cursor.failures <= readers {
		return false
	}
	delay := followerFallbackDelay
	if n.role() == roleReader {
		delay = readerFallbackDelay
	}
	return time.Since(cursor.servedAt) > delay+time.Duration(n.draw()*float64(delay))
}

// switchToFresherReader tries two other readers, the next one and a random one, and
// switches to one with a newer list. While the store is down for all nodes there is none,
// and the follower stays with its reader.
func (n *Node) switchToFresherReader(ctx context.Context, cursor *readerCursor, readers []machine.Machine, age time.Duration) bool {
	for _, offset := range []int{1, 1 + int(n.draw()*float64(len(readers)-1))} {
		other := readers[(cursor.readerIndex+offset)%len(readers)]
		answer, err := n.queryReader(ctx, other, relayRequest{ageOnly: true})
		if err == nil && answer.age() < age-maximumListAge/2 {
			n.logger.Info().Str("reader", string(cursor.reader.ID)).Dur("age", age).Str("next", string(other.ID)).
				Dur("its", answer.age()).Msg("replicas: reader's list is old")
			cursor.readerIndex += offset
			return true
		}
	}
	wait.For(ctx, readerMaximumBackoff)
	return false
}

// relayRequest returns the next request to a reader.
func (n *Node) relayRequest(cursor *readerCursor) relayRequest {
	request := relayRequest{incarnation: cursor.incarnation, since: cursor.next, evacuations: n.evacuations.version(), version: n.configVersion(),
		position: n.listPosition.current()}
	request.wait = sourceWait
	if cursor.part {
		request.wait = relayWait
		request.part, request.group = true, cursor.group
	}
	return request
}

func (n *Node) configVersion() uint64 {
	if table := n.routes.Current(); table != nil {
		return table.Version
	}
	return 0
}

// logFollowing logs when this node begins to follow a reader.
func (n *Node) logFollowing(reader machine.Machine) {
	if !n.following.Swap(true) {
		n.logger.Info().Str("reader", string(reader.ID)).Int("replicas", n.replicas.count()).Int("listed", n.replicas.total()).
			Msg("replicas: following a reader")
	}
}

// FollowsReader reports whether this node gets the replicas from another node.
func (n *Node) FollowsReader() bool { return n.following.Load() }

// Replicas returns the number of replicas that the node holds: all, or its part of them.
func (n *Node) Replicas() int { return n.replicas.count() }

// pendingReader is a reader whose first answer this node awaits, and the function that
// cancels the request.
type pendingReader struct {
	id   machine.ID
	stop context.CancelFunc
}

// queryReader requests the changes from a reader. The first answer has a long timeout,
// since it would be sent in vain if the request were given up and repeated, but the request
// is cancelled if the reader fails.
func (n *Node) queryReader(ctx context.Context, reader machine.Machine, request relayRequest) (relayAnswer, error) {
	first := request.incarnation == 0 && !request.ageOnly
	timeout := request.wait + relaySlack
	if first {
		timeout = firstAnswerTimeout
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if first {
		n.pendingReader.Store(&pendingReader{id: reader.ID, stop: cancel})
		defer n.pendingReader.Store(nil)
	}
	var answer relayAnswer
	err := n.peers.client(reader.Address).Do(callCtx, fasthttp.MethodGet, request.path(), nil, &answer)
	return answer, err
}

// bulkLogThreshold is the number of changes in one answer from which on they are logged in
// one line rather than one line each.
const bulkLogThreshold = 16

// applyRelay applies a reader's answer about all replicas, or a part of them.
func (n *Node) applyRelay(reader machine.Machine, requestedAt time.Time, part bool, answer *relayAnswer) {
	n.applyRelayedConfiguration(reader, requestedAt, answer)
	n.replicas.setTotal(answer.Total)
	n.listPosition.applying.Lock()
	defer n.listPosition.applying.Unlock()
	if answer.Whole || len(answer.Changes) >= bulkLogThreshold {
		n.applyList(reader, part, answer)
	} else {
		n.applyChanges(answer.Changes)
	}
	n.listPosition.set(answer.Position)
	n.setListAge(answer.age())
}

// applyChanges applies a small number of changes.
func (n *Node) applyChanges(changes []replica.Change) {
	for _, change := range changes {
		if change.Entry == nil {
			n.removeReplica(change.Gone, "gone from the reader's list")
			continue
		}
		n.putReplica(*change.Entry)
	}
}

// applyList applies a large number of changes, or a whole list.
func (n *Node) applyList(reader machine.Machine, part bool, answer *relayAnswer) {
	listed := make(map[replica.ID]bool, len(answer.Changes))
	changed, removed := 0, 0
	for _, change := range answer.Changes {
		if change.Entry == nil {
			if n.removeQuietly(change.Gone) {
				removed++
			}
			continue
		}
		listed[change.Entry.ID] = true
		if n.replicas.put(*change.Entry) {
			changed++
		}
	}
	if answer.Whole {
		n.holdsAllReplicas.Store(!part && !answer.Partial)
		if !answer.Partial {
			removed += n.dropUnlisted(listed, n.removeQuietly)
		}
		n.syncedReplicas.Store(true)
	}
	n.logList("reader "+string(reader.ID), answer.Position, len(listed), changed, removed)
}

// applyRelayedConfiguration applies a reader's configuration, its freshness proof, and its
// evacuated zones.
func (n *Node) applyRelayedConfiguration(reader machine.Machine, requestedAt time.Time, answer *relayAnswer) {
	if answer.Evacuations != nil {
		n.adoptEvacuations(reader, requestedAt, *answer.Evacuations)
	}
	if raw := answer.Configuration; raw != nil {
		n.applyConfiguration(raw.Key, raw.Value, "reader "+string(reader.ID))
	}
	if n.routes.Current() == nil {
		return
	}
	n.syncedConfiguration.Store(true)
	if answer.Proven {
		n.recordProof(requestedAt.Add(-time.Duration(answer.ProofAgeMS) * time.Millisecond))
	}
}
