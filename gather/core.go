package gather

import (
	"maps"
	"slices"
	"time"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/replica"
)

const (
	// minimumReportPeriod is the minimum time between two reports of a node. It is
	// shorter than the turns and calls whose load is reported.
	minimumReportPeriod = 100 * time.Millisecond
	// reportPeriodPerNode, multiplied by the number of nodes in the zone, is the report
	// period in a large zone. It limits a collector to 250 reports a second.
	reportPeriodPerNode = 4 * time.Millisecond
	// sumPeriodPerZone, multiplied by the number of zones, is the minimum time between
	// two sums of a collector.
	sumPeriodPerZone = 20 * time.Millisecond
	// maximumUnansweredReports is the number of consecutive unanswered reports after
	// which a node switches to the next collector. It avoids the unresponsive one for
	// initialBackoff, which doubles with each consecutive failure, up to
	// maximumBackoffDoublings times.
	maximumUnansweredReports = 3
	initialBackoff           = 2 * time.Second
	maximumBackoffDoublings  = 4
	// expiryPeriods is the number of report periods for which a contribution counts. A
	// node waits as long for an unresponsive collector, so that two collectors count the
	// same report for one period at most.
	expiryPeriods = maximumUnansweredReports + 1
	// idlePeriods is the number of report periods between two reports of a node without
	// requests. Such reports only serve to receive recent totals.
	idlePeriods = 4
	// tokenTimePeriod is the time between two reports with token times, which change
	// slowly.
	tokenTimePeriod = time.Second
	// maximumNodes limits the number of nodes whose contributions a collector stores.
	maximumNodes = 1 << 10
	// maximumAge limits the age that a message may claim for its counts.
	maximumAge = 10 * time.Second
)

// Fleet is a node's current view of the fleet.
type Fleet struct {
	Self machine.Machine
	// Disabled is set in a fleet so small that the failure detector's messages carry
	// every node's load often enough.
	Disabled bool
	// Near is the number of nodes in this node's zone, itself included.
	Near int
	// Collectors are the candidate collectors of this node's zone, in ranking order.
	// PeerCollectors are the first-ranked ones of the other zones.
	Collectors     []machine.Machine
	PeerCollectors []machine.Machine
}

// enabled reports whether nodes exchange loads at all.
func (f *Fleet) enabled() bool { return !f.Disabled && len(f.Collectors) > 0 }

// reportPeriod returns the time between two reports.
func (f *Fleet) reportPeriod() time.Duration {
	return max(minimumReportPeriod, time.Duration(f.Near)*reportPeriodPerNode)
}

// sumPeriod returns the time between two sums. It is half the report period, as there are
// few sums.
func (f *Fleet) sumPeriod() time.Duration {
	return max(f.reportPeriod()/2, time.Duration(len(f.PeerCollectors)+1)*sumPeriodPerZone)
}

// Totals is the known load of all other nodes.
type Totals struct {
	// Nodes is the number of other nodes that the totals cover.
	Nodes int
	// At is the mean time at which the counts were current.
	At     time.Time
	Counts map[Key]int
	// Partial is set if replicas with requests are missing from Counts.
	Partial bool
	// TokenTimes are the median token times over the fleet, or nil if none were received.
	TokenTimes map[Key]TokenTimeEstimate
}

// Change names a collector that this node starts to report to, or one that stopped
// answering (Unresponsive). The other field is empty.
type Change struct {
	Collector    machine.ID
	Unresponsive machine.ID
}

// Ready holds what has accumulated since the last call of Core.Ready.
type Ready struct {
	Messages []Outbound
	// Totals are the latest totals, or nil if there are no new ones.
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

// reporter is the state of this node's reports to its collector.
type reporter struct {
	collector        machine.Machine
	number           uint64
	reportedAt       time.Time
	tokenTimesSentAt time.Time
	// answered is set once the last report has been answered, and unresponsive counts
	// consecutive reports without an answer.
	answered     bool
	unresponsive int
	// list is the replica list last received from the collector.
	list receivedList
	// idle is set if the last report contained no requests.
	idle bool
	// avoided maps each collector that did not answer to the time until which it is not
	// used.
	avoided map[machine.ID]time.Time
	// failures counts the consecutive failures of each collector.
	failures map[machine.ID]int
}

// New returns a core. The first report is numbered first + 1. The numbers must be higher
// than those of an earlier process of this node.
func New(first uint64) *Core {
	return &Core{reporter: reporter{number: first, answered: true, avoided: make(map[machine.ID]time.Time), failures: make(map[machine.ID]int)}, aggregate: newCollectorState(first)}
}

// Ready returns what has accumulated since the last call.
func (c *Core) Ready() Ready {
	ready := c.ready
	c.ready = Ready{}
	return ready
}

// Tick updates this node's own load and performs what is due.
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

// chooseCollector selects the first collector in the ranking that is not avoided, or the
// first one if all are.
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

// sendReport reports this node's load to its collector, if a report is due.
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
		message.HasTokenTimes, message.TokenTimes = true, packTokenTimes(c.own.tokenTimes)
	}
	c.send(state.collector, message)
}

// avoidCollector leaves the unresponsive collector for the next one.
func (c *Core) avoidCollector(now time.Time) {
	unresponsive := c.reporter.collector.ID
	c.reporter.avoided[unresponsive] = now.Add(initialBackoff << min(c.reporter.failures[unresponsive], maximumBackoffDoublings))
	c.reporter.failures[unresponsive]++
	c.ready.Changes = append(c.ready.Changes, Change{Unresponsive: unresponsive})
	c.reporter.unresponsive = 0
	c.chooseCollector(now)
	c.collectOwn(now)
}

// Receive processes a message from another node.
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

// receiveTotals processes the answer to the latest report.
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
		// The transit time of the answer is unknown, but the collector can't have
		// computed it before the report was sent.
		At: state.reportedAt.Add(-min(max(0, message.Age), maximumAge)),
	}
	if message.HasTokenTimes {
		if totals.TokenTimes, err = unpackTokenTimes(message.TokenTimes); err != nil {
			return err
		}
	}
	c.ready.Totals = totals
	return nil
}

func (c *Core) send(to machine.Machine, message Message) {
	c.ready.Messages = append(c.ready.Messages, Outbound{To: to, Message: message})
}
