package edge

import (
	"context"
	"slices"
	"time"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/machine"
)

// control runs the coordinator's core on one goroutine.
type control struct {
	node  *Node
	core  *coordinator.Core
	inbox chan any
	// pendingReplies are the waiting requests by id. Only the loop uses them.
	pendingReplies map[uint64]chan<- coordinator.Reply
	nextID         uint64
	// pendingRuns are the waiting requests for permission of a run, and pendingReports the
	// reports of runs that are being announced. Only the loop uses them.
	pendingRuns    map[uint64]chan<- coordinator.RunDecided
	pendingReports map[uint64]chan<- struct{}
	// pendingCharges are the waiting charges by id. Only the loop uses them.
	pendingCharges map[uint64]chan<- coordinator.Charged
	// storeReached and liveNodes are the last logged states of the store and of the nodes.
	storeReached bool
	liveNodes    int
	// leased is whether keys were accepted when that was last logged.
	leased bool
	// storedBytes is the last reported size of the partitions in the store, and
	// nextStoredBytes when it is next reported.
	storedBytes     map[int]int
	nextStoredBytes time.Time
}

// inboxSize is the capacity of the control goroutine's inbox.
const inboxSize = 1024

// partitionRequest is a request about a partition from a goroutine of this process.
type partitionRequest struct {
	partition int
	request   coordinator.Request
	answer    chan<- coordinator.Reply
}

// chargeRequest is a client request to be counted.
type chargeRequest struct {
	charge  coordinator.Charge
	timeout time.Duration
	answer  chan<- coordinator.Charged
}

// ownerLookup requests the owner of a partition.
type ownerLookup struct {
	partition int
	answer    chan<- machine.Machine
}

// directoryLookup requests the nodes in this node's list.
type directoryLookup struct {
	answer chan<- nodeList
}

// nodeList is the answer to a directoryLookup. complete is set if the whole list was read.
type nodeList struct {
	nodes    []machine.Machine
	complete bool
}

// peerLookup requests the live peers that reach the store.
type peerLookup struct {
	answer chan<- peerSet
}

// peerSet is the answer to a peerLookup: the peers that reach the store, and the number of
// live nodes, including this one.
type peerSet struct {
	peers []machine.Machine
	live  int
}

func newControl(node *Node, core *coordinator.Core) *control {
	return &control{node: node, core: core, inbox: make(chan any, inboxSize), pendingReplies: make(map[uint64]chan<- coordinator.Reply),
		pendingCharges: make(map[uint64]chan<- coordinator.Charged), pendingRuns: make(map[uint64]chan<- coordinator.RunDecided),
		pendingReports: make(map[uint64]chan<- struct{}), storeReached: true}
}

// post passes an event to the loop. It blocks while the inbox is full.
func (c *control) post(event coordinator.Event) {
	select {
	case c.inbox <- event:
	case <-c.node.ctx.Done():
	}
}

// call has the core answer a request about a partition.
func (c *control) call(ctx context.Context, partition int, request coordinator.Request) (coordinator.Reply, error) {
	answer := make(chan coordinator.Reply, 1)
	return roundTrip(ctx, c, partitionRequest{partition: partition, request: request, answer: answer}, answer)
}

// charge passes a client request to the core to be counted. The request's answer channel
// receives one answer, unless the context ends first.
func (c *control) charge(ctx context.Context, request *charge, timeout time.Duration) {
	select {
	case c.inbox <- chargeRequest{charge: request.request, timeout: timeout, answer: request.answer}:
	case <-ctx.Done():
	}
}

// owner returns the node that serves a partition.
func (c *control) owner(ctx context.Context, partition int) (machine.Machine, error) {
	answer := make(chan machine.Machine, 1)
	return roundTrip(ctx, c, ownerLookup{partition: partition, answer: answer}, answer)
}

// directory returns the nodes in this node's list.
func (c *control) directory(ctx context.Context) (nodeList, error) {
	answer := make(chan nodeList, 1)
	return roundTrip(ctx, c, directoryLookup{answer: answer}, answer)
}

// livePeers returns the live peers that reach the store.
func (c *control) livePeers(ctx context.Context) (peerSet, error) {
	answer := make(chan peerSet, 1)
	return roundTrip(ctx, c, peerLookup{answer: answer}, answer)
}

// roundTrip sends a request to the inbox and waits for its answer.
func roundTrip[A any](ctx context.Context, c *control, request any, answer <-chan A) (A, error) {
	var none A
	select {
	case c.inbox <- request:
	case <-ctx.Done():
		return none, ctx.Err()
	}
	select {
	case found := <-answer:
		return found, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

// loadPeriod is the time between two reports of this node's loads to the core.
const loadPeriod = 100 * time.Millisecond

// storedBytesPeriod is the time between two reports of the size of the partitions in the
// store, each of which iterates over all their records.
const storedBytesPeriod = 5 * time.Second

// loop runs the core until the context ends.
func (c *control) loop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var nextLoads, wakeAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case input := <-c.inbox:
			c.handleInput(input)
		case <-timer.C:
			now := time.Now()
			if !now.Before(nextLoads) {
				nextLoads = now.Add(loadPeriod)
				c.report(now)
			}
			c.core.Step(now, coordinator.Tick{})
			wakeAt = c.core.NextWake(now)
			timer.Reset(time.Until(wakeAt))
		}
		c.performReady()
		if due := c.core.QuarantineWake(time.Now()); !due.IsZero() && due.Before(wakeAt) {
			wakeAt = due
			timer.Reset(time.Until(wakeAt))
		}
	}
}

// report passes this node's own state to the core.
func (c *control) report(now time.Time) {
	loads := coordinator.Loads{Counts: c.node.replicas.ownRequests(), Reports: c.node.replicas.report()}
	loads.Evacuations = c.node.evacuations.version()
	if table := c.node.routes.Current(); table != nil {
		loads.Version = table.Version
		loads.RetainFor = table.MaxRetention()
	}
	c.core.Step(now, loads)
	c.node.liveNodes.Store(int32(c.core.LiveCount()))
	c.node.replicas.setNodes(c.core.LiveCount())
	c.setRoles(c.core.Roles())
	c.cancelLostReader()
	c.node.setIsolated(now, c.core.Isolated(now))
	c.reportStoredBytes(now)
	c.releaseShared(now)
	c.core.Step(now, c.node.contactNow())
	c.logDependencyChanges()
	c.node.logColdTransitions(now)
}

// setRoles sets the nodes' roles. A node that may have to take a partition over from now on
// checks at once whether it reaches the store.
func (c *control) setRoles(roles coordinator.Roles) {
	before := c.node.roles.Swap(&roles)
	if !roles.MayOwnPartition || (before != nil && before.MayOwnPartition) {
		return
	}
	if cancel := c.node.cancelWatch.Load(); cancel != nil {
		(*cancel)()
	}
}

// cancelLostReader cancels the first request to a reader that is no longer live.
func (c *control) cancelLostReader() {
	if pending := c.node.pendingReader.Load(); pending != nil && !c.core.IsLive(pending.id) {
		pending.stop()
	}
}

// reportStoredBytes updates the metrics of the size of the partitions in the store.
func (c *control) reportStoredBytes(now time.Time) {
	if now.Before(c.nextStoredBytes) {
		return
	}
	c.nextStoredBytes = now.Add(storedBytesPeriod)
	storedBytes := c.core.KeptBytes()
	for partition := range c.storedBytes {
		if _, listed := storedBytes[partition]; !listed {
			c.node.metrics.setStoredBytes(partition, 0)
		}
	}
	for partition, bytes := range storedBytes {
		c.node.metrics.setStoredBytes(partition, bytes)
	}
	c.storedBytes = storedBytes
}

// logDependencyChanges logs when the store, the key lease or nodes are lost or regained.
func (c *control) logDependencyChanges() {
	if storeReached := c.node.reachesStore(); storeReached != c.storeReached {
		c.storeReached = storeReached
		entry, message := c.node.logger.Info(), "store: regained"
		if !storeReached {
			entry, message = c.node.logger.Warn(), "store: lost"
		}
		entry.Msg(message)
	}
	if leased := c.node.leased(); c.node.needsProofs() && leased != c.leased {
		c.leased = leased
		age, _ := c.node.freshnessProof.age(time.Now())
		entry, message := c.node.logger.Info(), "keys: lease regained"
		if !leased {
			entry, message = c.node.logger.Warn(), "keys: lease lost"
		}
		entry.Dur("proof", age).Msg(message)
	}
	if liveNodes := c.core.LiveCount(); liveNodes != c.liveNodes {
		c.node.logger.Info().Int("live", liveNodes).Int("before", c.liveNodes).Msg("nodes: changed")
		c.liveNodes = liveNodes
	}
}

// handleInput passes one input to the core.
func (c *control) handleInput(input any) {
	now := time.Now()
	switch input := input.(type) {
	case coordinator.Event:
		c.core.Step(now, input)
		if _, listed := input.(coordinator.NodeListRead); listed {
			// This node's role depends on the list, and decides which nodes it follows.
			c.report(now)
			c.node.markNodeListKnown()
		}
	case partitionRequest:
		c.nextID++
		c.pendingReplies[c.nextID] = input.answer
		c.core.Step(now, coordinator.RequestReceived{ID: c.nextID, Partition: input.partition, Request: input.request})
	case chargeRequest:
		c.nextID++
		c.pendingCharges[c.nextID] = input.answer
		c.core.Step(now, coordinator.ChargeRequested{ID: c.nextID, Charge: input.charge, Timeout: input.timeout})
	case runRequest:
		c.nextID++
		c.pendingRuns[c.nextID] = input.answer
		input.request.ID = c.nextID
		c.core.Step(now, input.request)
	case runReport:
		c.nextID++
		c.pendingReports[c.nextID] = input.announced
		input.report.ID = c.nextID
		c.core.Step(now, input.report)
	case quarantineLookup:
		input.answer <- c.core.Quarantined()
	case ownerLookup:
		owner, _ := c.core.Owner(now, input.partition)
		input.answer <- owner
	case directoryLookup:
		nodes, complete := c.core.Directory()
		input.answer <- nodeList{nodes: slices.Clone(nodes), complete: complete}
	case peerLookup:
		input.answer <- peerSet{peers: c.core.Peers(now), live: c.core.LiveCount()}
	}
}

// performReady carries out the actions that the core has ready.
func (c *control) performReady() {
	ready := c.core.Ready()
	c.applyQuarantine(&ready)
	for _, reply := range ready.Replies {
		if answer, waiting := c.pendingReplies[reply.ID]; waiting {
			delete(c.pendingReplies, reply.ID)
			answer <- reply
		}
	}
	for _, charged := range ready.Charged {
		if answer, waiting := c.pendingCharges[charged.ID]; waiting {
			delete(c.pendingCharges, charged.ID)
			answer <- charged
		}
	}
	for _, message := range ready.Messages {
		c.node.peers.send(message)
	}
	for _, stopped := range ready.Stopped {
		c.node.takeovers.stop(stopped)
	}
	for _, takeover := range ready.Takeovers {
		c.node.takeOver(takeover)
	}
	for _, batch := range ready.Appends {
		c.node.append(batch)
	}
	for _, load := range ready.Loads {
		c.node.replicas.setPeerLoads(load.Node, load.Counts)
		c.node.observeVersion(load.From, load.Version, load.Evacuations)
	}
	c.node.applyTotals(&ready)
	for _, newer := range ready.NewerPeers {
		c.node.observeVersion(newer.From, newer.Version, 0)
	}
	if !ready.FreshAsOf.IsZero() && c.node.settings.uses(ShareProofs) {
		c.node.freshnessProof.record(ready.FreshAsOf)
	}
	for _, change := range ready.Changes {
		c.node.logChange(change)
	}
	for _, collected := range ready.ClaimsCollected {
		c.node.logClaims(collected)
	}
	for _, lost := range ready.TurnsLost {
		c.node.logTurnsLost(lost)
	}
	for _, reconciled := range ready.FormerReconciled {
		c.node.logReconciled(reconciled)
	}
	c.answerClaimQueries(ready.ClaimQueries)
	c.answerQuarantineQueries(ready.QuarantineQueries)
}

// answerClaimQueries lists this node's unsettled turns to the owners that ask for them.
func (c *control) answerClaimQueries(queries []coordinator.ClaimQuery) {
	if len(queries) == 0 {
		return
	}
	now := time.Now()
	for _, query := range queries {
		c.core.Step(now, coordinator.ClaimsListed{Query: query, Claims: c.node.unsettled.claims(now, query.Partition)})
	}
	c.performReady()
}
