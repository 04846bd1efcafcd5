package control

import (
	"slices"
	"time"

	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/link"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/partition"
)

// stepMessage passes a peer's message to the part that handles it.
func (c *Core) stepMessage(now time.Time, message link.Message) {
	if message.Settings != nil {
		c.follower.ObserveReport(now, *message.Settings)
	}
	switch {
	case message.Membership != nil:
		c.membership.Step(now, message.From, *message.Membership)
	case message.Partition != nil:
		c.stepPartitionMessage(now, message.From, *message.Partition)
	case message.Sweep != nil:
		c.stepSweep(now, message.From, *message.Sweep)
	case message.Drain:
		c.requestStop(now)
	case message.Load != nil:
		for _, load := range message.Load.Loads {
			c.observeLoad(now, load)
		}
	}
}

// stepPartitionMessage passes the message to this node's mirror store or to the
// partition's replica. New data or an offer of the partition is ignored if the
// placement does not permit this node. A node that held data before the
// placement was narrowed still answers queries and trims, because a new owner
// must read that data.
func (c *Core) stepPartitionMessage(now time.Time, from machine.ID, message partition.Message) {
	addsData := message.Mirror != nil || message.Handover != nil
	if addsData && !c.placement(message.Partition).Contains(c.config.Self.Zone) {
		return
	}
	if message.ForMirror() {
		for _, outbound := range c.mirrors.Step(from, message) {
			c.sendPartition(outbound)
		}
		return
	}
	if message.Handover != nil {
		c.handoverOffered(now, message.Partition)
	}
	owned, ok := c.partitions[message.Partition]
	if ok {
		before, _ := owned.replica.Owner()
		owned.replica.StepMessage(now, from, message)
		after, _ := owned.replica.Owner()
		c.routingChanged = c.routingChanged || before != after
		return
	}
	if answer, ok := partition.AnswerWithoutReplica(message); ok {
		c.sendTo(from, link.Message{Partition: &answer})
	}
}

// handoverOffered records that the previous owner has offered the partition to
// this node.
func (c *Core) handoverOffered(now time.Time, id partition.ID) {
	if c.stopping {
		return
	}
	c.setHint(id, c.config.Self.ID)
	if _, ok := c.partitions[id]; !ok {
		c.openPartition(now, id)
	}
}

// sendPartition sends a message of a replica or mirror store. A message to this
// node itself is dropped.
func (c *Core) sendPartition(outbound partition.Outbound) {
	message := outbound.Message
	c.sendTo(outbound.To, link.Message{Partition: &message})
}

// sendTo sends a message to another node, if its address is known.
func (c *Core) sendTo(to machine.ID, message link.Message) {
	peer, ok := c.membership.Lookup(to)
	if !ok || to == c.config.Self.ID {
		return
	}
	message.From = c.config.Self.ID
	message.To = to
	c.emit(SendMessage{To: peer, Message: message})
}

// stepMachines processes a read of the platform's machine list. If the read
// failed, membership continues with its probes and the last known list.
func (c *Core) stepMachines(now time.Time, event MachinesListed) {
	if event.Err != nil {
		return
	}
	c.membership.Observe(now, event.Machines)
	c.settleList(now, event.Machines)
}

// settleList sets listed once two successive reads of the machine list have
// shown the same nodes, including this one. Only then does this node claim by
// the list: otherwise a node that has just started would claim everything, and
// nodes that start together would claim from each other.
func (c *Core) settleList(now time.Time, listed []machine.Machine) {
	if c.listed {
		return
	}
	var nodes []machine.ID
	for _, entry := range listed {
		if entry.Kind == machine.KindNode {
			nodes = append(nodes, entry.ID)
		}
	}
	slices.Sort(nodes)
	if slices.Contains(nodes, c.config.Self.ID) && slices.Equal(nodes, c.lastListedNodes) {
		c.listed = true
		c.routingChanged = true
		c.reviewPartitions(now)
	}
	c.lastListedNodes = nodes
}

// advanceMembership sends probes and applies changes of the membership view.
func (c *Core) advanceMembership(now time.Time) bool {
	ready := c.membership.Ready()
	for _, outbound := range ready.Messages {
		message := outbound.Message
		report := c.follower.Report(now)
		c.sendTo(outbound.To, link.Message{Membership: &message, Settings: &report})
	}
	if !ready.Changed {
		return false
	}
	c.routingChanged = true
	previous := c.nodes
	c.nodes = presentNodes(c.membership.All())
	c.keepOwnerHints(now, previous)
	c.backendManager.setMachines(now, c.nodes, c.membership.Backends())
	c.setBackends(now)
	c.reviewPartitions(now)
	return true
}

// presentNodes returns the nodes that are not known to be dead. Leaving nodes
// keep that status: they get no new partitions, but still hold those they have
// not handed over.
func presentNodes(known []machine.Machine) []machine.Machine {
	var nodes []machine.Machine
	for _, entry := range known {
		if entry.Kind != machine.KindNode || entry.Status == machine.StatusDead {
			continue
		}
		if entry.Status != machine.StatusLeaving {
			entry.Status = machine.StatusLive
		}
		nodes = append(nodes, entry)
	}
	return nodes
}

// setBackends updates the scheduler's list of back ends.
func (c *Core) setBackends(now time.Time) {
	c.config.Policy.SetBackends(now, c.Backends())
}

// Backends returns the back ends known to this node. Back ends that the root's
// settings list as drained have the status leaving, for every program.
func (c *Core) Backends() []machine.Machine {
	backends := slices.Clone(c.membership.Backends())
	root, err := c.Tree().Resolve(contract.Root)
	for i, backend := range backends {
		if err == nil && slices.Contains(root.DrainedBackends, string(backend.ID)) {
			backends[i].Status = machine.StatusLeaving
		}
	}
	return backends
}

// reviewPartitions opens the partitions that this node should own and passes
// the new view to every replica.
func (c *Core) reviewPartitions(now time.Time) {
	if c.listed && !c.stopping {
		for _, id := range c.knownPartitions {
			c.openIfDesired(now, id)
		}
	}
	for _, owned := range c.sortedPartitions() {
		c.setView(now, owned)
	}
}

func (c *Core) openIfDesired(now time.Time, id partition.ID) {
	if _, open := c.partitions[id]; open {
		return
	}
	if owner, ok := partition.Owner(id, c.placement(id), c.nodes, ""); ok && owner == c.config.Self.ID {
		c.openPartition(now, id)
	}
}

// shouldOwn reports whether this node should own the partition.
func (c *Core) shouldOwn(owned *ownedPartition) bool {
	if c.stopping {
		return false
	}
	owner, ok := partition.Owner(owned.id, c.placement(owned.id), c.nodes, "")
	return ok && owner == c.config.Self.ID
}

// setView passes the live nodes and the placement to a replica. While attempts
// run, a handover is deferred so that they are not interrupted, but not beyond
// drainDeadline.
func (c *Core) setView(now time.Time, owned *ownedPartition) {
	placement := c.placement(owned.id)
	owned.handoverHeld = owned.busy() && (!owned.draining || now.Before(owned.drainDeadline))
	owned.replica.SetView(now, partition.View{
		Placement:     placement,
		Nodes:         c.nodes,
		Stopping:      c.stopping,
		Excluded:      !placement.Contains(c.config.Self.Zone),
		DeferHandover: owned.handoverHeld,
	})
}

// setKnownPartitions recomputes the list of partitions that can hold programs.
func (c *Core) setKnownPartitions(now time.Time) {
	var knownPartitions []partition.ID
	for _, branch := range c.Tree().Branches(contract.Root) {
		resolved, err := c.Tree().Resolve(branch)
		if err != nil || !resolved.Placement.Contains(c.config.Self.Zone) {
			continue
		}
		for index := range c.config.PartitionsPerBranch {
			knownPartitions = append(knownPartitions, partition.ID{Group: partition.GroupOf(string(branch)), Index: index})
		}
	}
	slices.SortFunc(knownPartitions, comparePartitions)
	c.knownPartitions = knownPartitions
	c.reviewPartitions(now)
}
