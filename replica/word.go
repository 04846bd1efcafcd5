package replica

import (
	"math"
	"time"
)

// Word is what all other nodes have, as a collector told it.
type Word struct {
	// Nodes is how many others it is of, and At when their counts were true.
	Nodes  int
	At     time.Time
	Totals map[ID]Total
}

const (
	// wordLifetime is how long a word counts. Without a newer one the reports of peers
	// tell the loads again.
	wordLifetime = time.Second
	// fullTimes times its slots bounds what is believed to be under way at a replica: it
	// is passed over at that already, and one false word does not mark it for longer.
	fullTimes = 4
	// durationAssumed stands for how long a service's requests take while that is not
	// known, durationWeight is the share of a look in the mean, and durationPeriod the
	// time between two looks.
	durationAssumed = 200 * time.Millisecond
	durationWeight  = 0.3
	durationPeriod  = time.Second
)

// TakeWord takes in what all other nodes have. A replica that it does not name has no
// request of theirs.
func (s *Set) TakeWord(now time.Time, word Word) {
	if s.config.Without.PeerLoads {
		return
	}
	for id, known := range s.byID {
		most := float64(fullTimes * max(1, known.entry.Slots))
		known.others = min(max(0, word.Totals[id].Requests), most)
	}
	s.wordAt, s.wordTaken, s.wordOf = word.At, now, word.Nodes
	s.TakeTotals(now, word.Totals)
}

// worded reports whether a word counts that tells of more nodes than the reports of
// peers do.
func (s *Set) worded(now time.Time) bool {
	return !s.wordTaken.IsZero() && now.Sub(s.wordTaken) <= wordLifetime && s.wordOf > len(s.peers)
}

// viewOfWord sums up a word for the replicas of a service that are weighed. Of the
// requests that it names a part has ended since, as many as its age by their duration.
func (s *Set) viewOfWord(now time.Time, weighed []*member) peerView {
	view := peerView{heard: 1, word: true, still: 1}
	if others := s.nodes - 1; others > 0 {
		view.heard = min(1, float64(s.wordOf)/float64(others))
	}
	if len(weighed) == 0 || view.heard == 0 {
		return view
	}
	if age := now.Sub(s.wordAt); age > 0 {
		view.still = math.Exp(-float64(age) / float64(s.durationOf(weighed[0].entry.Service)))
	}
	seen := 0.0
	for _, one := range weighed {
		seen += one.others
	}
	view.mean = seen / view.heard / float64(len(weighed))
	return view
}

// wordLoad estimates the requests of others at a replica: those named that are still
// there, and as many new ones as the replica and its service let expect.
func (v peerView) wordLoad(one *member) (mean, variance float64) {
	kept := one.others * v.still
	if v.mean == 0 {
		return kept, 0
	}
	rate := (loadShape + one.others) / (loadShape/v.mean + v.heard)
	fresh := (1 - v.heard*v.still) * rate
	return kept + fresh, kept*(1-v.still) + fresh
}

// drawn returns a load that a replica may have by what is known. Nodes that heard the
// same word draw differently, so that not all of them choose the one replica that was
// the emptiest.
func (v peerView) drawn(one *member, draw float64) float64 {
	if !v.word {
		return v.load(one)
	}
	mean, variance := v.wordLoad(one)
	return float64(one.own) + max(0, mean+math.Sqrt(variance)*deviation(draw, one.rank))
}

// deviation returns a number of mean 0 and variance 1 that belongs to a draw and a
// replica.
func deviation(draw float64, rank uint64) float64 {
	const (
		golden   = 0x9e3779b97f4a7c15
		scramble = 0xbf58476d1ce4e5b9
		shift    = 31
		bits     = 53
	)
	mixed := (math.Float64bits(draw) ^ rank) * golden
	mixed = (mixed ^ mixed>>shift) * scramble
	mixed ^= mixed >> shift
	uniform := float64(mixed>>(64-bits)) / (1 << bits)
	return (2*uniform - 1) * math.Sqrt(3)
}

// flow is how this node's requests of a service come and go, from which follows how long
// they take: what is under way in the mean, by how many end in a time.
type flow struct {
	under int
	at    time.Time
	// held is the time that requests were under way since lookedAt, and ended how many
	// ended.
	held     time.Duration
	ended    int
	lookedAt time.Time
	duration time.Duration
}

// step takes in that requests began or ended.
func (f *flow) step(now time.Time, change int) {
	if !f.at.IsZero() && now.After(f.at) {
		f.held += time.Duration(f.under) * now.Sub(f.at)
	}
	f.at = now
	f.under = max(0, f.under+change)
	if change < 0 {
		f.ended -= change
	}
	if f.ended == 0 || now.Sub(f.lookedAt) < durationPeriod {
		return
	}
	mean := f.held / time.Duration(f.ended)
	if f.duration == 0 {
		f.duration = mean
	}
	f.duration += time.Duration(durationWeight * float64(mean-f.duration))
	f.held, f.ended, f.lookedAt = 0, 0, now
}

// noteFlow takes in that a request of a service began or ended.
func (s *Set) noteFlow(now time.Time, service string, change int) {
	found := s.flows[service]
	if found == nil {
		found = &flow{lookedAt: now}
		s.flows[service] = found
	}
	found.step(now, change)
}

// durationOf returns how long a service's requests take.
func (s *Set) durationOf(service string) time.Duration {
	if found := s.flows[service]; found != nil && found.duration > 0 {
		return found.duration
	}
	return durationAssumed
}
