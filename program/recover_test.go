package program_test

import (
	"encoding/json"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/program"
)

var _ = Describe("a store that recovers", func() {
	DescribeTable("refuses a damaged record",
		func(record program.Record) {
			d := newDriver(program.Config{})
			d.create("p")
			Expect(d.store.Recover(0, record)).NotTo(Succeed())
		},
		Entry("without a program", program.Record{Closed: &program.Closed{}}),
		Entry("without a fact", program.Record{Program: "p"}),
		Entry("with two facts", program.Record{Program: "p", Closed: &program.Closed{}, Terms: &program.Terms{}}),
		Entry("with place 0", program.Record{Program: "p", Accepted: &program.Accepted{}}),
		Entry("with a place that would fill the memory", program.Record{Program: "p", Accepted: &program.Accepted{Sequence: 1 << 20}}),
	)

	DescribeTable("refuses a damaged part of a snapshot",
		func(part string) {
			Expect(newDriver(program.Config{}).store.RecoverSnapshot(json.RawMessage(part))).NotTo(Succeed())
		},
		Entry("cut short", `{"programs":[`),
		Entry("without terms", `{"terms":[],"programs":[{"id":"p"}]}`),
		Entry("without an id", `{"terms":[{}],"programs":[{}]}`),
		Entry("with half an entry", `{"terms":[{}],"programs":[{"id":"p","calls":"AAAA"}]}`),
		Entry("with a call that has no entry", `{"terms":[{}],"programs":[{"id":"p","live":[{"sequence":1}]}]}`),
	)

	It("keeps the texts of records that the log does not have yet, also in a snapshot", func() {
		d := newDriver(program.Config{})
		d.create("p")
		output, _ := d.store.Step(d.now, submitCommand("p", modelCall("a")))
		d.step(d.dispatchCommand("p", 1))
		attempt := program.AttemptRef{CallRef: ref("p", 1), Attempt: 1}
		ended, _ := d.store.Step(d.now, program.Command{Outcome: &program.Outcome{Attempt: attempt, Status: api.StatusSucceeded, Output: "hello"}})
		restored := d.newStore()
		for _, part := range d.store.Snapshot() {
			Expect(restored.RecoverSnapshot(part)).To(Succeed())
		}
		call, _ := restored.Call("p", 0, "a")
		Expect(call.Input).To(Equal("input of a"))
		Expect(call.Output).To(Equal("hello"))
		restored.SetRecordOffset("p", output.Records[0], 7)
		restored.SetRecordOffset("p", ended.Records[0], 9)
		history, _ := restored.History("p", 1, 1)
		Expect(history[0]).To(Equal(program.CallLocation{
			Sequence: 1, Kind: api.CallModel, Status: api.StatusSucceeded, AcceptedOffset: 7, EndedOffset: 9,
		}))
	})

	It("splits a snapshot into parts of bounded size and processes a bounded number of programs per tick", func() {
		d := newDriver(program.Config{SnapshotPartBytes: 2 << 10, TickPrograms: 10})
		for i := range 100 {
			d.create(api.ProgramID(fmt.Sprintf("p%03d", i)))
		}
		parts := d.store.Snapshot()
		Expect(len(parts)).To(BeNumerically(">", 5))
		for _, part := range parts {
			Expect(len(part)).To(BeNumerically("<", 4<<10))
		}
		late := d.now.Add(time.Hour)
		Expect(d.store.Tick(late).Records).To(HaveLen(10))
		Expect(d.store.NextWake().After(late)).To(BeFalse())
	})

	It("counts for the metrics page what it holds", func() {
		d := newDriver(program.Config{})
		d.create("p")
		d.step(childCommand("c", "p", 500))
		d.submit("p", modelCall("a"))
		d.dispatch("p", 1)
		d.succeed("p", 1, "x")
		d.submit("p", sealCall("b"))
		d.refused(submitCommand("p", api.SubmitCall{Key: "c"}))
		d.crash(len(d.log))
		Expect(d.store.Stats().LiveCalls).To(Equal(1))
		Expect(d.store.BudgetTotals()).To(Equal(program.BudgetTotals{BudgetTokens: 10_000, SpentTokens: 15, ReservedTokens: 500}))
		Expect(d.store.List("koudeketting", 10)).To(HaveLen(2))
		Expect(d.store.List("koude", 10)).To(BeEmpty())
		Expect(d.store.List("", 1)).To(HaveLen(1))
	})
})
