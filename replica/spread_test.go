package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// spreadService is a service whose requests arrive at random nodes and may go to any replica.
type spreadService struct {
	replicas, slots int
	perSecond       float64
	takes           time.Duration
}

// The simulated fleet. summaryDelay is the age of a load summary when it arrives.
const (
	spreadNodes   = 73
	spreadTick    = time.Millisecond
	spreadFor     = 3 * time.Second
	spreadWarmUp  = time.Second
	summaryPeriod = 100 * time.Millisecond
	summaryDelay  = 70 * time.Millisecond
	reportPeriod  = 50 * time.Millisecond
)

// spreadRequest is a request in flight.
type spreadRequest struct {
	end           time.Time
	node, replica int
}

// spreadSimulation simulates the service and its nodes in virtual time.
type spreadSimulation struct {
	spreadService
	now      time.Time
	random   *rand.Rand
	sets     []*Set
	own      [][]int
	total    []int
	history  [][][]int
	inFlight []spreadRequest
	// foundFull counts the requests that found their replica full, and all counts all requests.
	foundFull, all int
}

func newSpreadSimulation(service spreadService) *spreadSimulation {
	s := &spreadSimulation{spreadService: service, now: virtualStart, random: rand.New(rand.NewPCG(5, 6)), total: make([]int, service.replicas)}
	for range spreadNodes {
		set := summarySet(service.replicas, spreadNodes)
		for _, m := range set.byID {
			m.entry.Slots = service.slots
		}
		s.sets = append(s.sets, set)
		s.own = append(s.own, make([]int, service.replicas))
	}
	return s
}

// run returns the share of the requests that found their replica full. It uses load summaries
// or the reports of peers.
func (s *spreadSimulation) run(summaries bool) float64 {
	for step := range int(spreadFor / spreadTick) {
		s.now = s.now.Add(spreadTick)
		s.end()
		s.recordHistory()
		for node := range s.sets {
			if summaries && (step+node*7)%int(summaryPeriod/spreadTick) == 0 {
				s.sendSummary(node)
			}
			if !summaries && step%int(reportPeriod/spreadTick) == 0 {
				s.sendReport(node, s.random.IntN(spreadNodes))
			}
		}
		for arrival := s.random.ExpFloat64(); arrival < s.perSecond*spreadTick.Seconds(); arrival += s.random.ExpFloat64() {
			s.send(s.random.IntN(spreadNodes))
		}
	}
	return float64(s.foundFull) / float64(s.all)
}

// end ends the requests that are complete.
func (s *spreadSimulation) end() {
	s.inFlight = slices.DeleteFunc(s.inFlight, func(request spreadRequest) bool {
		if request.end.After(s.now) {
			return false
		}
		s.total[request.replica]--
		s.own[request.node][request.replica]--
		s.sets[request.node].Ended(s.now, spreadID(request.replica), ResultAnswered)
		return true
	})
}

// recordHistory keeps the loads of all nodes for as long as load summaries are delayed.
func (s *spreadSimulation) recordHistory() {
	var now [][]int
	for _, own := range s.own {
		now = append(now, slices.Clone(own))
	}
	s.history = append(s.history, now)
	s.history = s.history[max(0, len(s.history)-int(summaryDelay/spreadTick)-1):]
}

// sendSummary sends a node the load summary of all others.
func (s *spreadSimulation) sendSummary(node int) {
	totals := make(map[ID]Total)
	for other, own := range s.history[0] {
		for index, count := range own {
			if other != node && count > 0 {
				total := totals[spreadID(index)]
				total.Requests += float64(count)
				totals[spreadID(index)] = total
			}
		}
	}
	s.sets[node].ApplyLoadSummary(s.now, LoadSummary{Nodes: spreadNodes - 1, At: s.now.Add(-summaryDelay), Totals: totals})
}

// sendReport sends a node the report of a peer.
func (s *spreadSimulation) sendReport(node, peer int) {
	counts := make(map[ID]int)
	for index, count := range s.own[peer] {
		if count > 0 {
			counts[spreadID(index)] = count
		}
	}
	if peer != node {
		s.sets[node].SetPeer(s.now, fmt.Sprint(peer), counts)
	}
}

// send sends a request from a node. It takes longer if the replica is full.
func (s *spreadSimulation) send(node int) {
	choice, err := s.sets[node].Select(s.now, &Request{Service: "s", Draw: s.random.Float64()})
	if err != nil {
		return
	}
	var index int
	_, _ = fmt.Sscanf(string(choice.Entry.ID), "r%d", &index)
	if s.now.Sub(virtualStart) > spreadWarmUp {
		s.all++
		if s.total[index] >= s.slots {
			s.foundFull++
		}
	}
	s.sets[node].Began(s.now, choice.Entry.ID, &Request{})
	s.total[index]++
	s.own[node][index]++
	slowdown := max(1, float64(s.total[index])/float64(s.slots))
	takes := time.Duration(s.random.ExpFloat64() * slowdown * float64(s.takes))
	s.inFlight = append(s.inFlight, spreadRequest{end: s.now.Add(takes), node: node, replica: index})
}

func spreadID(index int) ID { return ID(fmt.Sprint("r", index)) }

// TestLoadSummariesSpreadTurns expects less than half as many turns to find their replica full
// with load summaries as with the reports of some peers.
func TestLoadSummariesSpreadTurns(t *testing.T) {
	g := NewWithT(t)
	turns := spreadService{replicas: 48, slots: 16, perSecond: 900, takes: 500 * time.Millisecond}
	reported, summarised := newSpreadSimulation(turns).run(false), newSpreadSimulation(turns).run(true)
	t.Logf("found their replica full: %.4f by reports, %.4f by words", reported, summarised)
	g.Expect(summarised).To(BeNumerically("<", reported/2))
}

// TestLoadSummariesSpreadCalls guards against all nodes sending calls to the same replicas
// because they received the same load summary. The calls are shorter than the summary's delay,
// and may find their replica full at most 1.4 times as often as with the reports of peers.
func TestLoadSummariesSpreadCalls(t *testing.T) {
	g := NewWithT(t)
	calls := spreadService{replicas: 36, slots: 6, perSecond: 4500, takes: 30 * time.Millisecond}
	reported, summarised := newSpreadSimulation(calls).run(false), newSpreadSimulation(calls).run(true)
	t.Logf("found their replica full: %.4f by reports, %.4f by words", reported, summarised)
	g.Expect(summarised).To(BeNumerically("<", 1.4*reported))
}
