package coordinator

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/quarantine"
)

// stepQuarantine processes a message of another node about marked requests.
func (c *Core) stepQuarantine(now time.Time, from machine.Machine, message *QuarantineMessage) {
	c.mergeRuns(now, from.ID, message.Runs)
	switch {
	case message.Answer && message.All:
		c.stepSyncAnswer(from.ID, message)
	case message.Answer:
		c.stepQuarantineAnswer(now, from.ID, message)
	case message.All:
		c.sendAllRuns(now, from.ID)
	case message.Number != 0:
		c.ready.QuarantineQueries = append(c.ready.QuarantineQueries, QuarantineQuery{
			From: from, Number: message.Number, Fingerprints: fingerprintsOf(message.Runs), Runs: message.Runs, Replicas: message.Replicas,
		})
	}
}

// sendAllRuns sends the runs of all tracked requests to a node.
func (c *Core) sendAllRuns(now time.Time, to machine.ID) {
	state := &c.quarantine
	c.sendQuarantine(to, QuarantineMessage{Answer: true, All: true, Complete: state.sync.done, Runs: state.table.AllRuns(now)})
}

// fingerprintsOf returns the requests of runs, each once and sorted.
func fingerprintsOf(runs []quarantine.Run) []quarantine.Fingerprint {
	seen := make(map[quarantine.Fingerprint]struct{})
	for _, run := range runs {
		seen[run.Fingerprint] = struct{}{}
	}
	return slices.Sorted(maps.Keys(seen))
}

// stepRunsListed answers a node that announced something of the listed requests. Runs of this
// node that the others do not know are announced to all of them. The answer tells which of the
// requests are shared: the other node may not have seen an answer to them.
func (c *Core) stepRunsListed(now time.Time, listed RunsListed) {
	c.mergeRuns(now, c.self().ID, sharedRuns(listed))
	news := c.quarantine.table.News(listed.Runs)
	c.mergeRuns(now, c.self().ID, news)
	c.announce(news...)
	asked := make(map[quarantine.RunID]struct{})
	for _, run := range listed.Query.Runs {
		asked[run.ID] = struct{}{}
	}
	answer := QuarantineMessage{Number: listed.Query.Number, Answer: true}
	for _, fingerprint := range listed.Query.Fingerprints {
		answer.Runs = append(answer.Runs, c.quarantine.table.Runs(now, fingerprint, asked)...)
	}
	for _, replica := range listed.Query.Replicas {
		answer.Runs = append(answer.Runs, c.quarantine.table.RunningAt(now, replica)...)
	}
	c.sendQuarantine(listed.Query.From.ID, answer)
}

// sharedRuns returns the announced runs of requests that are shared, marked as such.
func sharedRuns(listed RunsListed) (shared []quarantine.Run) {
	for _, run := range listed.Query.Runs {
		if slices.Contains(listed.Shared, run.Fingerprint) {
			run.Shared = true
			shared = append(shared, run)
		}
	}
	return shared
}

// stepQuarantineAnswer notes that a node knows what was announced to it.
func (c *Core) stepQuarantineAnswer(now time.Time, from machine.ID, message *QuarantineMessage) {
	sent := c.quarantine.sent[message.Number]
	if sent == nil {
		return
	}
	delete(sent.unanswered, from)
	c.checkAnnouncement(now, message.Number, sent)
}

// quarantineSync is how far a starting node has got to know the marked requests of the others.
type quarantineSync struct {
	// startedAt is when the nodes were asked; zero before that.
	startedAt time.Time
	askedAt   time.Time
	// unanswered are the nodes that were asked and have not answered, and complete counts the
	// answers of nodes that know all.
	unanswered map[machine.ID]struct{}
	complete   int
	done       bool
}

// completeAnswers is the number of complete answers after which a starting node knows all marked
// requests: one node may have missed the latest.
const completeAnswers = 2

// syncPatience is how long after its start a node waits for the list of nodes, without which it
// can ask none.
const syncPatience = time.Second

// KnowsMarkedRequests reports whether this node knows the marked requests of the other nodes,
// or has waited for them long enough.
func (c *Core) KnowsMarkedRequests(now time.Time) bool {
	return c.quarantine.sync.done || now.Sub(c.startedAt) >= syncPatience
}

// tickSync asks some nodes for all runs, once the list of nodes is known.
func (c *Core) tickSync(now time.Time) {
	sync := &c.quarantine.sync
	if sync.done || !c.listRead {
		return
	}
	if sync.startedAt.IsZero() {
		sync.startedAt, sync.unanswered = now, make(map[machine.ID]struct{})
		for _, peer := range c.randomPeers(syncFanout) {
			sync.unanswered[peer.ID] = struct{}{}
		}
	}
	if len(sync.unanswered) == 0 || now.Sub(sync.startedAt) >= syncTimeout {
		sync.done = true
		return
	}
	if now.Sub(sync.askedAt) < quarantineResendInterval {
		return
	}
	sync.askedAt = now
	for _, id := range slices.Sorted(maps.Keys(sync.unanswered)) {
		if !c.sendQuarantine(id, QuarantineMessage{All: true}) {
			delete(sync.unanswered, id)
		}
	}
}

// stepSyncAnswer notes the answer of a node to the question for all its runs.
func (c *Core) stepSyncAnswer(from machine.ID, message *QuarantineMessage) {
	sync := &c.quarantine.sync
	if _, asked := sync.unanswered[from]; !asked {
		return
	}
	delete(sync.unanswered, from)
	if message.Complete {
		sync.complete++
	}
	if len(sync.unanswered) == 0 || sync.complete >= completeAnswers {
		sync.done = true
	}
}

// welcomeLiveNodes sends all runs to nodes that have become live, since these may have missed
// announcements. Some of the other nodes do, by rank.
func (c *Core) welcomeLiveNodes(now time.Time) {
	state := &c.quarantine
	if state.liveNodes != nil && (state.membershipVersion == c.membership.Version() || now.Sub(state.membersCheckedAt) < c.minRankInterval()) {
		return
	}
	state.membersCheckedAt = now
	first := state.liveNodes == nil
	before := state.liveNodes
	c.noteLostNodes(now)
	state.membershipVersion = c.membership.Version()
	state.liveNodes = make(map[machine.ID]uint64)
	for _, node := range c.membership.Nodes() {
		state.liveNodes[node.ID] = node.Incarnation
		incarnation, wasLive := before[node.ID]
		if first || node.ID == c.self().ID || wasLive && incarnation == node.Incarnation || state.table.Count() == 0 || !c.welcomes(node.ID) {
			continue
		}
		c.sendAllRuns(now, node.ID)
	}
}

// noteLostNodes notes when a node that was live is dead, or has restarted.
func (c *Core) noteLostNodes(now time.Time) {
	state := &c.quarantine
	state.deadNodes = make(map[machine.ID]bool)
	for _, node := range c.membership.All() {
		dead := node.Status == machine.StatusDead
		if dead {
			state.deadNodes[node.ID] = true
		}
		if incarnation, wasLive := state.liveNodes[node.ID]; wasLive && (dead || incarnation != node.Incarnation) {
			state.nodeLostAt = now
		}
	}
}

// welcomes reports whether this node is one of the syncFanout nodes that send their runs to a
// node that has become live.
func (c *Core) welcomes(newcomer machine.ID) bool {
	nodes := c.membership.Nodes()
	if len(nodes) <= syncFanout {
		return true
	}
	ranks := make([]uint64, 0, len(nodes))
	for _, node := range nodes {
		if node.ID != newcomer {
			ranks = append(ranks, welcomeRank(newcomer, node.ID))
		}
	}
	slices.Sort(ranks)
	return welcomeRank(newcomer, c.self().ID) <= ranks[syncFanout-1]
}

// welcomeRank orders the nodes that may welcome a newcomer.
func welcomeRank(newcomer, node machine.ID) uint64 {
	return xxhash.Sum64String(string(newcomer) + "/" + string(node))
}
