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
	owed float64
}

// due returns how many requests are to be sent in the next step.
func (f *flow) due() (count int) {
	f.owed += f.perSecond * step.Seconds()
	for ; f.owed >= 1; f.owed-- {
		count++
	}
	return count
}

// questions are charges that nodes of a fleet were asked for, each on behalf of a T.
type questions[T any] struct {
	world *fleet
	// open are those without an answer.
	open map[uint64]openQuestion[T]
	next uint64
}

type openQuestion[T any] struct {
	of T
	at machine.ID
}

func newQuestions[T any](world *fleet) questions[T] {
	return questions[T]{world: world, open: map[uint64]openQuestion[T]{}}
}

// anyNode draws a node; false where it does not run.
func (q *questions[T]) anyNode() (machine.ID, bool) {
	ids := q.world.ids()
	if len(ids) == 0 {
		return "", false
	}
	at := ids[q.world.random.IntN(len(ids))]
	return at, !q.world.nodes[at].frozen
}

// ask has a node ask for a charge, under an id of its own.
func (q *questions[T]) ask(of T, at machine.ID, patience time.Duration, charge coordinator.Charge) {
	q.next++
	q.open[q.next] = openQuestion[T]{of: of, at: at}
	charge.Request.ID = fmt.Sprint(q.next)
	q.world.send(at, 0, coordinator.ChargeRequested{ID: q.next, Patience: patience, Charge: charge})
}

// collect takes the answers in.
func (q *questions[T]) collect(take func(of T, charged coordinator.Charged)) {
	for _, id := range q.world.ids() {
		member := q.world.nodes[id]
		for _, charged := range member.charged {
			open, known := q.open[charged.ID]
			if !known || open.at != id {
				continue
			}
			delete(q.open, charged.ID)
			take(open.of, charged)
		}
		member.charged = nil
	}
}
