package replica

import (
	"errors"
	"math"
	"slices"
	"time"

	"birchwood.example/birchwood/dispatch"
	"birchwood.example/birchwood/zone"
)

// Request is what a choice weighs.
type Request struct {
	Service string
	// Program names the program that a prompt belongs to; "" for other services.
	Program string
	// Prompt is the parts of a prompt, in order; empty for other services.
	Prompt []Part
	// Preferred is the replica that served the line of turns before, or "".
	Preferred ID
	// PreferredKept is how many tokens of the prompt that replica keeps; 0 where only
	// the last part is taken for new.
	PreferredKept int
	// Only is the one replica that may run the request again, or "". It counts
	// for as long as the replica is known.
	Only ID
	// Homes bounds the zones in which a replica may get the request.
	Homes zone.Homes
	// Expected is how many tokens the answer is expected to have; 0 where that is not
	// known.
	Expected int
	// Haste is how the request takes the fast replicas: 1 before others, 0 as its share,
	// -1 after others.
	Haste int
	// Excluded are the replicas that were tried.
	Excluded []ID
	// Warm passes over cold replicas.
	Warm bool
	// PerNode bounds this node's requests at one replica; 0 sets no bound.
	PerNode int
	// Connected reports whether a kept connection to the replica is free; nil
	// where that does not matter.
	Connected func(Entry) bool
	// Draw is a uniform number from 0 to 1 that breaks ties, so that nodes that
	// know the same do not all choose the same.
	Draw float64
}

// The reasons for which no replica is chosen. All mean that nothing was sent.
var (
	// ErrNoReplica says that no replica of the service is ready.
	ErrNoReplica = errors.New("no replica of the service is ready")
	// ErrOutside says that no replica of the service is ready where the request may go.
	ErrOutside = errors.New("no replica of the service is ready in a region that the request may reach")
	// ErrEvacuated says that all that could serve is in evacuated zones.
	ErrEvacuated = errors.New("the zones of all replicas that could serve are evacuated")
	// ErrSaturated says that every ready replica has all the requests it may.
	ErrSaturated = errors.New("every replica of the service is full")
	// ErrColdRate says that every ready replica that is not full is cold, and at its
	// rate.
	ErrColdRate = errors.New("every replica of the service is cold and at its rate")
)

// Choice is the replica chosen for a request.
type Choice struct {
	Entry Entry
	// Missing is the prefill that is expected there, in tokens.
	Missing int
	// Load is how many requests of all nodes were known there.
	Load int
	// Predicted is how long the answer was expected to take, and Pace the time of a token
	// there with nothing beside, which was measured PaceAge ago; 0 where paces had no part.
	Predicted time.Duration
	Pace      time.Duration
	PaceAge   time.Duration
	// Feasible is how many replicas could have been chosen.
	Feasible int
	// Left says that the replica which served the line before is in an evacuated zone,
	// and that the request goes elsewhere because of it.
	Left bool
	// ColdRate is how many requests a second the replica bears; 0 unless it is cold
	// and its service has such a rate.
	ColdRate float64
}

// Select picks a replica for the request: feasible, rank, select. Of a large service a
// window of replicas is weighed, which grows while all in it are full.
func (s *Set) Select(now time.Time, request *Request) (Choice, error) {
	for {
		weighed := s.weighable(now, request)
		choice, err := s.selectFrom(now, request, weighed)
		full := err != nil || choice.Load >= max(1, choice.Entry.Slots)
		if !full || !s.widen(request.Service, len(weighed)) {
			return choice, err
		}
	}
}

// selectFrom picks one of some replicas.
func (s *Set) selectFrom(now time.Time, request *Request, weighable []*member) (Choice, error) {
	feasible, lacking := s.feasible(now, request, weighable)
	if len(feasible) == 0 {
		if lacking != nil {
			return Choice{}, lacking
		}
		return Choice{}, s.absence(now, request)
	}
	weighed := s.weigh(now, request, weighable)
	if weighed.paces != nil {
		best := weighed.drawn(feasible)
		return weighed.choice(best, len(feasible)), nil
	}
	start := int(request.Draw * float64(len(feasible)))
	best := feasible[start]
	bestCost := weighed.cost(best)
	for step := 1; step < len(feasible); step++ {
		candidate := feasible[(start+step)%len(feasible)]
		if cost := weighed.cost(candidate); cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	return weighed.choice(best, len(feasible)), nil
}

// choice describes what was chosen of so many.
func (w *weighing) choice(best *member, feasible int) Choice {
	choice := Choice{
		Entry:    best.entry,
		Missing:  w.missing(best),
		Load:     int(math.Round(w.view.load(best))),
		Feasible: feasible,
		Left:     w.set.left(w.now, w.request),
		ColdRate: w.set.coldRate(w.now, best),
	}
	w.predict(best, &choice)
	return choice
}

// feasible returns the replicas that may take the request, of those to be weighed: those
// that answered well lately, or the suspect ones where there are no others. Where there
// are none at all that has room, lacking tells what it lacks; nil where no replica may
// take the request at all.
func (s *Set) feasible(now time.Time, request *Request, weighable []*member) (list []*member, lacking error) {
	if known := s.byID[request.Only]; known != nil {
		if s.mayTake(now, request, known) != nil {
			return nil, nil
		}
		if s.atColdRate(now, known) {
			return nil, ErrColdRate
		}
		return []*member{known}, nil
	}
	list = make([]*member, 0, len(weighable))
	var suspects []*member
	for _, one := range weighable {
		if s.mayTake(now, request, one) != nil || slices.Contains(request.Excluded, one.entry.ID) {
			continue
		}
		if request.PerNode > 0 && one.own >= request.PerNode {
			lacking = ErrSaturated
			continue
		}
		if s.atColdRate(now, one) || (request.Warm && s.coldRate(now, one) > 0) {
			lacking = ErrColdRate
			continue
		}
		if now.Before(one.suspectUntil) && !s.config.Without.Suspicion {
			suspects = append(suspects, one)
			continue
		}
		list = append(list, one)
	}
	if len(list) == 0 {
		list = suspects
	}
	return list, lacking
}

// mayServe reports whether a replica may get new requests: it is listed as ready,
// or was lately and may live.
func (m *member) mayServe(now time.Time) bool {
	over := !m.doubtedUntil.IsZero() && !now.Before(m.doubtedUntil)
	return m.entry.Status == StatusReady && !over
}

// The weights of a cost, in tokens of prefill.
const (
	// besideTokens is what one request beside costs while there are places
	// free: it slows every step of the batch a little. A larger weight has
	// lines of turns leave the replica that keeps their prompts; under load
	// the prefill that this costs adds to the load.
	besideTokens = 100
	// queuedTokens is what waiting for one place costs, per request that is
	// over the slots, divided by the slots.
	queuedTokens = 20000
	// missingWeight is how much prefill costs beyond the request's own wait:
	// all requests of the batch wait for it.
	missingWeight = 2
	// elsewhereTokens is what another zone costs: the way, and its price.
	elsewhereTokens = 600
	// regionTokens is what another region costs beyond that: the ways there and back,
	// some 16 ms in which 300 tokens each are read, and bytes that cost four times
	// those between zones. A request spills over once that much is waited at home.
	regionTokens = 16*300 + 3*300
	// faultTokens is what one recent fault costs, and maximumFaults the most
	// that are counted: a replica that errs is avoided, and still serves where
	// the others are full.
	faultTokens   = 1500
	maximumFaults = 10
	// connectTokens is what a new connection costs: its opening, and its price.
	connectTokens = 150
)

// weighing is one request with what its choice rests on.
type weighing struct {
	set     *Set
	now     time.Time
	request *Request
	// view is what peers told of the service's loads.
	view peerView
	// room is the share of the shared parts that an engine has the memory to keep.
	room float64
	// sharing is how many nodes choose among the replicas that are weighed, and among
	// how many of them.
	sharing, among int
	// paces are those of the service where they differ, else nil; job is what the
	// request needs then.
	paces *paces
	job   dispatch.Job
}

func (s *Set) weigh(now time.Time, request *Request, weighable []*member) *weighing {
	w := &weighing{set: s, now: now, request: request, view: s.viewAt(now, weighable), sharing: s.nodes, among: len(weighable)}
	if len(weighable) < len(s.services[request.Service]) {
		w.sharing = max(1, s.nodes/max(1, len(s.zones)))
	}
	if tokens := s.shared.tokens(now); tokens > 0 {
		w.room = min(1, sharedMemory*float64(s.cacheTokens[request.Service])/float64(tokens))
	}
	if request.Expected > 0 {
		w.paces = s.pacesOf(now, request.Service, weighable)
		w.job = dispatch.Job{Tokens: float64(request.Expected)}
	}
	return w
}

// cost predicts the work before the request's answer is whole.
func (w *weighing) cost(one *member) int {
	load := w.view.load(one)
	// What waiting costs is not drawn: lines of turns would leave replicas that keep their
	// prompts.
	cost := missingWeight*w.missing(one) + int(besideTokens*w.view.drawn(one, w.request.Draw))
	if slots := float64(max(1, one.entry.Slots)); load >= slots {
		cost += int(queuedTokens * (load - slots + 1) / slots)
	}
	return cost + w.aside(one)
}

// aside is what a replica costs beside its work: its faults, and the way to it.
func (w *weighing) aside(one *member) (cost int) {
	without := &w.set.config.Without
	if !without.Faults {
		cost += int(faultTokens * min(one.faultsNow(w.now), maximumFaults))
	}
	if w.set.coldRate(w.now, one) > 0 {
		cost += coldTokens
	}
	if one.entry.Zone != w.set.config.Zone && !without.Zones {
		cost += elsewhereTokens
	}
	if !without.Regions && !w.set.sameRegion(one) {
		cost += regionTokens
	}
	if w.request.Connected != nil && !without.Connections && !w.request.Connected(one.entry) {
		cost += connectTokens
	}
	return cost
}

// Pressure returns how full the emptiest replica is that may take a request: its
// requests under way by its slots. A cold one that is at its rate counts as full at
// least. It is 0 where none may. Of a large service a window of replicas is looked at,
// which grows while all in it are full.
func (s *Set) Pressure(now time.Time, request *Request) float64 {
	for {
		weighed := s.weighable(now, request)
		least := s.pressureOf(now, request, weighed)
		full := least >= 1
		if full && s.widen(request.Service, len(weighed)) {
			continue
		}
		if math.IsInf(least, 1) {
			return 0
		}
		return least
	}
}

// pressureOf is Pressure of some replicas, infinite where none may take the request.
func (s *Set) pressureOf(now time.Time, request *Request, weighed []*member) float64 {
	least := math.Inf(1)
	view := s.viewAt(now, weighed)
	for _, one := range weighed {
		if s.mayTake(now, request, one) != nil {
			continue
		}
		least = min(least, s.occupied(now, &view, one)/float64(max(1, one.entry.Slots)))
	}
	return least
}

// occupied returns the requests at a replica, or those of one that is full where it is cold
// and at its rate.
func (s *Set) occupied(now time.Time, view *peerView, one *member) float64 {
	load := view.load(one)
	if s.atColdRate(now, one) {
		load = max(load, pressureAtColdRate*float64(max(1, one.entry.Slots)))
	}
	return load
}

// missing predicts the prefill of the prompt at a replica. One that served the
// line's last turn keeps what it read and generated then, also where another node
// sent it that turn.
func (w *weighing) missing(one *member) int {
	prompt, without := w.request.Prompt, &w.set.config.Without
	missing := Tokens(prompt)
	if !without.KeptPrompts {
		missing = one.cache.missing(prompt, w.keptAt(one))
	}
	last := len(prompt) - 1
	if last < 0 || one.entry.ID != w.request.Preferred || without.LastReplica {
		return missing
	}
	if w.request.PreferredKept > 0 {
		return min(missing, max(0, Tokens(prompt)-w.request.PreferredKept))
	}
	return min(missing, prompt[last].Tokens)
}

// keptAt returns how likely a replica keeps a part that this node did not send
// there.
func (w *weighing) keptAt(one *member) func(part string) float64 {
	if w.room == 0 || w.set.config.Without.SharedParts {
		return func(string) float64 { return 0 }
	}
	spread := spread(w.sharing, w.among, w.now.Sub(one.listedAt))
	return func(part string) float64 { return w.room * w.set.shared.kept(w.now, part, spread) }
}

// Tokens returns how many tokens a prompt has.
func Tokens(prompt []Part) (tokens int) {
	for _, part := range prompt {
		tokens += part.Tokens
	}
	return tokens
}
