package gather

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/replica"
)

// word is what one node, or those that report to one collector, have.
type contribution struct {
	at     time.Time
	number uint64
	nodes  int
	age    time.Duration
	counts map[Key]int
	// partial says that there are more.
	partial    bool
	tokenTimes map[Key]Pace
	// pacedAt is when the paces were told.
	tokenTimesAt time.Time
}

// wordOf returns the word of a node itself.
func ownContribution(now time.Time, own map[replica.ID]replica.Report) contribution {
	entry := contribution{at: now, nodes: 1, counts: make(map[Key]int, len(own)), tokenTimes: make(map[Key]Pace), tokenTimesAt: now}
	for id, report := range own {
		key := KeyOf(id)
		if report.Requests > 0 {
			entry.counts[key] = min(report.Requests, maximumRequests)
		}
		if report.Samples > 0 && report.TokenTime > 0 {
			entry.tokenTimes[key] = Pace{TokenTime: min(report.TokenTime, maximumTokenTime), Samples: min(report.Samples, maximumSamples)}
		}
	}
	return entry
}

// ageAt returns how old the counts are at a time.
func (c *contribution) ageAt(now time.Time) time.Duration { return now.Sub(c.at) + c.age }

// lapse returns when the word counts no longer.
func (c *contribution) expiresAt(period time.Duration) time.Time {
	periods := expiryPeriods
	if len(c.counts) == 0 {
		periods *= idlePeriods
	}
	return c.at.Add(time.Duration(periods) * period)
}

// tally is the words of some nodes and their sum.
type tally struct {
	contributions map[machine.ID]contribution
	counts        map[Key]int
	nodes         int
}

func newTally() tally {
	return tally{contributions: make(map[machine.ID]contribution), counts: make(map[Key]int)}
}

// put takes in a word in place of the sender's last.
func (t *tally) replace(from machine.ID, entry contribution) {
	if previous, known := t.contributions[from]; known && entry.tokenTimes == nil {
		entry.tokenTimes, entry.tokenTimesAt = previous.tokenTimes, previous.tokenTimesAt
	}
	t.remove(from)
	t.contributions[from] = entry
	t.nodes += entry.nodes
	for key, count := range entry.counts {
		t.counts[key] += count
	}
}

// drop takes a word back.
func (t *tally) remove(from machine.ID) {
	previous := t.contributions[from]
	t.nodes -= previous.nodes
	for key, count := range previous.counts {
		if t.counts[key] -= count; t.counts[key] <= 0 {
			delete(t.counts, key)
		}
	}
	delete(t.contributions, from)
}

// expire drops the words that are too old to count.
func (t *tally) expire(now time.Time, period time.Duration) {
	for from, entry := range t.contributions {
		if now.After(entry.expiresAt(period)) {
			t.remove(from)
		}
	}
}

// partial reports whether any sender has more than its word names.
func (t *tally) partial() bool {
	for _, entry := range t.contributions {
		if entry.partial {
			return true
		}
	}
	return false
}

// ages returns the sum of the ages of all nodes' counts but one's.
func (t *tally) ages(now time.Time, except machine.ID) (sum time.Duration) {
	for from, entry := range t.contributions {
		if from != except {
			sum += time.Duration(entry.nodes) * entry.ageAt(now)
		}
	}
	return sum
}

// collecting is what a collector knows: what nodes reported here, and the sums of other
// collectors, which are sent sums in return.
type collectorState struct {
	local  tally
	remote tally
	peers  map[machine.ID]machine.Machine
	// paces are those of all words, as of pacedAt.
	tokenTimes   map[Key]Pace
	tokenTimesAt time.Time
	listing      listing
	// toldAt is when sums were sent last, and pacesToldAt when they had paces.
	sumsSentAt       time.Time
	tokenTimesSentAt time.Time
	// toldEmpty says that the last sum was of no node.
	sentEmpty bool
	sumNumber uint64
}

func newCollectorState(first uint64) collectorState {
	return collectorState{local: newTally(), remote: newTally(), peers: make(map[machine.ID]machine.Machine), sumNumber: first, sentEmpty: true, listing: newListing()}
}

// expire drops what is too old to count.
func (c *collectorState) expire(now time.Time, fleet *Fleet) {
	c.local.expire(now, fleet.reportPeriod())
	c.remote.expire(now, fleet.reportPeriod())
	for id := range c.peers {
		if _, contributes := c.remote.contributions[id]; !contributes {
			delete(c.peers, id)
		}
	}
}

// fit fits the list of replicas to what they have.
func (c *collectorState) updateList(now time.Time) {
	if len(c.local.contributions) > 0 {
		c.listing.updateList(now, c.local.counts, c.remote.counts)
	}
}

// totalsFor returns what all but one have.
func (c *collectorState) totalsExcept(now time.Time, except machine.ID, includeTokenTimes bool) *Totals {
	own := c.local.contributions[except]
	totals := &Totals{Nodes: c.local.nodes + c.remote.nodes - own.nodes, At: now, Counts: make(map[Key]int, len(c.local.counts))}
	if totals.Nodes > 0 {
		totals.At = now.Add(-(c.local.ages(now, except) + c.remote.ages(now, "")) / time.Duration(totals.Nodes))
	}
	for key, count := range c.local.counts {
		if rest := count - own.counts[key] + c.remote.counts[key]; rest > 0 {
			totals.Counts[key] = rest
		}
	}
	for key, count := range c.remote.counts {
		if c.local.counts[key] == 0 {
			totals.Counts[key] = count
		}
	}
	totals.Partial = c.local.partial() || c.remote.partial()
	if includeTokenTimes {
		totals.Paces = c.cachedTokenTimes(now)
	}
	return totals
}

// pacesOfAll returns the paces of all words: the median of each replica, so that one
// false word moves it to its neighbour at most.
func (c *collectorState) cachedTokenTimes(now time.Time) map[Key]Pace {
	if c.tokenTimes == nil || now.Sub(c.tokenTimesAt) >= tokenTimePeriod/2 {
		c.tokenTimes, c.tokenTimesAt = medianTokenTimes(now, c.local.contributions, c.remote.contributions), now
	}
	return c.tokenTimes
}

// pacesLapse is how long a word's paces count.
const tokenTimesExpiry = 3 * tokenTimePeriod

// medianPaces returns the weighted median of each replica's paces.
func medianTokenTimes(now time.Time, from ...map[machine.ID]contribution) map[Key]Pace {
	byKey := make(map[Key][]Pace)
	for _, contributions := range from {
		for _, entry := range contributions {
			if now.Sub(entry.tokenTimesAt) > tokenTimesExpiry {
				continue
			}
			for key, estimate := range entry.tokenTimes {
				estimate.Samples = min(estimate.Samples, entry.nodes*samplesPerNode)
				byKey[key] = append(byKey[key], estimate)
			}
		}
	}
	medians := make(map[Key]Pace, len(byKey))
	for key, tokenTimes := range byKey {
		medians[key] = medianOf(tokenTimes)
	}
	return medians
}

// medianOf returns the median of some paces by their samples.
func medianOf(estimates []Pace) Pace {
	slices.SortFunc(estimates, func(left, right Pace) int {
		return cmp.Or(cmp.Compare(left.TokenTime, right.TokenTime), cmp.Compare(left.Samples, right.Samples))
	})
	samples := 0
	for _, estimate := range estimates {
		samples += estimate.Samples
	}
	cumulative := 0
	for _, estimate := range estimates {
		if cumulative += estimate.Samples; 2*cumulative >= samples {
			return Pace{TokenTime: estimate.TokenTime, Samples: min(samples, maximumSamples)}
		}
	}
	return Pace{}
}

// collectOwn counts this node's own requests where it is its own collector.
func (c *Core) collectOwn(now time.Time) {
	self := c.fleet.Self.ID
	if c.reporter.collector.ID != self {
		return
	}
	c.aggregate.local.replace(self, c.own)
	if now.Sub(c.reporter.reportedAt) >= c.fleet.reportPeriod() {
		c.reporter.reportedAt = now
		c.ready.Totals = c.aggregate.totalsExcept(now, self, true)
	}
}

// answer takes a node's report in and sends it the totals of all others.
func (c *Core) answer(now time.Time, from machine.Machine, message Message) error {
	local := &c.aggregate.local
	previous, known := local.contributions[from.ID]
	if from.ID == c.fleet.Self.ID || (known && message.Number <= previous.number) || (!known && len(local.contributions) >= maximumNodes) {
		return nil
	}
	entry, err := decodeContribution(now, message, maximumRequests)
	if err != nil {
		return err
	}
	entry.nodes, entry.age = 1, 0
	local.replace(from.ID, entry)
	totals := c.aggregate.totalsExcept(now, from.ID, message.HasTokenTimes)
	listing := &c.aggregate.listing
	answer := Message{
		Kind: KindTotals, Number: message.Number, Nodes: totals.Nodes, Age: now.Sub(totals.At),
		ListHash: listing.hash, Counts: listing.pack(totals.Counts), Partial: totals.Partial || listing.partial,
	}
	if message.ListHash != listing.hash {
		answer.Keys = listing.packed
	} else if message.HasTokenTimes {
		answer.HasTokenTimes, answer.Paces = true, packTokenTimes(totals.Paces)
	}
	c.send(from, answer)
	return nil
}

// leave drops the word of a node that reports elsewhere.
func (c *collectorState) withdraw(from machine.ID, number uint64) {
	if number > c.local.contributions[from].number {
		c.local.remove(from)
	}
}

// takeSum takes in what the nodes have that report to another collector.
func (c *Core) receiveSum(now time.Time, from machine.Machine, message Message) error {
	remote := &c.aggregate.remote
	previous, known := remote.contributions[from.ID]
	if from.ID == c.fleet.Self.ID || (known && message.Number <= previous.number) || (!known && len(remote.contributions) >= maximumNodes) {
		return nil
	}
	entry, err := decodeContribution(now, message, maximumRequests*maximumNodes)
	if err != nil {
		return err
	}
	c.aggregate.peers[from.ID] = from
	remote.replace(from.ID, entry)
	return nil
}

// tellSums sends what nodes reported here to the other collectors, if that is due.
func (c *Core) sendSums(now time.Time) {
	collector := &c.aggregate
	// A collector that all have left says so once.
	empty := len(collector.local.contributions) == 0
	if (empty && collector.sentEmpty) || now.Sub(collector.sumsSentAt) < c.fleet.sumPeriod() {
		return
	}
	collector.sumsSentAt, collector.sentEmpty = now, empty
	collector.sumNumber++
	message := Message{Kind: KindSum, Number: collector.sumNumber, Nodes: collector.local.nodes}
	message.Counts, message.Partial = packCounts(collector.local.counts)
	message.Partial = message.Partial || collector.local.partial()
	message.Age = collector.local.ages(now, "") / time.Duration(max(1, collector.local.nodes))
	if now.Sub(collector.tokenTimesSentAt) >= tokenTimePeriod {
		collector.tokenTimesSentAt = now
		message.HasTokenTimes, message.Paces = true, packTokenTimes(medianTokenTimes(now, collector.local.contributions))
	}
	for _, to := range c.collectors() {
		c.send(to, message)
	}
}

// collectors returns the others that collect: those that rank first, and those that
// sent sums lately.
func (c *Core) collectors() []machine.Machine {
	found := map[machine.ID]machine.Machine{c.fleet.Collectors[0].ID: c.fleet.Collectors[0]}
	for _, remote := range c.fleet.Remote {
		found[remote.ID] = remote
	}
	for id, peer := range c.aggregate.peers {
		found[id] = peer
	}
	delete(found, c.fleet.Self.ID)
	return slices.SortedFunc(maps.Values(found), machine.CompareID)
}

// readWord reads what a message says.
func decodeContribution(now time.Time, message Message, maximum int) (contribution, error) {
	counts, err := unpackCounts(message.Counts, maximum)
	if err != nil {
		return contribution{}, err
	}
	entry := contribution{
		at: now, number: message.Number, nodes: min(max(0, message.Nodes), maximumNodes), age: min(max(0, message.Age), maximumAge),
		counts: counts, partial: message.Partial,
	}
	if message.HasTokenTimes {
		entry.tokenTimesAt = now
		entry.tokenTimes, err = unpackTokenTimes(message.Paces)
	}
	return entry, err
}
