package gather

import (
	"maps"
	"slices"
	"time"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/replica"
)

const (
	// periodLeast is the least time between two reports of a node: less than the turns
	// and calls take whose loads are told.
	periodLeast = 100 * time.Millisecond
	// periodPerNode times the nodes of a zone is that time in a large zone, so that a
	// collector answers 250 reports a second at most.
	periodPerNode = 4 * time.Millisecond
	// periodPerZone times the zones is the least time between two sums of a collector.
	periodPerZone = 20 * time.Millisecond
	// silentReports is how many reports in a row go unanswered before a node takes the
	// next collector, and shunFor how long it leaves the silent one alone. That doubles
	// with each time in a row, maximumDoublings times.
	silentReports    = 3
	shunFor          = 2 * time.Second
	maximumDoublings = 4
	// lapsePeriods is how many periods a word counts: as long as its node waits for a
	// silent collector, so that no word counts at two for longer than one period.
	lapsePeriods = silentReports + 1
	// idlePeriods is how many periods lie between the reports of a node without
	// requests, which only keep what it hears recent.
	idlePeriods = 4
	// pacePeriod is the time between two reports with paces, which change slowly.
	pacePeriod = time.Second
	// maximumNodes bounds the nodes whose words a collector keeps.
	maximumNodes = 1 << 10
	// maximumAge bounds how old counts are believed to be.
	maximumAge = 10 * time.Second
)

// Fleet is what a node knows of the others.
type Fleet struct {
	Self machine.Machine
	// Off says that the fleet is so small that its nodes hear each other anyway.
	Off bool
	// Near is how many nodes there are in this node's zone, itself included.
	Near int
	// Collectors rank the collectors of this node's zone, and Remote are the first ones
	// of the other zones.
	Collectors []machine.Machine
	Remote     []machine.Machine
}

// on reports whether nodes exchange anything.
func (f *Fleet) on() bool { return !f.Off && len(f.Collectors) > 0 }

// period returns the time between two reports.
func (f *Fleet) period() time.Duration {
	return max(periodLeast, time.Duration(f.Near)*periodPerNode)
}

// sumPeriod returns the time between two sums: half of that between reports, as sums are
// few.
func (f *Fleet) sumPeriod() time.Duration {
	return max(f.period()/2, time.Duration(len(f.Remote)+1)*periodPerZone)
}

// Totals are what all others have, as far as they were heard.
type Totals struct {
	// Nodes is how many others they are of.
	Nodes int
	// At is when the counts were true in the mean.
	At     time.Time
	Counts map[Key]int
	// Partial says that there are replicas with requests besides those named.
	Partial bool
	// Paces are those of the fleet; nil where none were told.
	Paces map[Key]Pace
}

// Change is a collector that this node takes, or lost (Silent).
type Change struct {
	Collector machine.ID
	Silent    machine.ID
}

// Ready is what accumulated since the last call.
type Ready struct {
	Messages []Outbound
	// Totals are the newest, or nil.
	Totals  *Totals
	Changes []Change
}

// Core is one node's part in the exchange. It is not safe for concurrent use.
type Core struct {
	fleet    Fleet
	own      word
	asking   asking
	collects collecting
	ready    Ready
}

// asking is what this node asks of its collector.
type asking struct {
	collector machine.Machine
	number    uint64
	askedAt   time.Time
	pacesAt   time.Time
	answered  bool
	silent    int
	// list is the collector's, as heard last.
	list heardList
	// idle says that the last report named no requests.
	idle bool
	// shunned are collectors that did not answer, until when.
	shunned map[machine.ID]time.Time
	// failed counts how often in a row one did not answer.
	failed map[machine.ID]int
}

// New returns a core. First is the number of the first report, which must not repeat
// those of a former process.
func New(first uint64) *Core {
	return &Core{asking: asking{number: first, answered: true, shunned: make(map[machine.ID]time.Time), failed: make(map[machine.ID]int)}, collects: newCollecting(first)}
}

// Ready returns what has accumulated since the last call.
func (c *Core) Ready() Ready {
	ready := c.ready
	c.ready = Ready{}
	return ready
}

// Tick takes in what this node has under way, and performs what is due.
func (c *Core) Tick(now time.Time, fleet Fleet, own map[replica.ID]replica.Report) {
	was := c.fleet.on()
	c.fleet = fleet
	if !fleet.on() {
		if was {
			c.collects = newCollecting(c.collects.number)
		}
		return
	}
	c.own = wordOf(now, own)
	c.collects.expire(now, &c.fleet)
	c.choose(now)
	c.collectOwn(now)
	c.collects.fit(now)
	c.report(now)
	c.tellSums(now)
}

// choose takes the first collector in the ranking that is not shunned.
func (c *Core) choose(now time.Time) {
	for id, until := range c.asking.shunned {
		if !now.Before(until) {
			delete(c.asking.shunned, id)
		}
	}
	maps.DeleteFunc(c.asking.failed, func(id machine.ID, _ int) bool {
		return !slices.ContainsFunc(c.fleet.Collectors, func(node machine.Machine) bool { return node.ID == id })
	})
	chosen := c.fleet.Collectors[0]
	for _, candidate := range c.fleet.Collectors {
		if _, shunned := c.asking.shunned[candidate.ID]; !shunned {
			chosen = candidate
			break
		}
	}
	before := c.asking.collector
	if chosen.ID == before.ID {
		c.asking.collector = chosen
		return
	}
	if before.ID != "" && before.ID != c.fleet.Self.ID {
		c.asking.number++
		c.send(before, Message{Kind: KindLeave, Number: c.asking.number})
	}
	c.collects.near.drop(c.fleet.Self.ID)
	c.asking.collector, c.asking.answered, c.asking.silent = chosen, true, 0
	c.ready.Changes = append(c.ready.Changes, Change{Collector: chosen.ID})
}

// report tells the collector what this node has, if that is due.
func (c *Core) report(now time.Time) {
	asked := &c.asking
	due := c.fleet.period()
	idle := len(c.own.counts) == 0
	if idle && asked.idle && asked.answered {
		due *= idlePeriods
	}
	if asked.collector.ID == c.fleet.Self.ID || now.Sub(asked.askedAt) < due {
		return
	}
	if !asked.answered {
		asked.silent++
	}
	if asked.silent >= silentReports {
		c.shun(now)
		if asked.collector.ID == c.fleet.Self.ID {
			return
		}
	}
	asked.number++
	asked.askedAt, asked.answered, asked.idle = now, false, idle
	message := Message{Kind: KindReport, Number: asked.number, Nodes: 1, List: asked.list.hash}
	message.Counts, message.Partial = packCounts(c.own.counts)
	if now.Sub(asked.pacesAt) >= pacePeriod {
		asked.pacesAt = now
		message.HasPaces, message.Paces = true, packPaces(c.own.paces)
	}
	c.send(asked.collector, message)
}

// shun leaves the silent collector for the next one.
func (c *Core) shun(now time.Time) {
	silent := c.asking.collector.ID
	c.asking.shunned[silent] = now.Add(shunFor << min(c.asking.failed[silent], maximumDoublings))
	c.asking.failed[silent]++
	c.ready.Changes = append(c.ready.Changes, Change{Silent: silent})
	c.asking.silent = 0
	c.choose(now)
	c.collectOwn(now)
}

// Receive takes in a message of another node.
func (c *Core) Receive(now time.Time, from machine.Machine, message Message) error {
	if !c.fleet.on() {
		return nil
	}
	switch message.Kind {
	case KindReport:
		err := c.answer(now, from, message)
		c.tellSums(now)
		return err
	case KindLeave:
		c.collects.leave(from.ID, message.Number)
	case KindSum:
		return c.takeSum(now, from, message)
	case KindTotals:
		return c.takeTotals(now, from.ID, message)
	}
	return nil
}

// takeTotals takes the answer to the newest report in.
func (c *Core) takeTotals(now time.Time, from machine.ID, message Message) error {
	asked := &c.asking
	if from != asked.collector.ID || message.Number != asked.number || asked.answered {
		return nil
	}
	held, err := asked.list.take(&message)
	if err != nil {
		return err
	}
	asked.answered, asked.silent = true, 0
	delete(asked.failed, from)
	if !held {
		return nil
	}
	counts, err := asked.list.unpack(message.Counts, maximumRequests*maximumNodes)
	if err != nil {
		return err
	}
	totals := &Totals{
		Nodes: max(0, message.Nodes), Counts: counts, Partial: message.Partial,
		// How long the answer was on its way is not known: not before the question.
		At: asked.askedAt.Add(-min(max(0, message.Age), maximumAge)),
	}
	if message.HasPaces {
		if totals.Paces, err = unpackPaces(message.Paces); err != nil {
			return err
		}
	}
	c.ready.Totals = totals
	return nil
}

func (c *Core) send(to machine.Machine, message Message) {
	c.ready.Messages = append(c.ready.Messages, Outbound{To: to, Message: message})
}
