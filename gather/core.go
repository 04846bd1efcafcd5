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
	minimumReportPeriod = 100 * time.Millisecond
	// periodPerNode times the nodes of a zone is that time in a large zone, so that a
	// collector answers 250 reports a second at most.
	reportPeriodPerNode = 4 * time.Millisecond
	// periodPerZone times the zones is the least time between two sums of a collector.
	sumPeriodPerZone = 20 * time.Millisecond
	// silentReports is how many reports in a row go unanswered before a node takes the
	// next collector, and shunFor how long it leaves the silent one alone. That doubles
	// with each time in a row, maximumDoublings times.
	maximumUnansweredReports = 3
	initialBackoff           = 2 * time.Second
	maximumBackoffDoublings  = 4
	// lapsePeriods is how many periods a word counts: as long as its node waits for a
	// silent collector, so that no word counts at two for longer than one period.
	expiryPeriods = maximumUnansweredReports + 1
	// idlePeriods is how many periods lie between the reports of a node without
	// requests, which only keep what it hears recent.
	idlePeriods = 4
	// pacePeriod is the time between two reports with paces, which change slowly.
	tokenTimePeriod = time.Second
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
func (f *Fleet) enabled() bool { return !f.Off && len(f.Collectors) > 0 }

// period returns the time between two reports.
func (f *Fleet) reportPeriod() time.Duration {
	return max(minimumReportPeriod, time.Duration(f.Near)*reportPeriodPerNode)
}

// sumPeriod returns the time between two sums: half of that between reports, as sums are
// few.
func (f *Fleet) sumPeriod() time.Duration {
	return max(f.reportPeriod()/2, time.Duration(len(f.Remote)+1)*sumPeriodPerZone)
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
	fleet     Fleet
	own       contribution
	reporter  reporter
	aggregate collectorState
	ready     Ready
}

// asking is what this node asks of its collector.
type reporter struct {
	collector        machine.Machine
	number           uint64
	reportedAt       time.Time
	tokenTimesSentAt time.Time
	answered         bool
	unresponsive     int
	// list is the collector's, as heard last.
	list receivedList
	// idle says that the last report named no requests.
	idle bool
	// shunned are collectors that did not answer, until when.
	avoided map[machine.ID]time.Time
	// failed counts how often in a row one did not answer.
	failures map[machine.ID]int
}

// New returns a core. First is the number of the first report, which must not repeat
// those of a former process.
func New(first uint64) *Core {
	return &Core{reporter: reporter{number: first, answered: true, avoided: make(map[machine.ID]time.Time), failures: make(map[machine.ID]int)}, aggregate: newCollectorState(first)}
}

// Ready returns what has accumulated since the last call.
func (c *Core) Ready() Ready {
	ready := c.ready
	c.ready = Ready{}
	return ready
}

// Tick takes in what this node has under way, and performs what is due.
func (c *Core) Tick(now time.Time, fleet Fleet, own map[replica.ID]replica.Report) {
	wasEnabled := c.fleet.enabled()
	c.fleet = fleet
	if !fleet.enabled() {
		if wasEnabled {
			c.aggregate = newCollectorState(c.aggregate.sumNumber)
		}
		return
	}
	c.own = ownContribution(now, own)
	c.aggregate.expire(now, &c.fleet)
	c.chooseCollector(now)
	c.collectOwn(now)
	c.aggregate.updateList(now)
	c.sendReport(now)
	c.sendSums(now)
}

// choose takes the first collector in the ranking that is not shunned.
func (c *Core) chooseCollector(now time.Time) {
	for id, until := range c.reporter.avoided {
		if !now.Before(until) {
			delete(c.reporter.avoided, id)
		}
	}
	maps.DeleteFunc(c.reporter.failures, func(id machine.ID, _ int) bool {
		return !slices.ContainsFunc(c.fleet.Collectors, func(node machine.Machine) bool { return node.ID == id })
	})
	chosen := c.fleet.Collectors[0]
	for _, candidate := range c.fleet.Collectors {
		if _, avoided := c.reporter.avoided[candidate.ID]; !avoided {
			chosen = candidate
			break
		}
	}
	previous := c.reporter.collector
	if chosen.ID == previous.ID {
		c.reporter.collector = chosen
		return
	}
	if previous.ID != "" && previous.ID != c.fleet.Self.ID {
		c.reporter.number++
		c.send(previous, Message{Kind: KindLeave, Number: c.reporter.number})
	}
	c.aggregate.local.remove(c.fleet.Self.ID)
	c.reporter.collector, c.reporter.answered, c.reporter.unresponsive = chosen, true, 0
	c.ready.Changes = append(c.ready.Changes, Change{Collector: chosen.ID})
}

// report tells the collector what this node has, if that is due.
func (c *Core) sendReport(now time.Time) {
	state := &c.reporter
	due := c.fleet.reportPeriod()
	idle := len(c.own.counts) == 0
	if idle && state.idle && state.answered {
		due *= idlePeriods
	}
	if state.collector.ID == c.fleet.Self.ID || now.Sub(state.reportedAt) < due {
		return
	}
	if !state.answered {
		state.unresponsive++
	}
	if state.unresponsive >= maximumUnansweredReports {
		c.avoidCollector(now)
		if state.collector.ID == c.fleet.Self.ID {
			return
		}
	}
	state.number++
	state.reportedAt, state.answered, state.idle = now, false, idle
	message := Message{Kind: KindReport, Number: state.number, Nodes: 1, ListHash: state.list.hash}
	message.Counts, message.Partial = packCounts(c.own.counts)
	if now.Sub(state.tokenTimesSentAt) >= tokenTimePeriod {
		state.tokenTimesSentAt = now
		message.HasTokenTimes, message.Paces = true, packTokenTimes(c.own.tokenTimes)
	}
	c.send(state.collector, message)
}

// shun leaves the silent collector for the next one.
func (c *Core) avoidCollector(now time.Time) {
	unresponsive := c.reporter.collector.ID
	c.reporter.avoided[unresponsive] = now.Add(initialBackoff << min(c.reporter.failures[unresponsive], maximumBackoffDoublings))
	c.reporter.failures[unresponsive]++
	c.ready.Changes = append(c.ready.Changes, Change{Silent: unresponsive})
	c.reporter.unresponsive = 0
	c.chooseCollector(now)
	c.collectOwn(now)
}

// Receive takes in a message of another node.
func (c *Core) Receive(now time.Time, from machine.Machine, message Message) error {
	if !c.fleet.enabled() {
		return nil
	}
	switch message.Kind {
	case KindReport:
		err := c.answer(now, from, message)
		c.sendSums(now)
		return err
	case KindLeave:
		c.aggregate.withdraw(from.ID, message.Number)
	case KindSum:
		return c.receiveSum(now, from, message)
	case KindTotals:
		return c.receiveTotals(now, from.ID, message)
	}
	return nil
}

// takeTotals takes the answer to the newest report in.
func (c *Core) receiveTotals(now time.Time, from machine.ID, message Message) error {
	state := &c.reporter
	if from != state.collector.ID || message.Number != state.number || state.answered {
		return nil
	}
	current, err := state.list.update(&message)
	if err != nil {
		return err
	}
	state.answered, state.unresponsive = true, 0
	delete(state.failures, from)
	if !current {
		return nil
	}
	counts, err := state.list.unpack(message.Counts, maximumRequests*maximumNodes)
	if err != nil {
		return err
	}
	totals := &Totals{
		Nodes: max(0, message.Nodes), Counts: counts, Partial: message.Partial,
		// How long the answer was on its way is not known: not before the question.
		At: state.reportedAt.Add(-min(max(0, message.Age), maximumAge)),
	}
	if message.HasTokenTimes {
		if totals.Paces, err = unpackTokenTimes(message.Paces); err != nil {
			return err
		}
	}
	c.ready.Totals = totals
	return nil
}

func (c *Core) send(to machine.Machine, message Message) {
	c.ready.Messages = append(c.ready.Messages, Outbound{To: to, Message: message})
}
