package ledger_test

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/ledger"
)

// modelRuns is how many runs of the model one test plays.
const modelRuns = 20_000

var _ = Describe("A program that the log does not know", func() {
	It("never uses more than its budget and one turn, whatever happens to owners and log", func() {
		for seed := range uint64(modelRuns) {
			world := newOwners(seed)
			for range 120 {
				world.step()
			}
			Expect(world.used).To(BeNumerically("<=", world.budget+world.most), "seed %d", seed)
		}
	})
})

// owners plays one program at successive owners of its partition. Owners are
// lost, give up in order, or stay without knowing that they were followed. The ends of
// turns are told to any owner, late, twice, or never.
type owners struct {
	random *rand.Rand
	now    time.Time
	stored log
	// current is the owner by the log; formers were followed and live on.
	current *ledger.Ledger
	formers []*ledger.Ledger
	down    bool
	// unanswered says that the log has a batch of the present owner, which was not told.
	unanswered bool
	// keeps is the share of turns that are kept, varied says that turns differ in size,
	// and single that each batch holds one record.
	keeps float64
	// known says that the present owner found the program in the log, and assumed
	// nothing of it.
	known  bool
	varied bool
	single bool
	budget int
	most   int
	used   int
	turns  int
	// untold are ends of turns that may still be told, and asked are turns whose answer
	// from an owner was lost, so that none of their tokens was handed out.
	untold []ledger.Settlement
	asked  []ledger.Turn
}

func newOwners(seed uint64) *owners {
	budgets := []int{600, 750, 900, 1050, 1200, 100, 163, 250, 340}
	world := &owners{
		random: rand.New(rand.NewPCG(seed, 7)), now: start, stored: log{}, most: 100, budget: budgets[seed%uint64(len(budgets))],
		keeps: float64(seed/16%4) / 3, varied: seed/64%2 == 0, single: seed/128%2 == 0,
	}
	world.current = world.open()
	return world
}

// open returns the ledger of a new owner.
func (o *owners) open() *ledger.Ledger {
	o.unanswered = false
	record, found := o.stored["account/p"]
	o.known = found && !strings.Contains(string(record), "assumed")
	config := unrecordedConfig()
	if o.single {
		config.BatchRecords = 1
	}
	books := o.stored.restoreWith(o.now, config)
	books.Prove(o.now)
	books.Open(o.now)
	return books
}

// step lets one thing happen.
func (o *owners) step() {
	o.now = o.now.Add(time.Duration(o.random.IntN(400)) * time.Millisecond)
	switch draw := o.random.IntN(100); {
	case draw < 4:
		o.down = !o.down
	case draw < 8 && !o.down:
		o.takeOver()
	case draw == 8:
		o.current.Close(o.now)
	case draw == 9 && !o.down:
		o.current.Close(o.now)
		o.append()
		o.takeOver()
	case draw < 25 && !o.down:
		o.append()
	case draw < 40 && !o.down:
		o.appendOne()
	case draw < 45:
		// Nothing happens for long.
		o.now = o.now.Add(time.Duration(o.random.IntN(6)) * time.Second)
	case draw < 55:
		o.tell()
	default:
		o.serve()
	}
}

// takeOver has another node own the partition. The former owner lives on half
// of the time.
func (o *owners) takeOver() {
	if o.random.IntN(2) == 0 {
		o.formers = append(o.formers, o.current)
	}
	o.current = o.open()
}

// append has the log take what the owner has ready, as it was at some moment
// before the answer came.
func (o *owners) append() {
	o.answer()
	o.current.Prove(o.now)
	o.stored.store(o.current)
}

// appendOne has the log take one batch, whose answer is on its way.
func (o *owners) appendOne() {
	o.answer()
	batch := o.current.Ready()
	o.unanswered = batch != nil
	o.stored.put(batch)
}

// answer has the answer to a batch arrive.
func (o *owners) answer() {
	if o.unanswered {
		o.unanswered = false
		o.current.Stored()
	}
}

// any returns the owner by the log, or one that does not know its successor.
func (o *owners) any() *ledger.Ledger {
	if len(o.formers) > 0 && o.random.IntN(3) == 0 {
		return o.formers[o.random.IntN(len(o.formers))]
	}
	return o.current
}

// serve runs a turn at an owner.
func (o *owners) serve() {
	at := o.any()
	asked := o.nextTurn()
	admission := at.Admit(o.now, asked)
	if at == o.current && o.known {
		// The first mark leaves a token of the budget.
		Expect(o.used).To(BeNumerically("<=", admission.Settled+admission.Open+1), "what the owner counts")
	}
	if admission.Verdict != ledger.VerdictGranted {
		return
	}
	if o.random.IntN(12) == 0 {
		// The answer is lost: the turn is asked for again later.
		o.asked = append(o.asked, asked)
		return
	}
	end := ledger.Settlement{Turn: asked.ID, Program: "p", Grant: admission.Grant}
	if admission.Position > at.Durable() {
		if at != o.current || o.down {
			// Its tokens wait for the log until the client has left.
			o.end(at, end)
			return
		}
		o.append()
	}
	if o.random.IntN(6) > 0 {
		end.Tokens = asked.Most - o.random.IntN(2)*o.random.IntN(asked.Most)
	}
	o.used += end.Tokens
	if asked.Keeps && o.random.IntN(3) > 0 {
		o.keep(end)
		return
	}
	o.end(at, end)
}

// nextTurn is a new turn, or one that was asked for before.
func (o *owners) nextTurn() ledger.Turn {
	if len(o.asked) > 0 && o.random.IntN(2) == 0 {
		last := o.asked[len(o.asked)-1]
		o.asked = o.asked[:len(o.asked)-1]
		return last
	}
	o.turns++
	most := o.most
	if o.varied {
		most = 20 + o.random.IntN(o.most-19)
	}
	return ledger.Turn{
		ID: strconv.Itoa(o.turns), Program: "p", Most: most, Budget: o.budget, Within: time.Second, Retain: time.Minute,
		Keeps: o.random.Float64() < o.keeps,
	}
}

// end tells the end of a turn to the owner that granted it, to the one by the log, to
// both, or to nobody yet.
func (o *owners) end(granter *ledger.Ledger, end ledger.Settlement) {
	switch o.random.IntN(6) {
	case 0:
	case 1:
		o.current.Settle(o.now, end)
	case 2:
		granter.Settle(o.now, end)
		o.untold = append(o.untold, end)
		return
	default:
		granter.Settle(o.now, end)
		return
	}
	if o.random.IntN(2) == 0 {
		o.untold = append(o.untold, end)
	}
}

// tell tells the end of an earlier turn, maybe not for the last time.
func (o *owners) tell() {
	if len(o.untold) == 0 {
		return
	}
	index := o.random.IntN(len(o.untold))
	o.any().Settle(o.now, o.untold[index])
	if o.random.IntN(2) == 0 {
		o.untold = append(o.untold[:index], o.untold[index+1:]...)
	}
}

// keep has the owner by the log keep a turn. The answer may be lost, and the owner.
func (o *owners) keep(end ledger.Settlement) {
	for range 2 {
		o.current.Settle(o.now, end)
		o.current.Keep(o.now, ledger.KeptTurn{ID: end.Turn, Program: "p", Input: []byte("x"), Retain: time.Minute})
		if !o.down && o.random.IntN(2) == 0 {
			o.append()
		} else if !o.down {
			o.appendOne()
		}
		if o.random.IntN(4) > 0 {
			return
		}
		if !o.down && o.random.IntN(2) == 0 {
			o.takeOver()
		}
	}
}
