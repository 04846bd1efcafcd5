package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"
)

// simulation simulates programs of four turns at replicas that all nodes share, in steps
// of virtual time. Nodes receive the loads caused by others only every loadReportInterval.
type simulation struct {
	random     *rand.Rand
	now        time.Time
	replicas   [][]*simTurn // turns by replica, running and waiting, in order of arrival
	knownLoads [][]int      // requests by node and replica: as last reported, plus those sent since
	queues     []*Queue
	arrivals   []*simTurn
	queued     map[uint64]*simTurn
	returns    []RefusalTracker
	policy     simPolicy

	inTime, late, refused, failed int
	ranAfterRefusal               int
	lastEnd                       time.Time
}

// simPolicy is how the nodes treat turns that find no free slot.
type simPolicy struct {
	// refuseNew refuses new programs at once while even the least loaded replica is full;
	// waitAtNode lets turns wait at their node; orderBySlack makes replicas serve turns in
	// order of slack instead of arrival.
	refuseNew, waitAtNode, orderBySlack bool
}

// simTurn is the next turn of a program.
type simTurn struct {
	id             uint64
	node, step     int
	tries          int
	at, deadline   time.Time
	finish, ends   time.Time
	refused, began bool
}

const (
	simNodes, simReplicas, simSlots = 6, 8, 4
	simTurnTime                     = 200 * time.Millisecond
	simTurns                        = 4
	simStep                         = 5 * time.Millisecond
	simDeadline                     = 3 * time.Second
	// refuseUtilisation is the utilisation of the least loaded replica from which on
	// refuseNew refuses.
	refuseUtilisation  = 1.25
	loadReportInterval = 100 * time.Millisecond
	// simCapacity is how many programs per second the replicas can serve.
	simCapacity = float64(simReplicas*simSlots) / simTurns * float64(time.Second/simTurnTime)
)

func newSimulation(policy simPolicy, seed uint64) *simulation {
	c := &simulation{
		random: rand.New(rand.NewPCG(seed, seed)), now: epoch, policy: policy, replicas: make([][]*simTurn, simReplicas),
		knownLoads: make([][]int, simNodes), returns: make([]RefusalTracker, simNodes), queued: map[uint64]*simTurn{},
	}
	for node := range simNodes {
		c.knownLoads[node] = make([]int, simReplicas)
		c.queues = append(c.queues, NewQueue(QueueLimits{Requests: 64, Bytes: 1 << 20}))
	}
	return c
}

// play starts programs at a rate that depends on the time and is a fraction of
// simCapacity, and runs until all have ended.
func (c *simulation) play(span time.Duration, rate func(time.Duration) float64) {
	id, due := uint64(0), 0.
	for at := time.Duration(0); at < span+20*time.Second; at += simStep {
		c.now = epoch.Add(at)
		if at < span {
			due += rate(at) * simCapacity * simStep.Seconds()
		}
		for ; due >= 1; due-- {
			id++
			finish := c.now.Add(simTurns*simTurnTime*3/2 + 200*time.Millisecond)
			c.arrivals = append(c.arrivals, &simTurn{id: id, node: c.random.IntN(simNodes), at: c.now, deadline: c.now.Add(simDeadline), finish: finish})
		}
		c.step(at)
	}
}

// step ends the turns that are finished and processes arrivals.
func (c *simulation) step(at time.Duration) {
	for index, turns := range c.replicas {
		c.replicas[index] = slices.DeleteFunc(turns, func(turn *simTurn) bool { return turn.began && !c.now.Before(turn.ends) && c.end(turn) })
		c.start(index)
	}
	if at%loadReportInterval == 0 {
		for node := range c.knownLoads {
			for index, turns := range c.replicas {
				c.knownLoads[node][index] = len(turns)
			}
		}
	}
	for node, queue := range c.queues {
		for _, expired := range queue.Expire(c.now) {
			if AfterWait(c.utilisation(node)) == VerdictRun {
				c.send(c.queued[expired.ID])
				continue
			}
			c.refuse(c.queued[expired.ID], CauseFull, 0)
		}
		if first := queue.First(c.now); first != nil && c.utilisation(node).AcceptsNew() {
			queue.Leave(first.ID)
			c.send(c.queued[first.ID])
		}
	}
	arrivals := c.arrivals
	c.arrivals = nil
	for _, turn := range arrivals {
		if turn.at.After(c.now) {
			c.arrivals = append(c.arrivals, turn)
			continue
		}
		c.arrive(turn)
	}
}

// utilisation returns the utilisation as known at a node.
func (c *simulation) utilisation(node int) *Utilisation {
	sum := 0
	for _, load := range c.knownLoads[node] {
		sum += load
	}
	least := float64(slices.Min(c.knownLoads[node])) / simSlots
	return &Utilisation{Least: least, Mean: float64(sum) / simSlots / simReplicas, CompletionRate: c.returns[node].served.rate(c.now)}
}

func (c *simulation) state(turn *simTurn) SchedulingState {
	return SchedulingState{Begun: turn.step > 0, Left: turn.finish.Sub(c.now), HasFinish: true, ExpectedRemaining: time.Duration(simTurns-turn.step) * simTurnTime}
}

// arrive decides on a turn.
func (c *simulation) arrive(turn *simTurn) {
	utilisation, state := c.utilisation(turn.node), c.state(turn)
	if c.policy.refuseNew && !state.Begun && utilisation.Least >= refuseUtilisation {
		c.refuse(turn, CauseFull, 0)
		return
	}
	if !c.policy.waitAtNode {
		c.send(turn)
		return
	}
	waiting := &Waiting{ID: turn.id, SchedulingState: state, Since: c.now, Bytes: 100}
	utilisation.Ahead = c.queues[turn.node].Ahead(c.now, waiting)
	admission := Admit(utilisation, &state, turn.deadline.Sub(c.now))
	switch admission.Verdict {
	case VerdictRun:
		c.send(turn)
	case VerdictRefuse:
		c.refuse(turn, CauseFull, admission.Expected)
	default:
		waiting.Until = c.now.Add(admission.Bound)
		c.queued[turn.id] = turn
		for _, displaced := range c.queues[turn.node].Join(c.now, waiting) {
			c.refuse(c.queued[displaced.ID], CauseFull, 0)
		}
	}
}

// refuse refuses a turn, whose caller retries after the returned delay. Every second
// refusal, the caller sends it as a new request instead, at most twice.
func (c *simulation) refuse(turn *simTurn, cause Cause, ends time.Duration) {
	turn.tries++
	if turn.tries >= 6 {
		turn.refused = true
		c.refused++
		return
	}
	refusal := &Refusal{Cause: cause, EndsIn: ends, Left: turn.deadline.Sub(c.now), Begun: turn.step > 0, Draw: c.random.Float64()}
	c.returns[turn.node].ObserveRefusal(c.now, refusal)
	turn.at = c.now.Add(refusal.RetryAfter())
	turn.node = c.random.IntN(simNodes)
	if turn.tries%2 == 0 {
		turn.at = c.now.Add(100*time.Millisecond + time.Duration(c.random.Int64N(int64(300*time.Millisecond))))
		turn.deadline = turn.at.Add(simDeadline)
	}
	c.arrivals = append(c.arrivals, turn)
}

// send sends a turn to the less loaded of two random replicas.
func (c *simulation) send(turn *simTurn) {
	if turn.refused {
		c.ranAfterRefusal++
	}
	one, other := c.random.IntN(simReplicas), c.random.IntN(simReplicas)
	knownLoads := c.knownLoads[turn.node]
	if knownLoads[other] < knownLoads[one] {
		one = other
	}
	if least := slices.Min(knownLoads); knownLoads[one] > least && knownLoads[one] >= simSlots {
		one = slices.Index(knownLoads, least)
	}
	knownLoads[one]++
	turn.began, turn.at = false, c.now
	c.replicas[one] = append(c.replicas[one], turn)
	c.start(one)
}

// start starts turns in the free slots of a replica, and drops those whose deadline passed
// while they waited.
func (c *simulation) start(index int) {
	turns := slices.DeleteFunc(c.replicas[index], func(turn *simTurn) bool {
		if turn.began || c.now.Before(turn.deadline) {
			return false
		}
		c.failed++
		return true
	})
	c.replicas[index] = turns
	running := 0
	for _, turn := range turns {
		if turn.began {
			running++
		}
	}
	for ; running < simSlots; running++ {
		next := c.nextOf(turns)
		if next == nil {
			return
		}
		next.began, next.ends = true, c.now.Add(simTurnTime)
	}
}

// nextOf returns the turn that a replica starts next.
func (c *simulation) nextOf(turns []*simTurn) *simTurn {
	var next *simTurn
	for _, turn := range turns {
		if turn.began {
			continue
		}
		left, right := c.state(turn), SchedulingState{}
		if next != nil {
			right = c.state(next)
			left.Waited, right.Waited = c.now.Sub(turn.at), c.now.Sub(next.at)
		}
		if next == nil || c.policy.orderBySlack && Before(0, &left, 0, &right) {
			next = turn
		}
	}
	return next
}

// end ends a turn and continues its program.
func (c *simulation) end(turn *simTurn) bool {
	c.returns[turn.node].ObserveServed(c.now)
	turn.step++
	if turn.step < simTurns {
		turn.tries, turn.at, turn.deadline = 0, c.now, c.now.Add(simDeadline)
		c.arrivals = append(c.arrivals, turn)
		return true
	}
	c.lastEnd = c.now
	if c.now.After(turn.finish) {
		c.late++
		return true
	}
	c.inTime++
	return true
}
