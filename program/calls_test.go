package program_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/program"
)

var _ = Describe("a program", func() {
	It("carries a call from its submission to its answer", func() {
		d := newDriver(program.Config{})
		d.create("p")
		d.submit("p", modelCall("a"))
		Expect(d.effect(program.EffectStart, ref("p", 1))).NotTo(BeNil())
		d.dispatch("p", 1)
		d.succeed("p", 1, "hello")
		answer := d.effect(program.EffectAnswer, ref("p", 1)).Answer
		Expect(answer.Status).To(Equal(api.StatusSucceeded))
		Expect(answer.Output).To(Equal("hello"))
		d.step(program.Command{Program: "p", End: &program.End{Reason: "done"}})
		Expect(d.effect(program.EffectRelease, ref("p", 0))).NotTo(BeNil())
		Expect(d.store.Live("p")).To(BeFalse())
	})
})
