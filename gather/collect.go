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
type word struct {
	at     time.Time
	number uint64
	nodes  int
	age    time.Duration
	counts map[Key]int
	// partial says that there are more.
	partial bool
	paces   map[Key]Pace
	// pacedAt is when the paces were told.
	pacedAt time.Time
}

// wordOf returns the word of a node itself.
func wordOf(now time.Time, own map[replica.ID]replica.Report) word {
	said := word{at: now, nodes: 1, counts: make(map[Key]int, len(own)), paces: make(map[Key]Pace), pacedAt: now}
	for id, report := range own {
		key := KeyOf(id)
		if report.Requests > 0 {
			said.counts[key] = min(report.Requests, maximumRequests)
		}
		if report.Samples > 0 && report.TokenTime > 0 {
			said.paces[key] = Pace{TokenTime: min(report.TokenTime, maximumPace), Samples: min(report.Samples, maximumSamples)}
		}
	}
	return said
}

// ageAt returns how old the counts are at a time.
func (w *word) ageAt(now time.Time) time.Duration { return now.Sub(w.at) + w.age }

// lapse returns when the word counts no longer.
func (w *word) lapse(period time.Duration) time.Time {
	periods := lapsePeriods
	if len(w.counts) == 0 {
		periods *= idlePeriods
	}
	return w.at.Add(time.Duration(periods) * period)
}

// tally is the words of some nodes and their sum.
type tally struct {
	words  map[machine.ID]word
	counts map[Key]int
	nodes  int
}

func newTally() tally { return tally{words: make(map[machine.ID]word), counts: make(map[Key]int)} }

// put takes in a word in place of the sender's last.
func (t *tally) put(from machine.ID, said word) {
	if before, known := t.words[from]; known && said.paces == nil {
		said.paces, said.pacedAt = before.paces, before.pacedAt
	}
	t.drop(from)
	t.words[from] = said
	t.nodes += said.nodes
	for key, count := range said.counts {
		t.counts[key] += count
	}
}

// drop takes a word back.
func (t *tally) drop(from machine.ID) {
	before := t.words[from]
	t.nodes -= before.nodes
	for key, count := range before.counts {
		if t.counts[key] -= count; t.counts[key] <= 0 {
			delete(t.counts, key)
		}
	}
	delete(t.words, from)
}

// expire drops the words that are too old to count.
func (t *tally) expire(now time.Time, period time.Duration) {
	for from, said := range t.words {
		if now.After(said.lapse(period)) {
			t.drop(from)
		}
	}
}

// partial reports whether any sender has more than its word names.
func (t *tally) partial() bool {
	for _, said := range t.words {
		if said.partial {
			return true
		}
	}
	return false
}

// ages returns the sum of the ages of all nodes' counts but one's.
func (t *tally) ages(now time.Time, except machine.ID) (sum time.Duration) {
	for from, said := range t.words {
		if from != except {
			sum += time.Duration(said.nodes) * said.ageAt(now)
		}
	}
	return sum
}

// collecting is what a collector knows: what nodes reported here, and the sums of other
// collectors, which are sent sums in return.
type collecting struct {
	near  tally
	far   tally
	peers map[machine.ID]machine.Machine
	// paces are those of all words, as of pacedAt.
	paces   map[Key]Pace
	pacedAt time.Time
	listing listing
	// toldAt is when sums were sent last, and pacesToldAt when they had paces.
	toldAt      time.Time
	pacesToldAt time.Time
	// toldEmpty says that the last sum was of no node.
	toldEmpty bool
	number    uint64
}

func newCollecting(first uint64) collecting {
	return collecting{near: newTally(), far: newTally(), peers: make(map[machine.ID]machine.Machine), number: first, toldEmpty: true, listing: newListing()}
}

// expire drops what is too old to count.
func (c *collecting) expire(now time.Time, fleet *Fleet) {
	c.near.expire(now, fleet.period())
	c.far.expire(now, fleet.period())
	for id := range c.peers {
		if _, counts := c.far.words[id]; !counts {
			delete(c.peers, id)
		}
	}
}

// fit fits the list of replicas to what they have.
func (c *collecting) fit(now time.Time) {
	if len(c.near.words) > 0 {
		c.listing.fit(now, c.near.counts, c.far.counts)
	}
}

// totalsFor returns what all but one have.
func (c *collecting) totalsFor(now time.Time, except machine.ID, paces bool) *Totals {
	own := c.near.words[except]
	totals := &Totals{Nodes: c.near.nodes + c.far.nodes - own.nodes, At: now, Counts: make(map[Key]int, len(c.near.counts))}
	if totals.Nodes > 0 {
		totals.At = now.Add(-(c.near.ages(now, except) + c.far.ages(now, "")) / time.Duration(totals.Nodes))
	}
	for key, count := range c.near.counts {
		if rest := count - own.counts[key] + c.far.counts[key]; rest > 0 {
			totals.Counts[key] = rest
		}
	}
	for key, count := range c.far.counts {
		if c.near.counts[key] == 0 {
			totals.Counts[key] = count
		}
	}
	totals.Partial = c.near.partial() || c.far.partial()
	if paces {
		totals.Paces = c.pacesOfAll(now)
	}
	return totals
}

// pacesOfAll returns the paces of all words: the median of each replica, so that one
// false word moves it to its neighbour at most.
func (c *collecting) pacesOfAll(now time.Time) map[Key]Pace {
	if c.paces == nil || now.Sub(c.pacedAt) >= pacePeriod/2 {
		c.paces, c.pacedAt = medianPaces(now, c.near.words, c.far.words), now
	}
	return c.paces
}

// pacesLapse is how long a word's paces count.
const pacesLapse = 3 * pacePeriod

// medianPaces returns the weighted median of each replica's paces.
func medianPaces(now time.Time, from ...map[machine.ID]word) map[Key]Pace {
	told := make(map[Key][]Pace)
	for _, words := range from {
		for _, said := range words {
			if now.Sub(said.pacedAt) > pacesLapse {
				continue
			}
			for key, pace := range said.paces {
				pace.Samples = min(pace.Samples, said.nodes*samplesPerNode)
				told[key] = append(told[key], pace)
			}
		}
	}
	medians := make(map[Key]Pace, len(told))
	for key, paces := range told {
		medians[key] = medianOf(paces)
	}
	return medians
}

// medianOf returns the median of some paces by their samples.
func medianOf(paces []Pace) Pace {
	slices.SortFunc(paces, func(left, right Pace) int {
		return cmp.Or(cmp.Compare(left.TokenTime, right.TokenTime), cmp.Compare(left.Samples, right.Samples))
	})
	samples := 0
	for _, pace := range paces {
		samples += pace.Samples
	}
	passed := 0
	for _, pace := range paces {
		if passed += pace.Samples; 2*passed >= samples {
			return Pace{TokenTime: pace.TokenTime, Samples: min(samples, maximumSamples)}
		}
	}
	return Pace{}
}

// collectOwn counts this node's own requests where it is its own collector.
func (c *Core) collectOwn(now time.Time) {
	self := c.fleet.Self.ID
	if c.asking.collector.ID != self {
		return
	}
	c.collects.near.put(self, c.own)
	if now.Sub(c.asking.askedAt) >= c.fleet.period() {
		c.asking.askedAt = now
		c.ready.Totals = c.collects.totalsFor(now, self, true)
	}
}

// answer takes a node's report in and sends it the totals of all others.
func (c *Core) answer(now time.Time, from machine.Machine, message Message) error {
	near := &c.collects.near
	before, known := near.words[from.ID]
	if from.ID == c.fleet.Self.ID || (known && message.Number <= before.number) || (!known && len(near.words) >= maximumNodes) {
		return nil
	}
	said, err := readWord(now, message, maximumRequests)
	if err != nil {
		return err
	}
	said.nodes, said.age = 1, 0
	near.put(from.ID, said)
	totals := c.collects.totalsFor(now, from.ID, message.HasPaces)
	listing := &c.collects.listing
	answer := Message{
		Kind: KindTotals, Number: message.Number, Nodes: totals.Nodes, Age: now.Sub(totals.At),
		List: listing.hash, Counts: listing.pack(totals.Counts), Partial: totals.Partial || listing.partial,
	}
	if message.List != listing.hash {
		answer.Keys = listing.packed
	} else if message.HasPaces {
		answer.HasPaces, answer.Paces = true, packPaces(totals.Paces)
	}
	c.send(from, answer)
	return nil
}

// leave drops the word of a node that reports elsewhere.
func (c *collecting) leave(from machine.ID, number uint64) {
	if number > c.near.words[from].number {
		c.near.drop(from)
	}
}

// takeSum takes in what the nodes have that report to another collector.
func (c *Core) takeSum(now time.Time, from machine.Machine, message Message) error {
	far := &c.collects.far
	before, known := far.words[from.ID]
	if from.ID == c.fleet.Self.ID || (known && message.Number <= before.number) || (!known && len(far.words) >= maximumNodes) {
		return nil
	}
	said, err := readWord(now, message, maximumRequests*maximumNodes)
	if err != nil {
		return err
	}
	c.collects.peers[from.ID] = from
	far.put(from.ID, said)
	return nil
}

// tellSums sends what nodes reported here to the other collectors, if that is due.
func (c *Core) tellSums(now time.Time) {
	held := &c.collects
	// A collector that all have left says so once.
	empty := len(held.near.words) == 0
	if (empty && held.toldEmpty) || now.Sub(held.toldAt) < c.fleet.sumPeriod() {
		return
	}
	held.toldAt, held.toldEmpty = now, empty
	held.number++
	message := Message{Kind: KindSum, Number: held.number, Nodes: held.near.nodes}
	message.Counts, message.Partial = packCounts(held.near.counts)
	message.Partial = message.Partial || held.near.partial()
	message.Age = held.near.ages(now, "") / time.Duration(max(1, held.near.nodes))
	if now.Sub(held.pacesToldAt) >= pacePeriod {
		held.pacesToldAt = now
		message.HasPaces, message.Paces = true, packPaces(medianPaces(now, held.near.words))
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
	for id, peer := range c.collects.peers {
		found[id] = peer
	}
	delete(found, c.fleet.Self.ID)
	return slices.SortedFunc(maps.Values(found), machine.CompareID)
}

// readWord reads what a message says.
func readWord(now time.Time, message Message, bound int) (word, error) {
	counts, err := unpackCounts(message.Counts, bound)
	if err != nil {
		return word{}, err
	}
	said := word{
		at: now, number: message.Number, nodes: min(max(0, message.Nodes), maximumNodes), age: min(max(0, message.Age), maximumAge),
		counts: counts, partial: message.Partial,
	}
	if message.HasPaces {
		said.pacedAt = now
		said.paces, err = unpackPaces(message.Paces)
	}
	return said, err
}
