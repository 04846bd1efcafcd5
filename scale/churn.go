package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/partition"
)

// The parts of the busy phase, in hundredths of its duration.
const (
	firstFailure   = 10
	zoneLoss       = 35
	zoneReturn     = 55
	regionCut      = 65
	regionHeal     = 80
	lastEvent      = 90
	settingsPeriod = 5 * time.Second
	// downTime is how long a failed node stays away.
	downTime = 10 * time.Second
	// recoveryTimeout bounds the wait for the next owner.
	recoveryTimeout = time.Minute
	// recoveryPoll is how often a lost partition is asked for.
	recoveryPoll = 50 * time.Millisecond
)

// churn makes the failures happen and measures the recoveries.
type churn struct {
	fleet  *fleet
	random *rand.Rand
	begun  time.Time
	// node and zone are the recoveries after single failures and after the
	// loss of a zone.
	node latencies
	zone latencies
	// unrecovered counts partitions without an owner after recoveryTimeout.
	unrecovered latencies
	// healed is how long after the cut the nodes saw all others again.
	healed  time.Duration
	pending sync.WaitGroup
}

// run goes through the script. Its times are relative to the duration.
func (c *churn) run(ctx context.Context) {
	c.begun = time.Now()
	defer c.pending.Wait()
	if c.fleet.config.Nodes >= c.fleet.config.Zones {
		c.failNodes(ctx)
		c.loseZone(ctx)
	}
	c.cutRegion(ctx)
}

// until waits for a part of the duration and reports whether to go on.
func (c *churn) until(ctx context.Context, percent int) bool {
	at := c.begun.Add(c.fleet.config.Duration * time.Duration(percent) / 100)
	return sleep(ctx, time.Until(at)) == nil
}

// failNodes fails one node after another until the loss of the zone.
func (c *churn) failNodes(ctx context.Context) {
	if !c.until(ctx, firstFailure) {
		return
	}
	limit := c.begun.Add(c.fleet.config.Duration * zoneLoss / 100).Add(-downTime)
	for time.Now().Before(limit) {
		victim := c.fleet.anyLive(c.random)
		c.fail([]*member{victim}, &c.node)
		if sleep(ctx, downTime) != nil {
			return
		}
		c.restart(victim)
	}
}

func (c *churn) restart(victim *member) {
	if err := victim.start(); err != nil {
		c.fleet.config.progress("%s does not start: %v", victim.entry.ID, err)
	}
}

// loseZone fails every node of one zone at once and brings them back.
func (c *churn) loseZone(ctx context.Context) {
	if !c.until(ctx, zoneLoss) {
		return
	}
	lost := c.fleet.world.zones[c.random.IntN(len(c.fleet.world.zones))].Name
	var victims []*member
	for _, joined := range c.fleet.members {
		if joined.entry.Zone == lost {
			victims = append(victims, joined)
		}
	}
	c.fleet.config.progress("zone %s is lost with %d nodes", lost, len(victims))
	c.fail(victims, &c.zone)
	if !c.until(ctx, zoneReturn) {
		return
	}
	for _, victim := range victims {
		c.restart(victim)
	}
}

// cutRegion cuts one region off from the others and heals the cut.
func (c *churn) cutRegion(ctx context.Context) {
	if len(c.fleet.world.regions) < 2 || !c.until(ctx, regionCut) {
		return
	}
	cut := c.fleet.world.regions[c.random.IntN(len(c.fleet.world.regions))]
	c.fleet.config.progress("region %s is cut off", cut)
	c.fleet.network.sever(cut)
	c.until(ctx, regionHeal)
	c.fleet.network.sever("")
	c.fleet.config.progress("region %s is back", cut)
	c.healed = c.fleet.awaitAgreement(ctx, recoveryTimeout)
}

// fail crashes the nodes and measures when each of their partitions is served
// again. A partition that only failed nodes may own waits for their restart
// and is not counted.
func (c *churn) fail(victims []*member, recoveries *latencies) {
	var lost []partition.ID
	for _, victim := range victims {
		lost = append(lost, c.fleet.ownedBy(victim)...)
	}
	at := time.Now()
	for _, victim := range victims {
		victim.kill()
	}
	for _, id := range lost {
		if !c.fleet.hasLiveZone(contract.Path(id.Group.Branch())) {
			continue
		}
		c.pending.Go(func() { c.awaitOwner(id, at, recoveries) })
	}
}

func (c *churn) awaitOwner(id partition.ID, since time.Time, recoveries *latencies) {
	asked := api.ProgramID(fmt.Sprintf("%s.%016x", id, 0))
	random := newRandom(c.fleet.config.Seed, id.String())
	for time.Since(since) < recoveryTimeout {
		if c.fleet.serves(asked, random) {
			recoveries.add(time.Since(since))
			return
		}
		time.Sleep(recoveryPoll)
	}
	c.unrecovered.add(time.Since(since))
	c.fleet.config.progress("%s has no owner after %v", id, recoveryTimeout)
}

// serves reports whether a caller at a random node reaches the owner of the
// program, which answers that there is no such program.
func (f *fleet) serves(id api.ProgramID, random *rand.Rand) bool {
	caller := agent{load: &load{fleet: f}, id: id, random: random}
	ctx, cancel := context.WithTimeout(context.Background(), recoveryTimeout)
	defer cancel()
	reply := caller.try(ctx, control.Request{Operation: control.OperationDescribe, Program: id})
	return reply.Error != nil && reply.Error.Code == api.CodeNotFound
}

// hasLiveZone reports whether a live node may own partitions of the branch.
func (f *fleet) hasLiveZone(branch contract.Path) bool {
	placement := f.world.placementOf(branch)
	return slices.ContainsFunc(f.live(), func(joined *member) bool {
		return placement.Contains(joined.entry.Zone)
	})
}

// changeSettings changes a value of a random branch every few seconds.
func (f *fleet) changeSettings(ctx context.Context) int {
	random := newRandom(f.config.Seed, "settings")
	branches := f.world.branches()
	limit := time.Now().Add(f.config.Duration * lastEvent / 100)
	changes := 0
	for time.Now().Before(limit) {
		priority := random.IntN(10)
		f.makeChange(ctx, fmt.Sprintf("change-%d", changes), branches[random.IntN(len(branches))], priority)
		changes++
		if sleep(ctx, settingsPeriod) != nil {
			break
		}
	}
	return changes
}

func (f *fleet) makeChange(ctx context.Context, id string, branch contract.Path, priority int) {
	revision, err := f.change(ctx, contract.Change{
		ID: "scale-" + id, Actor: "scale", At: time.Now(), Based: f.revision,
		Edits: []contract.Edit{{Path: branch, Values: contract.Values{Priority: &priority}}},
	})
	if err != nil {
		f.config.progress("a settings change failed: %v", err)
		return
	}
	f.revision = revision
	f.spread.accepted(uint64(revision), time.Now())
}
