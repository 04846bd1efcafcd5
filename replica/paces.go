package replica

import (
	"math"
	"slices"
	"time"

	"birchwood.example/birchwood/dispatch"
)

const (
	// paceReported is for how long a turn's pace is told to other nodes: what is older
	// says nothing of now.
	paceReported = 2 * time.Second
	// pacePeriod is the least time between two looks at the paces of a service.
	pacePeriod = 100 * time.Millisecond
	// paceUneven is the factor between the paces of the tenth and the ninth tenth of the
	// replicas from which on they differ materially, and paceEven the one from which on
	// they do not any more: less is within what single turns vary by.
	paceUneven = 1.5
	paceEven   = 1.25
	// paceKnown is the share of a service's replicas whose pace has to be known.
	paceKnown = 0.5
	// paceStay is what the cost at the replica that served the line before counts as: a
	// line that leaves has its prompt read anew, which delays all that are beside, and the
	// lines that come are placed where there is room anyway.
	paceStay = 0.3
	// paceStayBehind is that for a program that is behind its time: it moves where the
	// whole is clearly sooner.
	paceStayBehind = 0.6
	// paceIdle is the share of the slots up to which a replica's load tells how long a
	// prompt takes to be read: beyond it turns wait for those of others.
	paceIdle = 0.5
	// paceDraws is how many replicas are drawn for a turn: the better of two levels the
	// loads as far as they are known, and more than that would send all nodes to the same.
	// Those that lack most of the prompt do not count, up to paceDrawsMost draws.
	paceDraws     = 2
	paceDrawsMost = 6
	// paceHome is the weight of a replica of the node's own zone in a draw.
	paceHome = 2
	// paceCold is that of one that is cold: it bears few requests, and is slow.
	paceCold = 0.2
	// paceLeast is the least load that a share is dealt for: a few turns keep the pace of
	// each replica known, and where the others may not take a turn these do.
	paceLeast = 0.05
	// paceSmooth is the part of a look in the mean of the last loads, which makes it one
	// of about a second, and paceSpare the requests more for each replica that shares
	// are dealt for, so that none is left out on the word of one moment.
	paceSmooth = 0.1
	paceSpare  = 0.3
)

// Sample is what a turn measured of its replica.
type Sample struct {
	// Load is the requests beside it when it was chosen.
	Load int
	// Token is the time of a token, from the first event to the last.
	Token time.Duration
	// Missing is how many tokens of the prompt were missing there, as was expected, and
	// First how long after it was sent the first event came; 0 where that is not known.
	Missing int
	First   time.Duration
}

// paces is how fast the replicas of one service are.
type paces struct {
	at time.Time
	// middle is the median of their tokens' times, and uneven whether they differ
	// materially. fastest and slowest bound all but the outer tenths.
	middle, fastest, slowest float64
	uneven                   bool
	// load is the requests under way of late, all together.
	load float64
	// reading learns how long turns wait for their first event; base and share are what
	// it said at the last look.
	reading     dispatch.Reading
	base, share float64
}

// Observe takes in what a turn of this node measured.
func (s *Set) Observe(now time.Time, id ID, sample Sample) {
	known := s.byID[id]
	if known == nil || sample.Token <= 0 || s.config.Without.Pace {
		return
	}
	alone := float64(sample.Token) / (1 + dispatch.BesideShare*float64(max(0, sample.Load)))
	known.pace.Observe(now, time.Duration(alone))
	s.paced[id] = known
	found := s.servicePaces[known.entry.Service]
	if found == nil || sample.First <= 0 || float64(sample.Load) > paceIdle*float64(known.entry.Slots) {
		return
	}
	found.reading.Observe(now, sample.Missing, sample.First, known.pace.Token(now, time.Duration(found.middle)))
}

// reportPaces adds what this node measured lately.
func (s *Set) reportPaces(now time.Time, reports map[ID]Report) {
	for id, known := range s.paced {
		token, samples := known.pace.Lately(now, paceReported)
		if samples == 0 {
			delete(s.paced, id)
			continue
		}
		report := reports[id]
		report.TokenTime, report.Samples = token, samples
		reports[id] = report
	}
}

// pacesOf returns the paces of a service where they differ materially among the replicas
// that are weighed, else nil.
func (s *Set) pacesOf(now time.Time, service string, weighable []*member) *paces {
	if s.config.Without.Pace {
		return nil
	}
	found := s.servicePaces[service]
	if found == nil {
		found = &paces{}
		s.servicePaces[service] = found
	}
	if found.at.IsZero() || now.Sub(found.at) >= pacePeriod {
		found.look(now, weighable, s.viewAt(now, weighable))
	}
	if !found.uneven {
		return nil
	}
	return found
}

// PaceRange is how fast the replicas of a service are, but for the outer tenths: the time of
// a token with nothing beside.
type PaceRange struct {
	Fastest, Slowest time.Duration
}

// PaceRange returns how fast the replicas of a service are, or false where that is not
// known.
func (s *Set) PaceRange(service string) (PaceRange, bool) {
	found := s.servicePaces[service]
	if found == nil || found.middle == 0 {
		return PaceRange{}, false
	}
	return PaceRange{Fastest: time.Duration(found.fastest), Slowest: time.Duration(found.slowest)}, true
}

// look estimates the paces anew.
func (p *paces) look(now time.Time, members []*member, view peerView) {
	p.at = now
	p.base, p.share = p.reading.Fit()
	tokens := make([]float64, 0, len(members))
	for _, one := range members {
		one.token = 0
		if one.pace.Known() {
			one.token = float64(one.pace.Token(now, time.Duration(p.middle)))
			tokens = append(tokens, one.token)
		}
	}
	if len(tokens) == 0 {
		p.uneven = false
		return
	}
	slices.Sort(tokens)
	p.middle = tokens[len(tokens)/2]
	p.fastest, p.slowest = tokens[len(tokens)/10], tokens[len(tokens)-1-len(tokens)/10]
	enough := float64(len(tokens)) >= paceKnown*float64(len(members))
	defer p.deal(members, view)
	factor := paceUneven
	if p.uneven {
		factor = paceEven
	}
	p.uneven = enough && p.slowest >= factor*p.fastest
}

// tokenAt is the time of a token at a replica, the middle where none is known.
func (p *paces) tokenAt(one *member) float64 {
	if one.token > 0 {
		return one.token
	}
	return p.middle
}

// placeAt describes a replica to a placement.
func (w *weighing) placeAt(one *member) dispatch.Place {
	token := w.paces.tokenAt(one)
	return dispatch.Place{
		Load: w.view.dealt(one), Slots: float64(max(1, one.entry.Slots)),
		Token: token, Read: token * w.paces.share, Missing: float64(w.missing(one)),
		Way: w.paces.base*token + float64(w.aside(one))*w.paces.middle*dispatch.ReadShare,
	}
}

// pacedCost is the cost of a replica in nanoseconds.
func (w *weighing) pacedCost(one *member, place *dispatch.Place) float64 {
	cost := w.job.Cost(place)
	switch {
	case one.entry.ID != w.request.Preferred:
		return cost
	case w.haste() > 0:
		return paceStayBehind * cost
	default:
		return paceStay * cost
	}
}

// drawn returns the best of a few replicas that are drawn by their shares, and of the one
// that served the line before. Nodes that know the same draw differently, and together by
// the shares.
func (w *weighing) drawn(feasible []*member) *member {
	total := 0.0
	shares := slices.Grow(w.set.shares[:0], len(feasible))[:len(feasible)]
	w.set.shares = shares
	var best *member
	for index, one := range feasible {
		shares[index] = w.shareOf(one)
		total += shares[index]
		if one.entry.ID == w.request.Preferred {
			best = one
		}
	}
	cost := math.Inf(1)
	if best != nil {
		place := w.placeAt(best)
		cost = w.pacedCost(best, &place)
	}
	prompt := float64(Tokens(w.request.Prompt))
	for draw, counted := 0, 0; draw < paceDrawsMost && counted < paceDraws; draw++ {
		left := total * scatter(w.request.Draw, draw)
		candidate := feasible[len(feasible)-1]
		for index, one := range feasible {
			if left -= shares[index]; left <= 0 {
				candidate = one
				break
			}
		}
		place := w.placeAt(candidate)
		if candidateCost := w.pacedCost(candidate, &place); best == nil || candidateCost < cost {
			best, cost = candidate, candidateCost
		}
		if place.Missing <= prompt/2 {
			counted++
		}
	}
	return best
}

// haste is how the request takes the fast replicas.
func (w *weighing) haste() int {
	if w.set.config.Without.Slack {
		return 0
	}
	return w.request.Haste
}

// shareOf is a replica's part of the draws: that of a fast one is larger for those that
// go before others, and smaller for those that go after.
func (w *weighing) shareOf(one *member) float64 {
	share := one.share
	if one.entry.Zone == w.set.config.Zone {
		share *= paceHome
	}
	if !w.set.config.Without.Faults {
		share *= math.Exp2(-one.faultsNow(w.now))
	}
	if w.set.coldRate(w.now, one) > 0 {
		share *= paceCold
	}
	switch haste := w.haste(); {
	case haste > 0:
		return share * w.paces.middle / w.paces.tokenAt(one)
	case haste < 0:
		return share * w.paces.tokenAt(one) / w.paces.middle
	default:
		return share
	}
}

// scatter returns a number from 0 to 1 that follows from a draw and an index.
func scatter(draw float64, index int) float64 {
	bits := uint64(draw*(1<<53)) + uint64(index+1)*0x9e3779b97f4a7c15
	bits = (bits ^ bits>>30) * 0xbf58476d1ce4e5b9
	bits = (bits ^ bits>>27) * 0x94d049bb133111eb
	return float64((bits^bits>>31)>>11) / (1 << 53)
}

// predict notes when the answer is expected to be whole.
func (w *weighing) predict(one *member, choice *Choice) {
	if w.paces == nil {
		return
	}
	place := w.placeAt(one)
	choice.Predicted = time.Duration(w.job.End(&place))
	choice.Pace = time.Duration(place.Token)
	choice.Load = int(math.Round(place.Load))
	if one.pace.Known() {
		choice.PaceAge = one.pace.Age(w.now)
	}
}

// dealt estimates the requests at a replica where turns are placed by shares and lines
// stay: for each that has ended since a word another one has come, wherever it was.
func (v *peerView) dealt(one *member) float64 {
	if v.word == nil || v.heard == 0 {
		return v.load(one)
	}
	others, said := v.word.othersAt(one)
	if !said {
		return float64(one.own) + v.mean
	}
	return float64(one.own) + others/v.heard
}

// deal gives each replica its share: of the load that all have together, as much as
// makes one more request cost the same everywhere, up to its room.
func (p *paces) deal(members []*member, view peerView) {
	load := 0.0
	for _, one := range members {
		load += view.dealt(one)
	}
	if p.load == 0 {
		p.load = load
	}
	p.load += paceSmooth * (load - p.load)
	low, high := p.fastest/4, 100*p.slowest
	for range 24 {
		level := math.Sqrt(low * high)
		held := 0.0
		for _, one := range members {
			held += dispatch.Fill(level, p.tokenAt(one), float64(one.entry.Slots))
		}
		if held < p.load+float64(len(members))*paceSpare {
			low = level
		} else {
			high = level
		}
	}
	for _, one := range members {
		token := p.tokenAt(one)
		fill := max(paceLeast, dispatch.Fill(high, token, float64(one.entry.Slots)))
		one.share = fill / (token * (1 + dispatch.BesideShare*fill))
	}
}
