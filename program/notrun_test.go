package program_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/program"
)

var _ = Describe("a call whose first attempt may have run", func() {
	DescribeTable("does not end as not run, though nothing of its later attempts was sent",
		func(first api.CallStatus) {
			d := newDriver(program.Config{})
			d.create("p")
			d.submit("p", modelCall("a"))
			for _, status := range []api.CallStatus{first, api.StatusNotRun, api.StatusNotRun} {
				d.dispatch("p", 1)
				d.outcome("p", 1, program.Outcome{Status: status})
			}
			answer := d.effect(program.EffectAnswer, ref("p", 1)).Answer
			Expect(answer.Attempt).To(Equal(3))
			Expect(answer.Status).NotTo(Equal(api.StatusNotRun))
			Expect(answer.Error.Ran).NotTo(Equal(api.RanNotRun))
		},
		Entry("its answer was lost", api.StatusOutcomeUnknown),
		Entry("its back end failed", api.StatusFailed),
	)
})
