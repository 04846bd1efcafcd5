package replica

import (
	"math"
	"time"
)

// Word is what all other nodes have, as a collector told it.
type Word struct {
	// Nodes is how many others it is of, and At when their counts were true.
	Nodes int
	At    time.Time
	// Totals are what they have. Partial says that there are replicas with requests that
	// are not among them.
	Totals  map[ID]Total
	Partial bool
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
	// levelSteps bounds the steps in which the level of the emptier replicas is found;
	// each leaves out those that are fuller.
	levelSteps = 8
)

// TakeWord takes in what all other nodes have. A replica that a whole word does not name
// has no request of theirs.
func (s *Set) TakeWord(now time.Time, word Word) {
	if s.config.Without.PeerLoads {
		return
	}
	s.word = heardWord{at: word.At, taken: now, nodes: word.Nodes, partial: word.Partial, number: s.word.number + 1}
	for id, total := range word.Totals {
		if known := s.byID[id]; known != nil {
			most := float64(fullTimes * max(1, known.entry.Slots))
			known.others, known.word = min(max(0, total.Requests), most), s.word.number
		}
	}
	s.TakePaces(now, word.Totals)
}

// heardWord is the last word that was taken in.
type heardWord struct {
	// at is when its counts were true, and taken when it was taken in.
	at      time.Time
	taken   time.Time
	nodes   int
	partial bool
	number  uint64
}

// othersAt returns the requests of others at a replica by the last word, or false where
// it says nothing of the replica.
func (w *heardWord) othersAt(one *member) (requests float64, said bool) {
	if one.word == w.number {
		return one.others, true
	}
	return 0, !w.partial
}

// worded reports whether a recent word counts: one of half of the other nodes at least, or
// of more than the reports of peers, which are older.
func (s *Set) worded(now time.Time) bool {
	if s.word.taken.IsZero() || now.Sub(s.word.taken) > wordLifetime {
		return false
	}
	return 2*s.word.nodes >= s.nodes-1 || s.word.nodes > len(s.peers)
}

// viewOfWord sums up a word for the replicas of a service that are weighed. Of the
// requests that it names a part has ended since, as many as its age by their duration.
func (s *Set) viewOfWord(now time.Time, weighed []*member) peerView {
	view := peerView{heard: 1, word: &s.word, still: 1}
	if others := s.nodes - 1; others > 0 {
		view.heard = min(1, float64(s.word.nodes)/float64(others))
	}
	if len(weighed) == 0 || view.heard == 0 {
		return view
	}
	if age := now.Sub(s.word.at); age > 0 {
		view.still = math.Exp(-float64(age) / float64(s.durationOf(weighed[0].entry.Service)))
	}
	seen, named := 0.0, 0
	for _, one := range weighed {
		if requests, said := s.word.othersAt(one); said {
			seen += requests
			named++
		}
	}
	view.mean = seen / view.heard / float64(max(1, named))
	view.level = view.levelOf(weighed)
	return view
}

// kept returns the requests of others at a replica that a word told of and that have not
// ended since. One that the word says nothing of is taken for one like the others.
func (v *peerView) kept(one *member) float64 {
	others, said := v.word.othersAt(one)
	if !said {
		others = v.mean * v.heard
	}
	return others * v.still
}

// levelOf returns the load up to which the emptier replicas have been filled since the
// word: as many requests are new as ended or were not told of, and the nodes, which all
// heard the same, send them to the replicas that were the emptiest. If each node took the
// word for what is so now, all would send to one replica until the next.
func (v *peerView) levelOf(weighed []*member) float64 {
	fresh := v.mean * float64(len(weighed))
	for _, one := range weighed {
		fresh -= v.kept(one)
	}
	level := v.mean
	for range levelSteps {
		below, sum := 0, fresh
		for _, one := range weighed {
			if kept := v.kept(one); kept <= level {
				below++
				sum += kept
			}
		}
		if below == 0 || sum/float64(below) >= level {
			break
		}
		level = sum / float64(below)
	}
	return level
}

// drawn returns a load that a replica may have by what is known: the new requests are not
// spread evenly. Replicas that were filled to one level differ by it, those the most that
// were the emptiest, so that nodes that heard the same do not all prefer the same of them.
func (v *peerView) drawn(one *member, draw float64) float64 {
	if v.word == nil {
		return v.load(one)
	}
	kept := v.kept(one)
	mean := max(kept, v.level)
	variance := mean - kept*v.still
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
