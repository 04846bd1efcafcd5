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
	// owed is what is to be sent by now.
	backlog float64
}

// due returns how many requests are to be sent in the next step.
func (f *flow) due() (count int) {
	f.backlog += f.perSecond * step.Seconds()
	for ; f.backlog >= 1; f.backlog-- {
		count++
	}
	return count
}

// questions are charges that nodes of a fleet were asked for, each on behalf of a T.
type pendingCharges[T any] struct {
	world *fleet
	// open are those without an answer.
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

// anyNode draws a node; false where it does not run.
func (q *pendingCharges[T]) anyNode() (machine.ID, bool) {
	ids := q.world.ids()
	if len(ids) == 0 {
		return "", false
	}
	at := ids[q.world.random.IntN(len(ids))]
	return at, !q.world.nodes[at].frozen
}

// ask has a node ask for a charge, under an id of its own.
func (q *pendingCharges[T]) ask(source T, node machine.ID, patience time.Duration, charge coordinator.Charge) {
	q.next++
	q.open[q.next] = pendingCharge[T]{source: source, node: node}
	charge.Request.ID = fmt.Sprint(q.next)
	q.world.send(node, 0, coordinator.ChargeRequested{ID: q.next, Patience: patience, Charge: charge})
}

// collect takes the answers in.
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
