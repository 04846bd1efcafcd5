package history_test

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/history"
)

// clone returns a deep copy of a history, so that a mutation does not change
// the original.
func clone(events []history.Event) []history.Event {
	text, err := json.Marshal(events)
	Expect(err).NotTo(HaveOccurred())
	var copied []history.Event
	Expect(json.Unmarshal(text, &copied)).To(Succeed())
	return copied
}

// find returns the first event that satisfies the condition.
func find(events []history.Event, condition func(history.Event) bool) *history.Event {
	i := slices.IndexFunc(events, condition)
	Expect(i).To(BeNumerically(">=", 0), "no such event")
	return &events[i]
}

func startOf(events []history.Event, id api.ProgramID, sequence uint64) *history.Event {
	return find(events, func(e history.Event) bool {
		return e.AttemptStarted != nil && e.AttemptStarted.Program == id && e.AttemptStarted.Sequence == sequence
	})
}

func answerOf(events []history.Event, request string) *history.Event {
	return find(events, func(e history.Event) bool { return e.Got != nil && e.Got.Request == request })
}

func insert(events []history.Event, seconds float64, event history.Event) []history.Event {
	event.At = at(seconds)
	return append(events, event)
}

// violation is a mutation that makes a valid history violate one invariant.
type violation struct {
	invariant history.Invariant
	mutate    func(events []history.Event) []history.Event
}

var _ = Describe("Check", func() {
	It("finds nothing in a history that keeps every promise", func() {
		report := history.CheckEvents(validHistory())
		Expect(report.Findings).To(BeEmpty())
		Expect(report.Undecided).To(BeZero())
		Expect(report.Programs).To(Equal(3))
		Expect(report.Calls).To(Equal(7))
	})

	DescribeTable("reports the broken promise and no other",
		func(each violation) {
			report := history.CheckEvents(each.mutate(clone(validHistory())))
			Expect(report.Broken()).To(Equal([]history.Invariant{each.invariant}), report.String())
			for _, finding := range report.Findings {
				Expect(finding.Seed).To(BeEquivalentTo(seed))
				Expect(finding.Lines).NotTo(BeEmpty())
			}
		},
		Entry("order: a call starts before the one before it is over", violation{history.InvariantOrder, func(events []history.Event) []history.Event {
			startOf(events, chat, 2).At = at(2.5)
			return events
		}}),
		Entry("history: an acknowledged call is missing when read back", violation{history.InvariantHistory, func(events []history.Event) []history.Event {
			read := find(events, func(e history.Event) bool { return e.Read != nil && e.Read.Program == chat })
			read.Read.Calls = read.Read.Calls[:2]
			return events
		}}),
		Entry("history: a read shows another program's text", violation{history.InvariantHistory, func(events []history.Event) []history.Event {
			read := find(events, func(e history.Event) bool { return e.Read != nil && e.Read.Program == chat })
			read.Read.Calls[0].Output = "out " + string(farm) + "-1."
			return events
		}}),
		Entry("history: an engine's prompt holds another program's turns", violation{history.InvariantHistory, func(events []history.Event) []history.Event {
			startOf(events, chat, 3).AttemptStarted.PromptHash = startOf(events, farm, 2).AttemptStarted.PromptHash
			return events
		}}),
		Entry("history: one key opens two programs", violation{history.InvariantHistory, func(events []history.Event) []history.Event {
			name := "create-" + string(chat)
			events = insert(events, 1.4, history.Event{Sent: &history.Sent{Request: "third", Operation: history.OperationCreate, Branch: "cold", Key: name}})
			return insert(events, 1.5, history.Event{Got: &history.Got{Request: "third", Program: "cold.0.00000000000000ff"}})
		}}),
		Entry("budget: a program and its sub-agent use more than its budget", violation{history.InvariantBudget, func(events []history.Event) []history.Event {
			find(events, func(e history.Event) bool { return e.ProgramCreated != nil && e.ProgramCreated.Program == chat }).ProgramCreated.BudgetTokens = 119
			return events
		}}),
		Entry("budget: an answer is longer than its cap", violation{history.InvariantBudget, func(events []history.Event) []history.Event {
			find(events, func(e history.Event) bool {
				return e.Sent != nil && e.Sent.Request == string(chat)+"-3"
			}).Sent.OutputCap = 9
			return events
		}}),
		Entry("budget: spent tokens do not add up", violation{history.InvariantBudget, func(events []history.Event) []history.Event {
			find(events, func(e history.Event) bool { return e.Got != nil && e.Got.SpentTokens == 80 }).Got.SpentTokens = 40
			return events
		}}),
		Entry("engine-memory: a prefix outlives its program", violation{history.InvariantMemory, func(events []history.Event) []history.Event {
			return insert(events, 120, history.Event{EngineCache: &history.EngineCache{Backend: "engine-1", Programs: []api.ProgramID{chat}}})
		}}),
		Entry("answer: two answers are crossed", violation{history.InvariantAnswer, func(events []history.Event) []history.Event {
			answerOf(events, string(farm)+"-3").Got.Output = "out " + string(chat) + "-3."
			return events
		}}),
		Entry("answer: an answer is cut short", violation{history.InvariantAnswer, func(events []history.Event) []history.Event {
			got := answerOf(events, string(farm)+"-3").Got
			got.Output = got.Output[:5]
			return events
		}}),
		Entry("answer: a request is never answered", violation{history.InvariantAnswer, func(events []history.Event) []history.Event {
			return insert(events, 15, history.Event{Sent: &history.Sent{Request: "forgotten", Operation: history.OperationEnd, Program: farm}})
		}}),
		Entry("not-run: a refused call ran", violation{history.InvariantNotRun, func(events []history.Event) []history.Event {
			got := answerOf(events, string(subAgent)+"-1").Got
			*got = history.Got{Request: got.Request, Code: api.CodeOverloaded, Ran: api.RanNotRun}
			read := find(events, func(e history.Event) bool { return e.Read != nil && e.Read.Program == subAgent })
			read.Read.Calls = nil
			return events
		}}),
		Entry("at-most-once: a notice goes out twice", violation{history.InvariantAtMostOnce, func(events []history.Event) []history.Event {
			again := *startOf(events, chat, 2).AttemptStarted
			again.Backend, again.Attempt = "tool-2", 2
			return insert(events, 3.7, history.Event{AttemptStarted: &again})
		}}),
		Entry("leaving: a leaving engine gets a call", violation{history.InvariantLeaving, func(events []history.Event) []history.Event {
			find(events, func(e history.Event) bool { return e.Leaving != nil }).At = at(10)
			return events
		}}),
		Entry("planned-stop: a caller's connection is lost", violation{history.InvariantPlannedStop, func(events []history.Event) []history.Event {
			for i, seconds := range []float64{14.5, 14.7} {
				name := []string{"cut", "asked-again"}[i]
				events = insert(events, seconds, history.Event{Sent: &history.Sent{Request: name, Operation: history.OperationEnd, Node: "node-1", Program: chat}})
			}
			events = insert(events, 14.6, history.Event{Lost: &history.Lost{Request: "cut"}})
			return insert(events, 14.8, history.Event{Got: &history.Got{Request: "asked-again"}})
		}}),
		Entry("planned-stop: a leaving engine cuts an attempt", violation{history.InvariantPlannedStop, func(events []history.Event) []history.Event {
			events = insert(events, 13.1, history.Event{PlannedStop: &history.PlannedStop{Machine: "engine-1"}})
			return insert(events, 13.4, history.Event{AttemptFinished: &history.AttemptFinished{
				Backend: "engine-1", Program: farm, Sequence: 3, Attempt: 1, Outcome: history.OutcomeInterrupted,
			}})
		}}),
		Entry("settings: a node reverts to an older revision", violation{history.InvariantSettings, func(events []history.Event) []history.Event {
			return insert(events, 33, history.Event{InForce: &history.InForce{Node: "node-1", Incarnation: 1, Revision: 2}})
		}}),
		Entry("settings: a restarted node works with an old revision", violation{history.InvariantSettings, func(events []history.Event) []history.Event {
			return insert(events, 90, history.Event{InForce: &history.InForce{Node: "node-2", Incarnation: 2, Revision: 2}})
		}}),
		Entry("settings: a node never receives a change", violation{history.InvariantSettings, func(events []history.Event) []history.Event {
			return slices.DeleteFunc(events, func(e history.Event) bool {
				return e.InForce != nil && e.InForce.Node == "node-2" && e.InForce.Revision == 3
			})
		}}),
		Entry("settings: two nodes reach different verdicts", violation{history.InvariantSettings, func(events []history.Event) []history.Event {
			verdict := find(events, func(e history.Event) bool { return e.Verdict != nil && e.Verdict.Node == "node-2" })
			verdict.Verdict.Accepted = false
			return events
		}}),
		Entry("settings: a concurrent change overwrites one that is newer than its base", violation{history.InvariantSettings, func(events []history.Event) []history.Event {
			find(events, func(e history.Event) bool { return e.SettingsChange != nil && e.SettingsChange.ID == "second" }).SettingsChange.BaseRevision = 1
			return events
		}}),
		Entry("placement: a call runs in a zone that is not permitted", violation{history.InvariantPlacement, func(events []history.Event) []history.Event {
			startOf(events, farm, 2).AttemptStarted.Zone = "midrand-b"
			return events
		}}),
		Entry("placement: zones are narrowed, and calls go on in the old ones", violation{history.InvariantPlacement, func(events []history.Event) []history.Event {
			since := at(13).Add(-18 * time.Second)
			return insert(events, 0, history.Event{PlacementSet: &history.PlacementSet{Branch: "cold", Placement: "midrand-a", Since: since}})
		}}),
		Entry("placement: a node outside reads the records", violation{history.InvariantPlacement, func(events []history.Event) []history.Event {
			return insert(events, 16, history.Event{Stream: &history.StreamUse{Machine: "node-3", Zone: "midrand-b", Stream: "cold.0", Branch: "cold"}})
		}}),
	)

	It("reads back what a Recorder wrote, and skips a last line that was cut short", func() {
		var file bytes.Buffer
		recorder := history.NewRecorder(&file)
		for _, event := range validHistory() {
			recorder.Record(event)
		}
		Expect(recorder.Flush()).To(Succeed())
		report, err := history.Check(strings.NewReader(file.String() + `{"at":"2026`))
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Findings).To(BeEmpty())
		Expect(report.Events).To(Equal(len(validHistory())))
		_, err = history.Check(strings.NewReader("{\n" + file.String()))
		Expect(err).To(MatchError(ContainSubstring("line 1")))
	})
})
