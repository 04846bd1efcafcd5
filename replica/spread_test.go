package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// spreadService is a service whose requests come at random nodes and may go anywhere.
type spreadService struct {
	replicas, slots int
	perSecond       float64
	takes           time.Duration
}

// The fleet of these tests, and how old a word is when it comes.
const (
	spreadNodes  = 73
	spreadTick   = time.Millisecond
	spreadFor    = 3 * time.Second
	spreadCalm   = time.Second
	wordPeriod   = 100 * time.Millisecond
	wordLag      = 70 * time.Millisecond
	reportPeriod = 50 * time.Millisecond
)

// spreadRequest is one that is under way.
type spreadRequest struct {
	end           time.Time
	node, replica int
}

// spreadWorld is the service and its nodes in virtual time.
type spreadWorld struct {
	spreadService
	now    time.Time
	random *rand.Rand
	sets   []*Set
	own    [][]int
	total  []int
	past   [][][]int
	under  []spreadRequest
	// met counts the requests that found their replica full, of all.
	met, all int
}

func newSpreadWorld(service spreadService) *spreadWorld {
	w := &spreadWorld{spreadService: service, now: wordStart, random: rand.New(rand.NewPCG(5, 6)), total: make([]int, service.replicas)}
	for range spreadNodes {
		set := wordSet(service.replicas, spreadNodes)
		for _, m := range set.byID {
			m.entry.Slots = service.slots
		}
		w.sets = append(w.sets, set)
		w.own = append(w.own, make([]int, service.replicas))
	}
	return w
}

// run returns the share of the requests that found their replica full.
func (w *spreadWorld) run(words bool) float64 {
	for step := range int(spreadFor / spreadTick) {
		w.now = w.now.Add(spreadTick)
		w.end()
		w.keepPast()
		for node := range w.sets {
			if words && (step+node*7)%int(wordPeriod/spreadTick) == 0 {
				w.word(node)
			}
			if !words && step%int(reportPeriod/spreadTick) == 0 {
				w.report(node, w.random.IntN(spreadNodes))
			}
		}
		for arrival := w.random.ExpFloat64(); arrival < w.perSecond*spreadTick.Seconds(); arrival += w.random.ExpFloat64() {
			w.send(w.random.IntN(spreadNodes))
		}
	}
	return float64(w.met) / float64(w.all)
}

// end ends the requests that are due.
func (w *spreadWorld) end() {
	w.under = slices.DeleteFunc(w.under, func(request spreadRequest) bool {
		if request.end.After(w.now) {
			return false
		}
		w.total[request.replica]--
		w.own[request.node][request.replica]--
		w.sets[request.node].Ended(w.now, spreadID(request.replica), ResultAnswered)
		return true
	})
}

// keepPast keeps what nodes had, for as long as words are late.
func (w *spreadWorld) keepPast() {
	var now [][]int
	for _, own := range w.own {
		now = append(now, slices.Clone(own))
	}
	w.past = append(w.past, now)
	w.past = w.past[max(0, len(w.past)-int(wordLag/spreadTick)-1):]
}

// word tells a node what all others had.
func (w *spreadWorld) word(node int) {
	totals := make(map[ID]Total)
	for other, own := range w.past[0] {
		for index, count := range own {
			if other != node && count > 0 {
				total := totals[spreadID(index)]
				total.Requests += float64(count)
				totals[spreadID(index)] = total
			}
		}
	}
	w.sets[node].TakeWord(w.now, Word{Nodes: spreadNodes - 1, At: w.now.Add(-wordLag), Totals: totals})
}

// report tells a node what a peer has.
func (w *spreadWorld) report(node, peer int) {
	counts := make(map[ID]int)
	for index, count := range w.own[peer] {
		if count > 0 {
			counts[spreadID(index)] = count
		}
	}
	if peer != node {
		w.sets[node].SetPeer(w.now, fmt.Sprint(peer), counts)
	}
}

// send sends a request of a node; it takes longer where the replica is full.
func (w *spreadWorld) send(node int) {
	choice, err := w.sets[node].Select(w.now, &Request{Service: "s", Draw: w.random.Float64()})
	if err != nil {
		return
	}
	var index int
	_, _ = fmt.Sscanf(string(choice.Entry.ID), "r%d", &index)
	if w.now.Sub(wordStart) > spreadCalm {
		w.all++
		if w.total[index] >= w.slots {
			w.met++
		}
	}
	w.sets[node].Began(w.now, choice.Entry.ID, &Request{})
	w.total[index]++
	w.own[node][index]++
	crowd := max(1, float64(w.total[index])/float64(w.slots))
	takes := time.Duration(w.random.ExpFloat64() * crowd * float64(w.takes))
	w.under = append(w.under, spreadRequest{end: w.now.Add(takes), node: node, replica: index})
}

func spreadID(index int) ID { return ID(fmt.Sprint("r", index)) }

// TestWordsSpreadTurns has far fewer turns meet at full replicas than where nodes know
// what some peers had.
func TestWordsSpreadTurns(t *testing.T) {
	g := NewWithT(t)
	turns := spreadService{replicas: 48, slots: 16, perSecond: 900, takes: 500 * time.Millisecond}
	reported, told := newSpreadWorld(turns).run(false), newSpreadWorld(turns).run(true)
	t.Logf("found their replica full: %.4f by reports, %.4f by words", reported, told)
	g.Expect(told).To(BeNumerically("<", reported/2))
}

// TestWordsSpreadCalls has calls that are shorter than a word is old meet little more often
// than by reports, though all nodes hear the same.
func TestWordsSpreadCalls(t *testing.T) {
	g := NewWithT(t)
	calls := spreadService{replicas: 36, slots: 6, perSecond: 4500, takes: 30 * time.Millisecond}
	reported, told := newSpreadWorld(calls).run(false), newSpreadWorld(calls).run(true)
	t.Logf("found their replica full: %.4f by reports, %.4f by words", reported, told)
	g.Expect(told).To(BeNumerically("<", 1.4*reported))
}
