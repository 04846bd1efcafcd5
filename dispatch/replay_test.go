package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"
)

// crowd replays programs of four turns at replicas that all nodes share, in steps of
// virtual time. Nodes see what others sent only every loadsHeard.
type crowd struct {
	draws    *rand.Rand
	now      time.Time
	replicas [][]*replayTurn // running and waiting, in the order of their service
	heard    [][]int         // by node and replica: requests as last heard, own ones since
	queues   []*Queue
	coming   []*replayTurn
	held     map[uint64]*replayTurn
	returns  []Returns
	policy   replayPolicy

	inTime, late, refused, failed int
	ranAfterRefusal               int
	lastEnd                       time.Time
}

// replayPolicy is how a crowd's nodes treat turns that find no room.
type replayPolicy struct {
	// refuseNew refuses new programs at once while even the emptiest replica is full; waitHere has turns wait
	// at their node, and bySlack has replicas serve them by the order, else as they come.
	refuseNew, waitHere, bySlack bool
}

// replayTurn is the next turn of a program.
type replayTurn struct {
	id             uint64
	node, step     int
	tries          int
	at, deadline   time.Time
	finish, ends   time.Time
	refused, began bool
}

const (
	crowdNodes, crowdReplicas, crowdSlots = 6, 8, 4
	crowdTurn                             = 200 * time.Millisecond
	crowdTurns                            = 4
	crowdStep                             = 5 * time.Millisecond
	crowdDeadline                         = 3 * time.Second
	// refuseFrom is how full the emptiest replica is for refuseNew.
	refuseFrom = 1.25
	loadsHeard = 100 * time.Millisecond
	// crowdRoom is how many programs a second the replicas serve.
	crowdRoom = float64(crowdReplicas*crowdSlots) / crowdTurns * float64(time.Second/crowdTurn)
)

func newCrowd(policy replayPolicy, seed uint64) *crowd {
	c := &crowd{
		draws: rand.New(rand.NewPCG(seed, seed)), now: epoch, policy: policy, replicas: make([][]*replayTurn, crowdReplicas),
		heard: make([][]int, crowdNodes), returns: make([]Returns, crowdNodes), held: map[uint64]*replayTurn{},
	}
	for node := range crowdNodes {
		c.heard[node] = make([]int, crowdReplicas)
		c.queues = append(c.queues, NewQueue(QueueLimits{Requests: 64, Bytes: 1 << 20}))
	}
	return c
}

// play lets programs come at a rate, in parts of crowdRoom, that depends on the time, and
// goes on until all are over.
func (c *crowd) play(span time.Duration, rate func(time.Duration) float64) {
	id, due := uint64(0), 0.
	for at := time.Duration(0); at < span+20*time.Second; at += crowdStep {
		c.now = epoch.Add(at)
		if at < span {
			due += rate(at) * crowdRoom * crowdStep.Seconds()
		}
		for ; due >= 1; due-- {
			id++
			finish := c.now.Add(crowdTurns*crowdTurn*3/2 + 200*time.Millisecond)
			c.coming = append(c.coming, &replayTurn{id: id, node: c.draws.IntN(crowdNodes), at: c.now, deadline: c.now.Add(crowdDeadline), finish: finish})
		}
		c.step(at)
	}
}

// step ends what is over, and takes in what comes.
func (c *crowd) step(at time.Duration) {
	for index, line := range c.replicas {
		c.replicas[index] = slices.DeleteFunc(line, func(turn *replayTurn) bool { return turn.began && !c.now.Before(turn.ends) && c.end(turn) })
		c.start(index)
	}
	if at%loadsHeard == 0 {
		for node := range c.heard {
			for index, line := range c.replicas {
				c.heard[node][index] = len(line)
			}
		}
	}
	for node, queue := range c.queues {
		for _, over := range queue.Expire(c.now) {
			if AfterWait(c.room(node)) == VerdictRun {
				c.send(c.held[over.ID])
				continue
			}
			c.refuse(c.held[over.ID], CauseFull, 0)
		}
		if first := queue.First(c.now); first != nil && c.room(node).Free() {
			queue.Leave(first.ID)
			c.send(c.held[first.ID])
		}
	}
	coming := c.coming
	c.coming = nil
	for _, turn := range coming {
		if turn.at.After(c.now) {
			c.coming = append(c.coming, turn)
			continue
		}
		c.arrive(turn)
	}
}

// room is what a node knows.
func (c *crowd) room(node int) *Room {
	sum := 0
	for _, load := range c.heard[node] {
		sum += load
	}
	least := float64(slices.Min(c.heard[node])) / crowdSlots
	return &Room{Least: least, Mean: float64(sum) / crowdSlots / crowdReplicas, Pace: c.returns[node].served.rate(c.now)}
}

func (c *crowd) standing(turn *replayTurn) Standing {
	return Standing{Begun: turn.step > 0, Left: turn.finish.Sub(c.now), HasLeft: true, Need: time.Duration(crowdTurns-turn.step) * crowdTurn}
}

// arrive decides on a turn.
func (c *crowd) arrive(turn *replayTurn) {
	room, standing := c.room(turn.node), c.standing(turn)
	if c.policy.refuseNew && !standing.Begun && room.Least >= refuseFrom {
		c.refuse(turn, CauseFull, 0)
		return
	}
	if !c.policy.waitHere {
		c.send(turn)
		return
	}
	waiting := &Waiting{ID: turn.id, Standing: standing, Since: c.now, Bytes: 100}
	room.Ahead = c.queues[turn.node].Ahead(c.now, waiting)
	admission := Admit(room, &standing, turn.deadline.Sub(c.now))
	switch admission.Verdict {
	case VerdictRun:
		c.send(turn)
	case VerdictRefuse:
		c.refuse(turn, CauseFull, admission.Expected)
	default:
		waiting.Until = c.now.Add(admission.Bound)
		c.held[turn.id] = turn
		for _, displaced := range c.queues[turn.node].Join(c.now, waiting) {
			c.refuse(c.held[displaced.ID], CauseFull, 0)
		}
	}
}

// refuse sends a turn's caller away: it comes back as told, once a try, and goes out anew
// twice at most.
func (c *crowd) refuse(turn *replayTurn, cause Cause, ends time.Duration) {
	turn.tries++
	if turn.tries >= 6 {
		turn.refused = true
		c.refused++
		return
	}
	refusal := &Refusal{Cause: cause, Ends: ends, Left: turn.deadline.Sub(c.now), Begun: turn.step > 0, Draw: c.draws.Float64()}
	c.returns[turn.node].Refuse(c.now, refusal)
	turn.at = c.now.Add(refusal.ComeBack())
	turn.node = c.draws.IntN(crowdNodes)
	if turn.tries%2 == 0 {
		turn.at = c.now.Add(100*time.Millisecond + time.Duration(c.draws.Int64N(int64(300*time.Millisecond))))
		turn.deadline = turn.at.Add(crowdDeadline)
	}
	c.coming = append(c.coming, turn)
}

// send puts a turn into the line of the emptier of two replicas.
func (c *crowd) send(turn *replayTurn) {
	if turn.refused {
		c.ranAfterRefusal++
	}
	one, other := c.draws.IntN(crowdReplicas), c.draws.IntN(crowdReplicas)
	heard := c.heard[turn.node]
	if heard[other] < heard[one] {
		one = other
	}
	if least := slices.Min(heard); heard[one] > least && heard[one] >= crowdSlots {
		one = slices.Index(heard, least)
	}
	heard[one]++
	turn.began, turn.at = false, c.now
	c.replicas[one] = append(c.replicas[one], turn)
	c.start(one)
}

// start begins what a replica has places for, and drops what is over before.
func (c *crowd) start(index int) {
	line := slices.DeleteFunc(c.replicas[index], func(turn *replayTurn) bool {
		if turn.began || c.now.Before(turn.deadline) {
			return false
		}
		c.failed++
		return true
	})
	c.replicas[index] = line
	running := 0
	for _, turn := range line {
		if turn.began {
			running++
		}
	}
	for ; running < crowdSlots; running++ {
		next := c.nextOf(line)
		if next == nil {
			return
		}
		next.began, next.ends = true, c.now.Add(crowdTurn)
	}
}

// nextOf returns the turn that a replica begins next.
func (c *crowd) nextOf(line []*replayTurn) *replayTurn {
	var next *replayTurn
	for _, turn := range line {
		if turn.began {
			continue
		}
		left, right := c.standing(turn), Standing{}
		if next != nil {
			right = c.standing(next)
			left.Waited, right.Waited = c.now.Sub(turn.at), c.now.Sub(next.at)
		}
		if next == nil || c.policy.bySlack && Before(0, &left, 0, &right) {
			next = turn
		}
	}
	return next
}

// end notes that a turn is over, and has its program go on.
func (c *crowd) end(turn *replayTurn) bool {
	c.returns[turn.node].Served(c.now)
	turn.step++
	if turn.step < crowdTurns {
		turn.tries, turn.at, turn.deadline = 0, c.now, c.now.Add(crowdDeadline)
		c.coming = append(c.coming, turn)
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
