package coordinator_test

import (
	"fmt"
	"time"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/machine"
)

// flow is a steady stream of requests.
type flow struct {
	perSecond float64
	// backlog is the number of requests due but not yet sent.
	backlog float64
}

// due returns how many requests are due in the next step.
func (f *flow) due() (count int) {
	f.backlog += f.perSecond * step.Seconds()
	for ; f.backlog >= 1; f.backlog-- {
		count++
	}
	return count
}

// pendingCharges tracks the charges requested of the nodes of a fleet, each on behalf of a
// T.
type pendingCharges[T any] struct {
	world *fleet
	// open holds the unanswered charges.
	open map[uint64]pendingCharge[T]
	next uint64
}

type pendingCharge[T any] struct {
	source T
	node   machine.ID
}

func newPendingCharges[T any](world *fleet) pendingCharges[T] {
	return pendingCharges[T]{world: world, open: map[uint64]pendingCharge[T]{}}
}

// anyNode returns a random node, and whether it is running.
func (q *pendingCharges[T]) anyNode() (machine.ID, bool) {
	ids := q.world.ids()
	if len(ids) == 0 {
		return "", false
	}
	at := ids[q.world.random.IntN(len(ids))]
	return at, !q.world.nodes[at].frozen
}

// ask has a node request a charge under a new ID.
func (q *pendingCharges[T]) ask(source T, node machine.ID, timeout time.Duration, charge coordinator.Charge) {
	q.next++
	q.open[q.next] = pendingCharge[T]{source: source, node: node}
	charge.Request.ID = fmt.Sprint(q.next)
	q.world.send(node, 0, coordinator.ChargeRequested{ID: q.next, Timeout: timeout, Charge: charge})
}

// collect passes the answers to take.
func (q *pendingCharges[T]) collect(take func(source T, charged coordinator.Charged)) {
	for _, id := range q.world.ids() {
		member := q.world.nodes[id]
		for _, charged := range member.charged {
			open, known := q.open[charged.ID]
			if !known || open.node != id {
				continue
			}
			delete(q.open, charged.ID)
			take(open.source, charged)
		}
		member.charged = nil
	}
}
