package replica_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/replica"
)

// The replay simulates engines of which a quarter are twice as fast. An engine prefills one
// prompt at a time, which delays the tokens of all its turns, and generates for all turns
// concurrently.
const (
	replayEngines  = 12
	replayNodes    = 8
	replaySlots    = 16
	replayTokens   = 200
	replayTurns    = 4
	replayTick     = 5 * time.Millisecond
	replayPause    = 300 * time.Millisecond
	replaySlowdown = 0.03
	replayPrefill  = 1.0 / 200
)

// replayTurn is one turn of a session.
type replayTurn struct {
	session, node, number int
	uncached, tokens      float64
	arrived, sent, first  time.Time
	load, expected        int
}

// replayEngine is one engine with its cached prompt parts and its turns.
type replayEngine struct {
	id     replica.ID
	token  float64 // milliseconds
	cached map[string]int
	turns  []*replayTurn
}

// step simulates one tick and returns the completed turns.
func (e *replayEngine) step(now time.Time, slowdown float64) (done []*replayTurn) {
	left := float64(replayTick) / 1e6 / (e.token * slowdown)
	running := e.turns[:min(len(e.turns), replaySlots)]
	for _, turn := range running {
		prefilled := min(turn.uncached, left/replayPrefill)
		turn.uncached -= prefilled
		left -= prefilled * replayPrefill
	}
	each := left / (1 + replaySlowdown*float64(len(running)))
	for _, turn := range slices.Clone(running) {
		if turn.uncached > 0 {
			continue
		}
		if turn.first.IsZero() {
			turn.first = now
		}
		if turn.tokens -= each; turn.tokens <= 0 {
			done = append(done, turn)
			e.turns = slices.DeleteFunc(e.turns, func(other *replayTurn) bool { return other == turn })
		}
	}
	return done
}

// replay simulates sessions on engines, sent by nodes that exchange reports.
type replay struct {
	random    *rand.Rand
	engines   []*replayEngine
	sets      []*replica.Set
	last      map[int]replica.ID
	latencies []time.Duration
	loads     map[replica.ID]int
	ticks     int
}

func newReplay(without replica.SelectionFactors) *replay {
	r := &replay{random: rand.New(rand.NewPCG(1, 2)), last: map[int]replica.ID{}, loads: map[replica.ID]int{}}
	config := replica.DefaultConfig("a")
	config.Disabled = without
	for node := range replayNodes {
		r.sets = append(r.sets, replica.NewSet(config))
		r.sets[node].SetNodes(replayNodes)
		r.sets[node].SetCacheTokens("model", 353_217)
	}
	for index := range replayEngines {
		engine := &replayEngine{id: replica.ID(fmt.Sprintf("e%d", index)), token: 1.5, cached: map[string]int{}}
		if index%4 == 0 {
			engine.token = 0.75
		}
		r.engines = append(r.engines, engine)
		for _, set := range r.sets {
			set.Put(replayStart, replica.Entry{ID: engine.id, Service: "model", Zone: "a", Status: replica.StatusReady, Slots: replaySlots})
		}
	}
	return r
}

var replayStart = time.Unix(1000, 0)

// send selects an engine for a turn and sends it there.
func (r *replay) send(now time.Time, turn *replayTurn) {
	set := r.sets[turn.node]
	parts := []replica.Part{{ID: fmt.Sprintf("shared-%d", turn.session%3), Tokens: 12_600}, {ID: fmt.Sprintf("own-%d", turn.session), Tokens: 1_000 * turn.number}}
	request := &replica.Request{
		Service: "model", Program: fmt.Sprint(turn.session), Prompt: parts, Preferred: r.last[turn.session],
		Draw: r.random.Float64(), ExpectedTokens: replayTokens,
	}
	choice, err := set.Select(now, request)
	if err != nil {
		panic(err)
	}
	set.Began(now, choice.Entry.ID, request)
	r.last[turn.session] = choice.Entry.ID
	engine := r.engine(choice.Entry.ID)
	turn.sent, turn.load, turn.expected, turn.tokens = now, choice.Load, choice.UncachedTokens, replayTokens
	for _, part := range parts {
		turn.uncached += float64(max(0, part.Tokens-engine.cached[part.ID]))
		engine.cached[part.ID] = part.Tokens
	}
	engine.turns = append(engine.turns, turn)
}

func (r *replay) engine(id replica.ID) *replayEngine {
	return r.engines[slices.IndexFunc(r.engines, func(engine *replayEngine) bool { return engine.id == id })]
}

// exchangeReports gives each node the loads and token times of the others.
func (r *replay) exchangeReports(now time.Time) {
	for node, set := range r.sets {
		totals := map[replica.ID]replica.Total{}
		for other, peer := range r.sets {
			if other == node {
				continue
			}
			set.SetPeer(now, fmt.Sprint(other), peer.OwnRequests())
			for id, report := range peer.Report(now) {
				total := totals[id]
				sum := float64(total.TokenTime)*float64(total.Samples) + float64(report.TokenTime)*float64(report.Samples)
				if total.Samples += report.Samples; total.Samples > 0 {
					total.TokenTime = time.Duration(sum / float64(total.Samples))
				}
				totals[id] = total
			}
		}
		set.ApplyTokenTimes(now, totals)
	}
}

// run offers a share of the engines' capacity and returns the sorted latencies of the turns.
// slowdown scales an engine's token time at a given time.
func (r *replay) run(load float64, duration time.Duration, slowdown func(engine int, at time.Duration) float64) []time.Duration {
	capacity := 0.0
	for _, engine := range r.engines {
		capacity += replaySlots / (replayTokens*engine.token*(1+replaySlowdown*replaySlots) + replaySlots*1_500*replayPrefill*engine.token)
	}
	perTick := load * capacity * float64(replayTick) / 1e6 / replayTurns
	waiting := map[time.Duration][]*replayTurn{}
	sessions := 0
	for at := time.Duration(0); at < duration; at += replayTick {
		now := replayStart.Add(at)
		if at%(400*time.Millisecond) == 0 {
			r.exchangeReports(now)
		}
		for arrivals := perTick + r.random.Float64(); arrivals >= 1; arrivals-- {
			sessions++
			waiting[at] = append(waiting[at], &replayTurn{session: sessions, node: sessions % replayNodes, number: 1})
		}
		for _, turn := range waiting[at] {
			turn.arrived = now
			r.send(now, turn)
		}
		delete(waiting, at)
		for index, engine := range r.engines {
			for _, turn := range engine.step(now, slowdown(index, at)) {
				r.end(now, engine, turn)
				if turn.number < replayTurns {
					next := &replayTurn{session: turn.session, node: turn.node, number: turn.number + 1}
					waiting[at+replayPause] = append(waiting[at+replayPause], next)
				}
			}
			r.loads[engine.id] += len(engine.turns)
		}
		r.ticks++
	}
	slices.Sort(r.latencies)
	return r.latencies
}

// end records that a turn is complete.
func (r *replay) end(now time.Time, engine *replayEngine, turn *replayTurn) {
	set := r.sets[turn.node]
	set.Ended(now, engine.id, replica.ResultAnswered)
	set.Observe(now, engine.id, replica.Sample{
		Load: turn.load, Token: now.Sub(turn.first) / replayTokens, UncachedTokens: turn.expected, TimeToFirstEvent: turn.first.Sub(turn.sent),
	})
	r.latencies = append(r.latencies, now.Sub(turn.arrived))
}

// mean returns the mean load of an engine over the run.
func (r *replay) mean(engine int) float64 {
	return float64(r.loads[r.engines[engine].id]) / float64(r.ticks)
}

func even(int, time.Duration) float64 { return 1 }

func quantile(times []time.Duration, share float64) time.Duration {
	return times[int(share*float64(len(times)-1))]
}

func TestPlacementOnUnevenEngines(t *testing.T) {
	for _, load := range []float64{0.4, 0.7, 1.2} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			g := NewWithT(t)
			baseline := newReplay(replica.SelectionFactors{TokenTimes: true})
			before := baseline.run(load, 12*time.Second, even)
			withTokenTimes := newReplay(replica.SelectionFactors{})
			after := withTokenTimes.run(load, 12*time.Second, even)
			t.Logf("former: %d turns, %v, %v, fast %.1f slow %.1f; paced: %d turns, %v, %v, fast %.1f slow %.1f",
				len(before), quantile(before, .5), quantile(before, .9), baseline.mean(0), baseline.mean(1),
				len(after), quantile(after, .5), quantile(after, .9), withTokenTimes.mean(0), withTokenTimes.mean(1))
			g.Expect(quantile(after, .5)).To(BeNumerically("<=", quantile(before, .5)*95/100))
			g.Expect(quantile(after, .9)).To(BeNumerically("<=", quantile(before, .9)*85/100))
			g.Expect(len(after)).To(BeNumerically(">=", len(before)*97/100))
			if load < 1 {
				g.Expect(withTokenTimes.mean(0)).To(BeNumerically("<", replaySlots*3/4), "the fast ones are overrun")
			}
		})
	}
}

// TestPlacementAvoidsReplicaThatSlowsDown makes a quarter of the engines four times slower
// after four seconds.
func TestPlacementAvoidsReplicaThatSlowsDown(t *testing.T) {
	turns := func(engine int, at time.Duration) float64 {
		if engine%4 == 1 && at >= 4*time.Second {
			return 4
		}
		return 1
	}
	expectFaster(t, 0.4, turns)
}

// expectFaster expects lower latencies with token times than without, at the median and the
// 90th percentile.
func expectFaster(t *testing.T, load float64, speed func(engine int, at time.Duration) float64) {
	t.Helper()
	g := NewWithT(t)
	baseline := newReplay(replica.SelectionFactors{TokenTimes: true}).run(load, 12*time.Second, speed)
	withTokenTimes := newReplay(replica.SelectionFactors{}).run(load, 12*time.Second, speed)
	t.Logf("former %v %v, paced %v %v", quantile(baseline, .5), quantile(baseline, .9), quantile(withTokenTimes, .5), quantile(withTokenTimes, .9))
	g.Expect(quantile(withTokenTimes, .9)).To(BeNumerically("<", quantile(baseline, .9)))
	g.Expect(quantile(withTokenTimes, .5)).To(BeNumerically("<", quantile(baseline, .5)))
}

// TestPlacementWithTemporarySlowdowns slows each engine for 0.6 s at a time, 15 % of the time.
func TestPlacementWithTemporarySlowdowns(t *testing.T) {
	slowdownAt := func(engine int, at time.Duration) float64 {
		if mixed := uint64(at/(600*time.Millisecond)) * 2654435761 >> 7; (mixed+uint64(engine)*37)%100 < 15 {
			return 2.5
		}
		return 1
	}
	expectFaster(t, 0.5, slowdownAt)
}

// unevenSet returns a set of count replicas, the first fast of which are twice as fast.
func unevenSet(count, fast int) *replica.Set {
	set := replica.NewSet(replica.DefaultConfig("a"))
	for index := range count {
		id := replica.ID(fmt.Sprintf("r%02d", index))
		set.Put(replayStart, replica.Entry{ID: id, Service: "model", Zone: "a", Status: replica.StatusReady, Slots: replaySlots})
		token := 1500 * time.Microsecond
		if index < fast {
			token /= 2
		}
		for range 8 {
			set.Observe(replayStart, id, replica.Sample{Token: token})
		}
	}
	return set
}

// TestNodesWithSameInformationSpreadTurns guards against many nodes selecting the same replica
// because they have the same information. Each select call represents one node.
func TestNodesWithSameInformationSpreadTurns(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(3, 4))
	chosen := map[replica.ID]int{}
	set := unevenSet(16, 4)
	for range 200 {
		choice, err := set.Select(replayStart, &replica.Request{Service: "model", ExpectedTokens: 200, Draw: random.Float64()})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(choice.Predicted).To(BeNumerically(">", 0))
		chosen[choice.Entry.ID]++
	}
	for id, count := range chosen {
		g.Expect(count).To(BeNumerically("<", 2*200/4), string(id))
	}
	g.Expect(chosen["r00"]+chosen["r01"]+chosen["r02"]+chosen["r03"]).To(BeNumerically(">", 150), "the fast ones are filled first")
}

// TestSlowReplicasShareLoadWhenFastOnesAreExcluded excludes the fast replicas at a load that
// they could serve alone.
func TestSlowReplicasShareLoadWhenFastOnesAreExcluded(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(3, 4))
	chosen := map[replica.ID]int{}
	set := unevenSet(16, 4)
	for range 240 {
		choice, err := set.Select(replayStart, &replica.Request{
			Service: "model", ExpectedTokens: 200, Draw: random.Float64(), Excluded: []replica.ID{"r00", "r01", "r02", "r03"},
		})
		g.Expect(err).NotTo(HaveOccurred())
		chosen[choice.Entry.ID]++
	}
	g.Expect(chosen).To(HaveLen(12))
	for id, count := range chosen {
		g.Expect(count).To(BeNumerically("<", 3*240/12), string(id))
	}
}

// TestSpeedBiasShiftsTurnsToFastReplicas selects with each speed bias while the fast replicas
// are half full.
func TestSpeedBiasShiftsTurnsToFastReplicas(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(3, 4))
	fast := map[int]int{}
	set := unevenSet(16, 4)
	loads := map[replica.ID]int{}
	for index := range 16 {
		loads[replica.ID(fmt.Sprintf("r%02d", index))] = 2
		if index < 4 {
			loads[replica.ID(fmt.Sprintf("r%02d", index))] = 8
		}
	}
	set.SetNodes(2)
	set.SetPeer(replayStart, "other", loads)
	for _, bias := range []int{-1, 0, 1} {
		for range 400 {
			choice, err := set.Select(replayStart, &replica.Request{Service: "model", ExpectedTokens: 200, Draw: random.Float64(), SpeedBias: bias})
			g.Expect(err).NotTo(HaveOccurred())
			if choice.Entry.ID < "r04" {
				fast[bias]++
			}
		}
	}
	t.Log(fast)
	g.Expect(fast[-1]).To(BeNumerically("<", fast[0]))
	g.Expect(fast[0]).To(BeNumerically("<", fast[1]))
}

// TestTokenTimesUnusedForEvenReplicas checks that token times that hardly differ are not used
// in the selection.
func TestTokenTimesUnusedForEvenReplicas(t *testing.T) {
	g := NewWithT(t)
	choice, err := unevenSet(16, 0).Select(replayStart, &replica.Request{Service: "model", ExpectedTokens: 200})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(choice.Predicted).To(BeZero())
}

// TestNewIncarnationHasNoTokenTime also checks that a node that sent nothing uses the reported
// token times.
func TestNewIncarnationHasNoTokenTime(t *testing.T) {
	g := NewWithT(t)
	reports := unevenSet(16, 4).Report(replayStart)
	totals := map[replica.ID]replica.Total{}
	for id, report := range reports {
		totals[id] = replica.Total{TokenTime: report.TokenTime, Samples: report.Samples}
	}
	set := unevenSet(0, 0)
	entries := make([]replica.Entry, 16)
	for index := range entries {
		entries[index] = replica.Entry{ID: replica.ID(fmt.Sprintf("r%02d", index)), Service: "model", Zone: "a", Status: replica.StatusReady, Slots: replaySlots, Incarnation: 1}
		set.Put(replayStart, entries[index])
	}
	set.ApplyTokenTimes(replayStart, totals)
	request := &replica.Request{Service: "model", ExpectedTokens: 200, Only: "r00"}
	choice, err := set.Select(replayStart, request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(choice.UnloadedTokenTime).To(BeNumerically("~", 750*time.Microsecond, 100*time.Microsecond))
	entries[0].Incarnation = 2
	set.Put(replayStart, entries[0])
	choice, err = set.Select(replayStart.Add(time.Second), request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(choice.UnloadedTokenTime).To(BeNumerically(">", 1200*time.Microsecond), "the middle of the service")
}

// TestOlderLoadSummaryKeepsUnevenLoads has a load summary of some age report more load at the
// fast replicas, as their weights imply. The estimate must not level these loads out.
func TestOlderLoadSummaryKeepsUnevenLoads(t *testing.T) {
	g := NewWithT(t)
	set := unevenSet(16, 4)
	set.SetNodes(8)
	totals := map[replica.ID]replica.Total{}
	for index := range 16 {
		totals[replica.ID(fmt.Sprintf("r%02d", index))] = replica.Total{Requests: 2}
		if index < 4 {
			totals[replica.ID(fmt.Sprintf("r%02d", index))] = replica.Total{Requests: 14}
		}
	}
	set.ApplyLoadSummary(replayStart, replica.LoadSummary{Nodes: 7, At: replayStart, Totals: totals})
	at := func(id replica.ID) time.Duration {
		choice, err := set.Select(replayStart.Add(400*time.Millisecond), &replica.Request{Service: "model", ExpectedTokens: 200, Only: id})
		g.Expect(err).NotTo(HaveOccurred())
		return choice.Predicted
	}
	g.Expect(float64(at("r00"))).To(BeNumerically(">", 1.5*200*0.75e6), "14 beside")
	g.Expect(float64(at("r05"))).To(BeNumerically("<", 1.2*200*1.5e6), "2 beside")
}
