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

// modelRuns is the number of model runs in one test.
const modelRuns = 20_000

var _ = Describe("A program without a record in the log", func() {
	It("never uses more than its budget and one turn, whatever happens to owners and the log", func() {
		for seed := range uint64(modelRuns) {
			model := newOwnerModel(seed)
			for range 120 {
				model.step()
			}
			Expect(model.used).To(BeNumerically("<=", model.budget+model.maxTokens), "seed %d", seed)
		}
	})
})

// ownerModel simulates one program at successive owners of its partition. Owners fail,
// release the partition, or continue without noticing that they were replaced. Turns are
// settled at any owner, late, twice, or never.
type ownerModel struct {
	random *rand.Rand
	now    time.Time
	stored storedLog
	// current is the owner according to the log; previous are replaced owners that
	// continue.
	current  *ledger.Ledger
	previous []*ledger.Ledger
	logDown  bool
	// batchUnanswered reports that the log has a batch of the current owner whose commit
	// was not reported to the owner yet.
	batchUnanswered bool
	// storeShare is the share of turns that are stored. variedTurns reports that turns
	// differ in size, and singleRecordBatches that each batch holds one record.
	storeShare float64
	// restoredAccount reports that the current owner restored the program's account from
	// the log, with no assumed use.
	restoredAccount     bool
	variedTurns         bool
	singleRecordBatches bool
	// unrecordedMinBudget is the lowest budget of which a share may be used without a
	// record. A former owner is of a version in which that was every budget.
	unrecordedMinBudget int
	former              bool
	budget              int
	maxTokens           int
	used                int
	turns               int
	owners              int
	// states are the final states of previous owners.
	states []formerState
	// unsettled are settlements that may still be delivered. requested are turns whose
	// admission was lost on the way, so that none of their tokens was delivered.
	unsettled []ledger.Settlement
	requested []ledger.Turn
}

// formerState is the final state of a previous owner, which may be sent again.
type formerState struct {
	ledger.FormerState
	takenAt time.Time
}

func newOwnerModel(seed uint64) *ownerModel {
	budgets := []int{600, 750, 900, 1050, 1200, 100, 163, 250, 340}
	model := &ownerModel{
		random: rand.New(rand.NewPCG(seed, 7)), now: start, stored: storedLog{}, maxTokens: 100, budget: budgets[seed%uint64(len(budgets))],
		storeShare: float64(seed/16%4) / 3, variedTurns: seed/64%2 == 0, singleRecordBatches: seed/128%2 == 0,
		unrecordedMinBudget: []int{0, 700, 1500}[seed/256%3], former: seed/768%2 == 0,
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
	config.UnrecordedMinBudget = m.unrecordedMinBudget
	if m.former {
		m.stored.makeFormer()
		m.former = m.random.IntN(2) == 0
	}
	if m.former {
		config.UnrecordedMinBudget = 0
	}
	l := m.stored.restoreWith(m.now, config)
	l.ConfirmOwnership(m.now)
	m.owners++
	l.Identify(strconv.Itoa(m.owners))
	l.Open(m.now)
	return l
}

// makeFormer replaces the open record of an owner by that of a former version.
func (s storedLog) makeFormer() {
	value, _, _ := strings.Cut(string(s["open"]), ":")
	if former, found := map[string]string{"3": "1", "4": "2"}[value]; found {
		s["open"] = []byte(former)
	}
}

// step performs one random action.
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
	case draw < 12:
		m.noticeReplacement()
	case draw < 25 && !m.logDown:
		m.append()
	case draw < 40 && !m.logDown:
		m.appendOne()
	case draw < 45:
		// Nothing happens for a while.
		m.now = m.now.Add(time.Duration(m.random.IntN(6)) * time.Second)
	case draw < 55:
		m.repeatSettlement()
	default:
		m.serve()
	}
}

// takeOver replaces the owner. The previous one continues half of the time.
func (m *ownerModel) takeOver() {
	if m.random.IntN(2) == 0 {
		m.previous = append(m.previous, m.current)
	}
	m.current = m.open()
}

// noticeReplacement has a previous owner notice that it was replaced. Its final state
// reaches the current owner, or an earlier state comes again.
func (m *ownerModel) noticeReplacement() {
	if len(m.previous) > 0 {
		m.states = append(m.states, formerState{FormerState: m.previous[0].FormerState(m.now), takenAt: m.now})
		m.previous = m.previous[1:]
	}
	if len(m.states) > 0 {
		state := m.states[m.random.IntN(len(m.states))]
		state.ConfirmedAgo += m.now.Sub(state.takenAt)
		m.current.Reconcile(m.now, state.FormerState)
	}
}

// append appends all that the owner has ready, and confirms its ownership at the time of
// the append.
func (m *ownerModel) append() {
	m.deliverAnswer()
	m.current.ConfirmOwnership(m.now)
	m.stored.store(m.current)
}

// appendOne appends one batch, without delivering the answer to the owner yet.
func (m *ownerModel) appendOne() {
	m.deliverAnswer()
	batch := m.current.Ready()
	m.batchUnanswered = batch != nil
	m.stored.put(batch)
}

// deliverAnswer delivers the answer to an appended batch.
func (m *ownerModel) deliverAnswer() {
	if m.batchUnanswered {
		m.batchUnanswered = false
		m.current.BatchCommitted()
	}
}

// any returns the owner according to the log, or one that has not noticed its
// replacement.
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
		// The first mark leaves one token of the budget.
		Expect(m.used).To(BeNumerically("<=", admission.SettledTokens+admission.OpenTokens+1), "what the owner counts")
	}
	if admission.Verdict != ledger.VerdictGranted {
		return
	}
	if m.random.IntN(12) == 0 {
		// The answer is lost: the turn is requested again later.
		m.requested = append(m.requested, requested)
		return
	}
	end := ledger.Settlement{Turn: requested.ID, Program: "p", Grant: admission.Grant}
	if admission.Position > owner.Durable() {
		if owner != m.current || m.logDown {
			// Its tokens wait for the log until the client disconnects.
			m.end(owner, end)
			return
		}
		m.append()
	}
	if m.random.IntN(6) > 0 {
		end.Tokens = requested.MaxTokens - m.random.IntN(2)*m.random.IntN(requested.MaxTokens)
	}
	m.used += end.Tokens
	if requested.StoreOnSuccess && m.random.IntN(3) > 0 {
		m.storeTurn(end)
		return
	}
	m.end(owner, end)
}

// nextTurn returns a new turn, or one that was requested before.
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
		ID: strconv.Itoa(m.turns), Program: "p", MaxTokens: maxTokens, Budget: m.budget, Timeout: time.Second, Retain: time.Minute,
		StoreOnSuccess: m.random.Float64() < m.storeShare,
	}
}

// end settles a turn at the owner that granted it, at the one according to the log, at
// both, or at none yet.
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

// repeatSettlement settles an earlier turn, possibly not for the last time.
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

// storeTurn stores a turn at the current owner. The answer may be lost, and the owner may
// fail.
func (m *ownerModel) storeTurn(end ledger.Settlement) {
	for range 2 {
		m.current.Settle(m.now, end)
		m.current.StoreTurn(m.now, ledger.StoredTurn{ID: end.Turn, Program: "p", Input: []byte("x"), Retain: time.Minute})
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
