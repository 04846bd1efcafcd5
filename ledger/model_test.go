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
			model := newOwnerModel(seed)
			for range 120 {
				model.step()
			}
			Expect(model.used).To(BeNumerically("<=", model.budget+model.maxTokens), "seed %d", seed)
		}
	})
})

// ownerModel plays one program at successive owners of its partition. Owners are
// lost, give up in order, or stay without knowing that they were followed. The ends of
// turns are told to any owner, late, twice, or never.
type ownerModel struct {
	random *rand.Rand
	now    time.Time
	stored storedLog
	// current is the owner by the log; formers were followed and live on.
	current  *ledger.Ledger
	previous []*ledger.Ledger
	logDown  bool
	// batchUnanswered says that the log has a batch of the present owner, which was not told.
	batchUnanswered bool
	// storeShare is the share of turns that are kept, varied says that turns differ in size,
	// and single that each batch holds one record.
	storeShare float64
	// restoredAccount says that the present owner found the program in the log, and assumed
	// nothing of it.
	restoredAccount     bool
	variedTurns         bool
	singleRecordBatches bool
	budget              int
	maxTokens           int
	used                int
	turns               int
	// unsettled are ends of turns that may still be told, and asked are turns whose answer
	// from an owner was lost, so that none of their tokens was handed out.
	unsettled []ledger.Settlement
	requested []ledger.Turn
}

func newOwnerModel(seed uint64) *ownerModel {
	budgets := []int{600, 750, 900, 1050, 1200, 100, 163, 250, 340}
	model := &ownerModel{
		random: rand.New(rand.NewPCG(seed, 7)), now: start, stored: storedLog{}, maxTokens: 100, budget: budgets[seed%uint64(len(budgets))],
		storeShare: float64(seed/16%4) / 3, variedTurns: seed/64%2 == 0, singleRecordBatches: seed/128%2 == 0,
	}
	model.current = model.open()
	return model
}

// open returns the ledger of a new owner.
func (m *ownerModel) open() *ledger.Ledger {
	m.batchUnanswered = false
	record, found := m.stored["account/p"]
	m.restoredAccount = found && !strings.Contains(string(record), "assumed")
	config := unrecordedConfig()
	if m.singleRecordBatches {
		config.BatchRecords = 1
	}
	l := m.stored.restoreWith(m.now, config)
	l.Prove(m.now)
	l.Open(m.now)
	return l
}

// step lets one thing happen.
func (m *ownerModel) step() {
	m.now = m.now.Add(time.Duration(m.random.IntN(400)) * time.Millisecond)
	switch draw := m.random.IntN(100); {
	case draw < 4:
		m.logDown = !m.logDown
	case draw < 8 && !m.logDown:
		m.takeOver()
	case draw == 8:
		m.current.Close(m.now)
	case draw == 9 && !m.logDown:
		m.current.Close(m.now)
		m.append()
		m.takeOver()
	case draw < 25 && !m.logDown:
		m.append()
	case draw < 40 && !m.logDown:
		m.appendOne()
	case draw < 45:
		// Nothing happens for long.
		m.now = m.now.Add(time.Duration(m.random.IntN(6)) * time.Second)
	case draw < 55:
		m.repeatSettlement()
	default:
		m.serve()
	}
}

// takeOver has another node own the partition. The former owner lives on half
// of the time.
func (m *ownerModel) takeOver() {
	if m.random.IntN(2) == 0 {
		m.previous = append(m.previous, m.current)
	}
	m.current = m.open()
}

// append has the log take what the owner has ready, as it was at some moment
// before the answer came.
func (m *ownerModel) append() {
	m.deliverAnswer()
	m.current.Prove(m.now)
	m.stored.store(m.current)
}

// appendOne has the log take one batch, whose answer is on its way.
func (m *ownerModel) appendOne() {
	m.deliverAnswer()
	batch := m.current.Ready()
	m.batchUnanswered = batch != nil
	m.stored.put(batch)
}

// deliverAnswer has the answer to a batch arrive.
func (m *ownerModel) deliverAnswer() {
	if m.batchUnanswered {
		m.batchUnanswered = false
		m.current.Stored()
	}
}

// any returns the owner by the log, or one that does not know its successor.
func (m *ownerModel) any() *ledger.Ledger {
	if len(m.previous) > 0 && m.random.IntN(3) == 0 {
		return m.previous[m.random.IntN(len(m.previous))]
	}
	return m.current
}

// serve runs a turn at an owner.
func (m *ownerModel) serve() {
	owner := m.any()
	requested := m.nextTurn()
	admission := owner.Admit(m.now, requested)
	if owner == m.current && m.restoredAccount {
		// The first mark leaves a token of the budget.
		Expect(m.used).To(BeNumerically("<=", admission.Settled+admission.Open+1), "what the owner counts")
	}
	if admission.Verdict != ledger.VerdictGranted {
		return
	}
	if m.random.IntN(12) == 0 {
		// The answer is lost: the turn is asked for again later.
		m.requested = append(m.requested, requested)
		return
	}
	end := ledger.Settlement{Turn: requested.ID, Program: "p", Grant: admission.Grant}
	if admission.Position > owner.Durable() {
		if owner != m.current || m.logDown {
			// Its tokens wait for the log until the client has left.
			m.end(owner, end)
			return
		}
		m.append()
	}
	if m.random.IntN(6) > 0 {
		end.Tokens = requested.Most - m.random.IntN(2)*m.random.IntN(requested.Most)
	}
	m.used += end.Tokens
	if requested.Keeps && m.random.IntN(3) > 0 {
		m.storeTurn(end)
		return
	}
	m.end(owner, end)
}

// nextTurn is a new turn, or one that was asked for before.
func (m *ownerModel) nextTurn() ledger.Turn {
	if len(m.requested) > 0 && m.random.IntN(2) == 0 {
		turn := m.requested[len(m.requested)-1]
		m.requested = m.requested[:len(m.requested)-1]
		return turn
	}
	m.turns++
	maxTokens := m.maxTokens
	if m.variedTurns {
		maxTokens = 20 + m.random.IntN(m.maxTokens-19)
	}
	return ledger.Turn{
		ID: strconv.Itoa(m.turns), Program: "p", Most: maxTokens, Budget: m.budget, Within: time.Second, Retain: time.Minute,
		Keeps: m.random.Float64() < m.storeShare,
	}
}

// end tells the end of a turn to the owner that granted it, to the one by the log, to
// both, or to nobody yet.
func (m *ownerModel) end(granter *ledger.Ledger, end ledger.Settlement) {
	switch m.random.IntN(6) {
	case 0:
	case 1:
		m.current.Settle(m.now, end)
	case 2:
		granter.Settle(m.now, end)
		m.unsettled = append(m.unsettled, end)
		return
	default:
		granter.Settle(m.now, end)
		return
	}
	if m.random.IntN(2) == 0 {
		m.unsettled = append(m.unsettled, end)
	}
}

// repeatSettlement tells the end of an earlier turn, maybe not for the last time.
func (m *ownerModel) repeatSettlement() {
	if len(m.unsettled) == 0 {
		return
	}
	index := m.random.IntN(len(m.unsettled))
	m.any().Settle(m.now, m.unsettled[index])
	if m.random.IntN(2) == 0 {
		m.unsettled = append(m.unsettled[:index], m.unsettled[index+1:]...)
	}
}

// storeTurn has the owner by the log keep a turn. The answer may be lost, and the owner.
func (m *ownerModel) storeTurn(end ledger.Settlement) {
	for range 2 {
		m.current.Settle(m.now, end)
		m.current.Keep(m.now, ledger.KeptTurn{ID: end.Turn, Program: "p", Input: []byte("x"), Retain: time.Minute})
		if !m.logDown && m.random.IntN(2) == 0 {
			m.append()
		} else if !m.logDown {
			m.appendOne()
		}
		if m.random.IntN(4) > 0 {
			return
		}
		if !m.logDown && m.random.IntN(2) == 0 {
			m.takeOver()
		}
	}
}
