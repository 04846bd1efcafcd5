package gather

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/replica"
)

// contribution is the load last received from one sender: a node's report or another
// collector's sum.
type contribution struct {
	at     time.Time
	number uint64
	nodes  int
	age    time.Duration
	counts map[Key]int
	// partial is set if replicas with requests are missing from counts.
	partial    bool
	tokenTimes map[Key]TokenTimeEstimate
	// tokenTimesAt is when the token times were received.
	tokenTimesAt time.Time
}

// ownContribution returns this node's own contribution.
func ownContribution(now time.Time, own map[replica.ID]replica.Report) contribution {
	entry := contribution{at: now, nodes: 1, counts: make(map[Key]int, len(own)), tokenTimes: make(map[Key]TokenTimeEstimate), tokenTimesAt: now}
	for id, report := range own {
		key := KeyOf(id)
		if report.Requests > 0 {
			entry.counts[key] = min(report.Requests, maximumRequests)
		}
		if report.Samples > 0 && report.TokenTime > 0 {
			entry.tokenTimes[key] = TokenTimeEstimate{TokenTime: min(report.TokenTime, maximumTokenTime), Samples: min(report.Samples, maximumSamples)}
		}
	}
	return entry
}

// ageAt returns the age of the counts at the given time.
func (c *contribution) ageAt(now time.Time) time.Duration { return now.Sub(c.at) + c.age }

// expiresAt returns the time after which the contribution no longer counts.
func (c *contribution) expiresAt(period time.Duration) time.Time {
	periods := expiryPeriods
	if len(c.counts) == 0 {
		periods *= idlePeriods
	}
	return c.at.Add(time.Duration(periods) * period)
}

// tally holds the contributions of a set of senders and their sum.
type tally struct {
	contributions map[machine.ID]contribution
	counts        map[Key]int
	nodes         int
}

func newTally() tally {
	return tally{contributions: make(map[machine.ID]contribution), counts: make(map[Key]int)}
}

// replace stores a contribution in place of the sender's previous one. One without token
// times keeps the previous ones.
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

// remove subtracts and removes a sender's contribution.
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

// expire removes the contributions that are too old to count.
func (t *tally) expire(now time.Time, period time.Duration) {
	for from, entry := range t.contributions {
		if now.After(entry.expiresAt(period)) {
			t.remove(from)
		}
	}
}

// partial reports whether any sender's counts are incomplete.
func (t *tally) partial() bool {
	for _, entry := range t.contributions {
		if entry.partial {
			return true
		}
	}
	return false
}

// ages returns the sum of the ages of the counts over all nodes, except those of the
// given sender.
func (t *tally) ages(now time.Time, except machine.ID) (sum time.Duration) {
	for from, entry := range t.contributions {
		if from != except {
			sum += time.Duration(entry.nodes) * entry.ageAt(now)
		}
	}
	return sum
}

// collectorState is this node's state as a collector: the reports that it received
// (local) and the sums of other collectors (remote). Those collectors (peers) are sent
// sums in return.
type collectorState struct {
	local  tally
	remote tally
	peers  map[machine.ID]machine.Machine
	// tokenTimes are the medians over all contributions as of tokenTimesAt.
	tokenTimes   map[Key]TokenTimeEstimate
	tokenTimesAt time.Time
	listing      listing
	// sumsSentAt is when sums were last sent, and tokenTimesSentAt when they last
	// contained token times.
	sumsSentAt       time.Time
	tokenTimesSentAt time.Time
	// sentEmpty is set if the last sum covered no nodes.
	sentEmpty bool
	sumNumber uint64
}

func newCollectorState(first uint64) collectorState {
	return collectorState{local: newTally(), remote: newTally(), peers: make(map[machine.ID]machine.Machine), sumNumber: first, sentEmpty: true, listing: newListing()}
}

// expire removes the contributions that are too old to count, and the peers left without
// one.
func (c *collectorState) expire(now time.Time, fleet *Fleet) {
	c.local.expire(now, fleet.reportPeriod())
	c.remote.expire(now, fleet.reportPeriod())
	for id := range c.peers {
		if _, contributes := c.remote.contributions[id]; !contributes {
			delete(c.peers, id)
		}
	}
}

// updateList updates the replica list to the current counts.
func (c *collectorState) updateList(now time.Time) {
	if len(c.local.contributions) > 0 {
		c.listing.updateList(now, c.local.counts, c.remote.counts)
	}
}

// totalsExcept returns the totals of all nodes except the given one.
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
		totals.TokenTimes = c.cachedTokenTimes(now)
	}
	return totals
}

// cachedTokenTimes returns the median token time of each replica over all contributions,
// computed at most once per half tokenTimePeriod. With a median, a single false value
// moves the result no further than to a neighbouring value.
func (c *collectorState) cachedTokenTimes(now time.Time) map[Key]TokenTimeEstimate {
	if c.tokenTimes == nil || now.Sub(c.tokenTimesAt) >= tokenTimePeriod/2 {
		c.tokenTimes, c.tokenTimesAt = medianTokenTimes(now, c.local.contributions, c.remote.contributions), now
	}
	return c.tokenTimes
}

// tokenTimesExpiry is how long a contribution's token times count.
const tokenTimesExpiry = 3 * tokenTimePeriod

// medianTokenTimes returns the weighted median of each replica's token times.
func medianTokenTimes(now time.Time, from ...map[machine.ID]contribution) map[Key]TokenTimeEstimate {
	byKey := make(map[Key][]TokenTimeEstimate)
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
	medians := make(map[Key]TokenTimeEstimate, len(byKey))
	for key, tokenTimes := range byKey {
		medians[key] = medianOf(tokenTimes)
	}
	return medians
}

// medianOf returns the median token time, weighted by samples.
func medianOf(estimates []TokenTimeEstimate) TokenTimeEstimate {
	slices.SortFunc(estimates, func(left, right TokenTimeEstimate) int {
		return cmp.Or(cmp.Compare(left.TokenTime, right.TokenTime), cmp.Compare(left.Samples, right.Samples))
	})
	samples := 0
	for _, estimate := range estimates {
		samples += estimate.Samples
	}
	cumulative := 0
	for _, estimate := range estimates {
		if cumulative += estimate.Samples; 2*cumulative >= samples {
			return TokenTimeEstimate{TokenTime: estimate.TokenTime, Samples: min(samples, maximumSamples)}
		}
	}
	return TokenTimeEstimate{}
}

// collectOwn adds this node's own load if it is its own collector.
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

// answer stores a node's report and answers it with the totals of all other nodes.
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
		answer.HasTokenTimes, answer.TokenTimes = true, packTokenTimes(totals.TokenTimes)
	}
	c.send(from, answer)
	return nil
}

// withdraw removes the report of a node that now reports to another collector.
func (c *collectorState) withdraw(from machine.ID, number uint64) {
	if number > c.local.contributions[from].number {
		c.local.remove(from)
	}
}

// receiveSum stores the sum received from another collector.
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

// sendSums sends the sum of the local reports to the other collectors, if it is due.
func (c *Core) sendSums(now time.Time) {
	collector := &c.aggregate
	// A collector that no node reports to any longer sends a single empty sum.
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
		message.HasTokenTimes, message.TokenTimes = true, packTokenTimes(medianTokenTimes(now, collector.local.contributions))
	}
	for _, to := range c.collectors() {
		c.send(to, message)
	}
}

// collectors returns the other collectors: the first-ranked ones, and those whose sums
// still count.
func (c *Core) collectors() []machine.Machine {
	found := map[machine.ID]machine.Machine{c.fleet.Collectors[0].ID: c.fleet.Collectors[0]}
	for _, remote := range c.fleet.PeerCollectors {
		found[remote.ID] = remote
	}
	for id, peer := range c.aggregate.peers {
		found[id] = peer
	}
	delete(found, c.fleet.Self.ID)
	return slices.SortedFunc(maps.Values(found), machine.CompareID)
}

// decodeContribution decodes the contribution in a message. No count exceeds maximum.
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
		entry.tokenTimes, err = unpackTokenTimes(message.TokenTimes)
	}
	return entry, err
}
