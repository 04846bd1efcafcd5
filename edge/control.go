package edge

import (
	"context"
	"slices"
	"time"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/machine"
)

// control drives the coordinator's core on one goroutine.
type control struct {
	node  *Node
	core  *coordinator.Core
	inbox chan any
	// replies are the requests that wait, by id. Only the loop uses them.
	replies map[uint64]chan<- coordinator.Reply
	nextID  uint64
	// charges are the charges that wait, by id. Only the loop uses them.
	charges map[uint64]chan<- coordinator.Charged
	// reached and live are what was noted last of the store and of the nodes.
	reached bool
	live    int
	// leased is whether keys were honoured when that was noted last.
	leased bool
	// kept is what was noted last of the space that partitions take, and nextKept when
	// it is looked at again.
	kept     map[int]int
	nextKept time.Time
}

// inboxSize bounds the inputs that wait for the control goroutine.
const inboxSize = 1024

// question is a request of a goroutine of this process.
type question struct {
	partition int
	request   coordinator.Request
	answer    chan<- coordinator.Reply
}

// chargeQuestion is a request of a client that is to be counted.
type chargeQuestion struct {
	charge   coordinator.Charge
	patience time.Duration
	answer   chan<- coordinator.Charged
}

// lookup asks who owns a partition.
type lookup struct {
	partition int
	answer    chan<- machine.Machine
}

// directoryLookup asks for the nodes that this one knows of.
type directoryLookup struct {
	answer chan<- nodeList
}

// nodeList is the answer to a directoryLookup. Whole says that the list was read.
type nodeList struct {
	nodes []machine.Machine
	whole bool
}

// peerList asks for the live peers that reach the store.
type peerList struct {
	answer chan<- peerCount
}

// peerCount is the answer to a peerList: the peers that reach the store, and
// how many nodes are live, this one included.
type peerCount struct {
	peers []machine.Machine
	live  int
}

func newControl(node *Node, core *coordinator.Core) *control {
	return &control{node: node, core: core, inbox: make(chan any, inboxSize), replies: make(map[uint64]chan<- coordinator.Reply),
		charges: make(map[uint64]chan<- coordinator.Charged), reached: true}
}

// post hands an event to the loop. It blocks while the inbox is full.
func (c *control) post(event coordinator.Event) {
	select {
	case c.inbox <- event:
	case <-c.node.ctx.Done():
	}
}

// ask has the core answer a request about a partition.
func (c *control) ask(ctx context.Context, partition int, request coordinator.Request) (coordinator.Reply, error) {
	answer := make(chan coordinator.Reply, 1)
	return exchange(ctx, c, question{partition: partition, request: request, answer: answer}, answer)
}

// charge asks for a request to be counted. Its answer channel gets one answer, unless
// the context ends first.
func (c *control) charge(ctx context.Context, asked *charge, patience time.Duration) {
	select {
	case c.inbox <- chargeQuestion{charge: asked.asked, patience: patience, answer: asked.answer}:
	case <-ctx.Done():
	}
}

// owner returns the node that serves a partition.
func (c *control) owner(ctx context.Context, partition int) (machine.Machine, error) {
	answer := make(chan machine.Machine, 1)
	return exchange(ctx, c, lookup{partition: partition, answer: answer}, answer)
}

// directory returns the nodes that this one knows of.
func (c *control) directory(ctx context.Context) (nodeList, error) {
	answer := make(chan nodeList, 1)
	return exchange(ctx, c, directoryLookup{answer: answer}, answer)
}

// livePeers returns the live peers that reach the store.
func (c *control) livePeers(ctx context.Context) (peerCount, error) {
	answer := make(chan peerCount, 1)
	return exchange(ctx, c, peerList{answer: answer}, answer)
}

// exchange puts a question into the inbox and waits for its answer.
func exchange[A any](ctx context.Context, c *control, question any, answer <-chan A) (A, error) {
	var none A
	select {
	case c.inbox <- question:
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

// keptPeriod is the time between two looks at the space that partitions take, which
// visits all that they keep.
const keptPeriod = 5 * time.Second

// loop runs the core until the context ends.
func (c *control) loop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var nextLoads time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case input := <-c.inbox:
			c.take(input)
		case <-timer.C:
			now := time.Now()
			if !now.Before(nextLoads) {
				nextLoads = now.Add(loadPeriod)
				c.report(now)
			}
			c.core.Step(now, coordinator.Tick{})
			timer.Reset(time.Until(c.core.NextWake(now)))
		}
		c.perform()
	}
}

// report tells the core what this node knows of itself.
func (c *control) report(now time.Time) {
	loads := coordinator.Loads{Counts: c.node.replicas.own(), Reports: c.node.replicas.report()}
	loads.Evacuations = c.node.evacuations.version()
	if table := c.node.routes.Current(); table != nil {
		loads.Version = table.Version
		loads.RetainFor = table.MaxRetention()
	}
	c.core.Step(now, loads)
	c.node.liveNodes.Store(int32(c.core.LiveCount()))
	c.node.replicas.setNodes(c.core.LiveCount())
	c.noteRoles(c.core.Roles())
	c.endWaitForLostReader()
	c.node.noteIsolation(now, c.core.Isolated(now))
	c.reportKept(now)
	c.core.Step(now, c.node.contactNow())
	c.noteDependencies()
	c.node.noteColdTurns(now)
}

// noteRoles takes in what nodes do for others. A node that may have to take a partition
// over from now on looks at once whether it reaches the store.
func (c *control) noteRoles(roles coordinator.Roles) {
	before := c.node.roles.Swap(&roles)
	if !roles.MayOwnPartition || (before != nil && before.MayOwnPartition) {
		return
	}
	if end := c.node.watching.Load(); end != nil {
		(*end)()
	}
}

// endWaitForLostReader ends the wait for the first answer of a reader that is not live.
func (c *control) endWaitForLostReader() {
	if asked := c.node.askedReader.Load(); asked != nil && !c.core.IsLive(asked.id) {
		asked.end()
	}
}

// reportKept sets the metrics of what partitions take in the store.
func (c *control) reportKept(now time.Time) {
	if now.Before(c.nextKept) {
		return
	}
	c.nextKept = now.Add(keptPeriod)
	kept := c.core.KeptBytes()
	for partition := range c.kept {
		if _, still := kept[partition]; !still {
			c.node.metrics.keptBytes(partition, 0)
		}
	}
	for partition, bytes := range kept {
		c.node.metrics.keptBytes(partition, bytes)
	}
	c.kept = kept
}

// noteDependencies writes when the store or nodes are lost or regained.
func (c *control) noteDependencies() {
	if reached := c.node.reachesStore(); reached != c.reached {
		c.reached = reached
		entry, message := c.node.logger.Info(), "store: regained"
		if !reached {
			entry, message = c.node.logger.Warn(), "store: lost"
		}
		entry.Msg(message)
	}
	if leased := c.node.leased(); c.node.needsProofs() && leased != c.leased {
		c.leased = leased
		age, _ := c.node.proof.age(time.Now())
		entry, message := c.node.logger.Info(), "keys: lease regained"
		if !leased {
			entry, message = c.node.logger.Warn(), "keys: lease lost"
		}
		entry.Dur("proof", age).Msg(message)
	}
	if live := c.core.LiveCount(); live != c.live {
		c.node.logger.Info().Int("live", live).Int("before", c.live).Msg("nodes: changed")
		c.live = live
	}
}

// take passes one input to the core.
func (c *control) take(input any) {
	now := time.Now()
	switch input := input.(type) {
	case coordinator.Event:
		c.core.Step(now, input)
		if _, listed := input.(coordinator.NodeListRead); listed {
			// Whom this node follows hangs on its role.
			c.report(now)
			c.node.noteDirectory()
		}
	case question:
		c.nextID++
		c.replies[c.nextID] = input.answer
		c.core.Step(now, coordinator.RequestReceived{ID: c.nextID, Partition: input.partition, Request: input.request})
	case chargeQuestion:
		c.nextID++
		c.charges[c.nextID] = input.answer
		c.core.Step(now, coordinator.ChargeRequested{ID: c.nextID, Charge: input.charge, Timeout: input.patience})
	case lookup:
		owner, _ := c.core.Owner(now, input.partition)
		input.answer <- owner
	case directoryLookup:
		nodes, whole := c.core.Directory()
		input.answer <- nodeList{nodes: slices.Clone(nodes), whole: whole}
	case peerList:
		input.answer <- peerCount{peers: c.core.Peers(now), live: c.core.LiveCount()}
	}
}

// perform carries out what the core has ready.
func (c *control) perform() {
	ready := c.core.Ready()
	for _, reply := range ready.Replies {
		if answer, waiting := c.replies[reply.ID]; waiting {
			delete(c.replies, reply.ID)
			answer <- reply
		}
	}
	for _, charged := range ready.Charged {
		if answer, waiting := c.charges[charged.ID]; waiting {
			delete(c.charges, charged.ID)
			answer <- charged
		}
	}
	for _, message := range ready.Messages {
		c.node.peers.send(message)
	}
	for _, stopped := range ready.Stopped {
		c.node.takeovers.end(stopped)
	}
	for _, takeover := range ready.Takeovers {
		c.node.takeOver(takeover)
	}
	for _, one := range ready.Appends {
		c.node.append(one)
	}
	for _, load := range ready.Loads {
		c.node.replicas.setPeer(load.Node, load.Counts)
		c.node.hearVersion(load.From, load.Version, load.Evacuations)
	}
	c.node.hearTotals(&ready)
	for _, newer := range ready.NewerPeers {
		c.node.hearVersion(newer.From, newer.Version, 0)
	}
	if !ready.FreshAsOf.IsZero() && c.node.settings.uses(ProvePeers) {
		c.node.proof.note(ready.FreshAsOf)
	}
	for _, change := range ready.Changes {
		c.node.logChange(change)
	}
}
