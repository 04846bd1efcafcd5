package ledger_test

import (
	"math/rand/v2"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/ledger"
)

// The budget of a program of two turns, the maximum of each of its turns, and the tokens of one
// event of a stream.
const (
	twoTurnBudget    = 576
	twoTurnMaxTokens = 288
	eventTokens      = 9
)

// streamTurn returns a turn whose node is in its first process.
func streamTurn(id, node string) ledger.Turn {
	return ledger.Turn{
		ID: id, Program: "p", MaxTokens: twoTurnMaxTokens, Budget: twoTurnBudget, Timeout: 4 * time.Second, Retain: time.Minute, Node: node, Process: 1,
	}
}

// resumedTurn returns a turn that resumes a stream of which the client has received tokens.
func resumedTurn(id, node, stream string, received int) ledger.Turn {
	turn := streamTurn(id, node)
	turn.MaxTokens, turn.Resumes, turn.Received = twoTurnMaxTokens-received, stream, received
	return turn
}

var _ = Describe("A stream that is resumed", func() {
	// open returns an owner at which a program has had a first turn and has a second one under way.
	open := func(stored storedLog) *ledger.Ledger {
		l := stored.serving(start)
		first := l.Admit(start, streamTurn("1", "n1"))
		Expect(first.Verdict).To(Equal(ledger.VerdictGranted))
		l.Settle(start, settlementOf("1", first, 216))
		Expect(l.Admit(start, streamTurn("2", "n1")).Verdict).To(Equal(ledger.VerdictGranted))
		stored.store(l)
		return l
	}

	// Guards against refusing the last turn of a program whose node was lost: the lost attempt
	// held the rest of the budget.
	It("is not refused because its lost attempt holds the rest of the budget", func() {
		l := open(storedLog{})
		Expect(l.Admit(start, streamTurn("other", "n2")).Verdict).To(Equal(ledger.VerdictBusy), "another turn")
		resumed := l.Admit(start, resumedTurn("3", "n2", "2", 5*eventTokens))
		Expect(resumed.Verdict).To(Equal(ledger.VerdictGranted), "%+v", resumed)
	})

	It("is not refused at an owner that took the partition over from the lost node", func() {
		stored := storedLog{}
		open(stored)
		l := stored.serving(start)
		l.LapseUnclaimed(start, nil)
		resumed := l.Admit(start, resumedTurn("3", "n2", "2", 5*eventTokens))
		Expect(resumed.Verdict).To(Equal(ledger.VerdictGranted), "%+v", resumed)
	})

	// Guards against refusing it where the lost owner's last record allows for all of the budget.
	It("is not refused at an owner that found the whole budget counted as used", func() {
		stored := storedLog{}
		l := stored.serving(start)
		first := l.Admit(start, streamTurn("1", "n1"))
		stored.store(l)
		l.Settle(start, settlementOf("1", first, 216))
		Expect(l.Admit(start, streamTurn("2", "n1")).Verdict).To(Equal(ledger.VerdictGranted))
		l.BeginStream(start, ledger.Stream{Attempt: "2"})
		successor := stored.serving(start)
		successor.LapseUnclaimed(start, nil)
		successor.BeginStream(start, ledger.Stream{Attempt: "2"})
		resumed := successor.Admit(start, resumedTurn("3", "n2", "2", 5*eventTokens))
		Expect(resumed.Verdict).To(Equal(ledger.VerdictGranted), "%+v", resumed)
		Expect(resumed.SettledTokens + resumed.OpenTokens).To(Equal(twoTurnBudget))
	})

	It("is not refused after its attempt was settled with more than the client has read", func() {
		l := open(storedLog{})
		l.BeginStream(start, ledger.Stream{Attempt: "2"})
		l.Settle(start, ledger.Settlement{Turn: "2", Program: "p", Tokens: 2 * 5 * eventTokens})
		resumed := l.Admit(start, resumedTurn("3", "n2", "2", eventTokens))
		Expect(resumed.Verdict).To(Equal(ledger.VerdictGranted), "%+v", resumed)
	})

	It("is one turn of the program, however often its node is lost", func() {
		l := open(storedLog{})
		process := uint64(1)
		for attempt := range 5 {
			process++
			Expect(l.LapseLost(start, map[string]uint64{"n1": process})).To(Equal(1))
			received := (attempt + 1) * 2 * eventTokens
			turn := resumedTurn(strconv.Itoa(3+attempt), "n1", "2", received)
			turn.Process = process
			resumed := l.Admit(start, turn)
			Expect(resumed.Verdict).To(Equal(ledger.VerdictGranted), "attempt %d: %+v", attempt, resumed)
			Expect(resumed.SettledTokens+resumed.OpenTokens).To(Equal(216+received), "attempt %d", attempt)
		}
	})

	It("holds its part of the budget a second time if it is resumed twice at once", func() {
		l := open(storedLog{})
		Expect(l.Admit(start, resumedTurn("3", "n2", "2", 5*eventTokens)).Verdict).To(Equal(ledger.VerdictGranted))
		Expect(l.Admit(start, resumedTurn("4", "n2", "2", 5*eventTokens)).Verdict).To(Equal(ledger.VerdictBusy))
	})

	It("is not resumed for an attempt of another program", func() {
		l := open(storedLog{})
		other := streamTurn("foreign", "n1")
		other.Program = "q"
		Expect(l.Admit(start, other).Verdict).To(Equal(ledger.VerdictGranted))
		Expect(l.Admit(start, resumedTurn("3", "n2", "foreign", 5*eventTokens)).Verdict).To(Equal(ledger.VerdictBusy))
	})

	It("counts what a lost attempt reports late", func() {
		l := open(storedLog{})
		l.LapseLost(start, map[string]uint64{"n1": 2})
		l.Settle(start, ledger.Settlement{Turn: "2", Program: "p", Tokens: 30})
		next := l.Admit(start, streamTurn("3", "n2"))
		Expect(next.Verdict).To(Equal(ledger.VerdictGranted))
		Expect(next.SettledTokens).To(Equal(216 + 30))
	})

	// Guards against counting too little where a node asks for the same admission again: its first
	// attempt may have gone on meanwhile.
	It("does not lower what its lost attempt counts when its admission is asked for again", func() {
		l := open(storedLog{})
		resumed := resumedTurn("3", "n2", "2", eventTokens)
		Expect(l.Admit(start, resumed).Verdict).To(Equal(ledger.VerdictGranted))
		l.LapseLost(start, map[string]uint64{"n1": 2})
		again := l.Admit(start, resumed)
		Expect(again.Repeated).To(BeTrue())
		Expect(again.SettledTokens).To(Equal(216 + twoTurnMaxTokens))
	})

	It("leaves the turns of other processes alone", func() {
		l := open(storedLog{})
		Expect(l.LapseLost(start, map[string]uint64{"n2": 9})).To(BeZero())
		Expect(l.LapseLost(start, map[string]uint64{"n1": 1})).To(BeZero())
		Expect(l.LapseLost(start, map[string]uint64{"n1": 2})).To(Equal(1))
		Expect(l.LapseLost(start, map[string]uint64{"n1": 3})).To(BeZero(), "it has lapsed")
	})

	It("never has its program's clients receive more than the budget and one turn", func() {
		for seed := range uint64(modelRuns) {
			model := newStreamModel(seed)
			for range 100 {
				model.step()
			}
			Expect(model.received).To(BeNumerically("<=", model.budget+streamModelMaxTokens), "seed %d", seed)
		}
	})
})

const streamModelMaxTokens = 100

// streamModel simulates a program whose streams break off and are resumed, at owners that fail.
// A node ends, or stands still and continues later, and the client reads what it gets of all
// attempts. Of a process that has ended nothing more comes, and the owner may learn that late.
type streamModel struct {
	random *rand.Rand
	now    time.Time
	stored storedLog
	owner  *ledger.Ledger
	budget int
	// processes holds the present process of each node, and restarted that of the nodes that have
	// restarted.
	processes map[string]uint64
	restarted map[string]uint64
	attempts  []*streamAttempt
	// receivedOf holds what the client received of each stream, and received the total.
	receivedOf map[string]int
	received   int
	turns      int
	owners     int
}

// streamAttempt is an attempt at a stream that may still deliver tokens.
type streamAttempt struct {
	turn      ledger.Turn
	stream    string
	grant     uint64
	delivered int
	ended     bool
}

func newStreamModel(seed uint64) *streamModel {
	budgets := []int{200, 230, 350, 600, 1000}
	m := &streamModel{
		random: rand.New(rand.NewPCG(seed, 11)), now: start, stored: storedLog{}, budget: budgets[seed%uint64(len(budgets))],
		processes: map[string]uint64{"n0": 1, "n1": 1, "n2": 1}, restarted: make(map[string]uint64), receivedOf: make(map[string]int),
	}
	m.takeOver()
	return m
}

func (m *streamModel) takeOver() {
	config := unrecordedConfig()
	config.UnrecordedMinBudget = 700
	m.owner = m.stored.restoreWith(m.now, config)
	m.owner.ConfirmOwnership(m.now)
	m.owners++
	m.owner.Identify(strconv.Itoa(m.owners))
	m.owner.Open(m.now)
	if m.random.IntN(2) == 0 {
		m.owner.LapseUnclaimed(m.now, m.claims())
	}
}

// claims returns the unsettled turns of the processes that live.
func (m *streamModel) claims() (claims []ledger.Claim) {
	for _, attempt := range m.attempts {
		if !attempt.ended && m.lives(attempt) {
			claims = append(claims, ledger.Claim{Turn: attempt.turn.ID, Program: "p", Grant: attempt.grant})
		}
	}
	return claims
}

func (m *streamModel) lives(attempt *streamAttempt) bool {
	return m.processes[attempt.turn.Node] == attempt.turn.Process
}

// step performs one random action.
func (m *streamModel) step() {
	m.now = m.now.Add(time.Duration(m.random.IntN(300)) * time.Millisecond)
	switch draw := m.random.IntN(100); {
	case draw < 8:
		m.restart()
	case draw < 16:
		m.owner.LapseLost(m.now, m.restarted)
	case draw < 18:
		m.takeOver()
	case draw < 40:
		m.begin(m.newTurn(""))
	case draw < 60:
		m.resume()
	case draw < 85:
		m.deliver()
	case draw < 92:
		m.askAgain()
	default:
		m.settle()
	}
}

func (m *streamModel) node() string { return "n" + strconv.Itoa(m.random.IntN(len(m.processes))) }

// restart ends the process of a node and starts another one.
func (m *streamModel) restart() {
	node := m.node()
	m.processes[node]++
	m.restarted[node] = m.processes[node]
}

// newTurn returns a turn that begins a stream, or one that resumes the given one.
func (m *streamModel) newTurn(stream string) ledger.Turn {
	m.turns++
	node := m.node()
	turn := ledger.Turn{
		ID: strconv.Itoa(m.turns), Program: "p", MaxTokens: streamModelMaxTokens, Budget: m.budget, Timeout: 2 * time.Second, Retain: time.Minute,
		Node: node, Process: m.processes[node],
	}
	if received := m.receivedOf[stream]; stream != "" {
		turn.Resumes, turn.Received = stream, received
		turn.MaxTokens = max(1, streamModelMaxTokens-received)
	}
	return turn
}

func (m *streamModel) begin(turn ledger.Turn) {
	admission := m.owner.Admit(m.now, turn)
	if admission.Verdict != ledger.VerdictGranted {
		return
	}
	if admission.Position > m.owner.Durable() {
		m.owner.ConfirmOwnership(m.now)
		m.stored.store(m.owner)
	}
	stream := turn.Resumes
	if stream == "" {
		stream = turn.ID
		m.owner.BeginStream(m.now, ledger.Stream{Attempt: stream})
	}
	m.attempts = append(m.attempts, &streamAttempt{turn: turn, stream: stream, grant: admission.Grant})
}

// resume resumes a stream of which the client has received something. Its other attempts may
// go on, and it may be resumed more than once.
func (m *streamModel) resume() {
	if attempt := m.any(); attempt != nil && m.receivedOf[attempt.stream] > 0 {
		m.begin(m.newTurn(attempt.stream))
	}
}

// askAgain requests the admission of a turn once more, as nodes do whose answer was lost. What
// its client had received when it was sent is out of date.
func (m *streamModel) askAgain() {
	attempt := m.any()
	if attempt == nil || attempt.ended || !m.lives(attempt) {
		return
	}
	if admission := m.owner.Admit(m.now, attempt.turn); admission.Verdict != ledger.VerdictGranted {
		attempt.ended = true
	}
}

// any returns an attempt, or nil.
func (m *streamModel) any() *streamAttempt {
	if len(m.attempts) == 0 {
		return nil
	}
	return m.attempts[m.random.IntN(len(m.attempts))]
}

// deliver has an attempt deliver tokens, unless it or its process has ended.
func (m *streamModel) deliver() {
	attempt := m.any()
	if attempt == nil || attempt.ended || !m.lives(attempt) {
		return
	}
	tokens := min(1+m.random.IntN(50), attempt.turn.MaxTokens-attempt.delivered)
	attempt.delivered += tokens
	m.received += tokens
	m.receivedOf[attempt.stream] += tokens
}

// settle ends an attempt. Its settlement may be lost.
func (m *streamModel) settle() {
	attempt := m.any()
	if attempt == nil || attempt.ended || !m.lives(attempt) {
		return
	}
	attempt.ended = true
	if m.random.IntN(4) > 0 {
		m.owner.Settle(m.now, ledger.Settlement{Turn: attempt.turn.ID, Program: "p", Grant: attempt.grant, Tokens: attempt.delivered})
	}
}
