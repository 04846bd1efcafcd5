package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("The header of a deadline", func() {
	start := time.Unix(1_700_000_000, 0)

	It("carries the time that is left, and never one that has passed", func() {
		text, ok := formatDeadline(start, start.Add(1500*time.Millisecond))
		Expect(ok).To(BeTrue())
		Expect(parseDeadline(start.Add(time.Hour), text)).To(Equal(start.Add(time.Hour + 1500*time.Millisecond)))
		_, ok = formatDeadline(start, start)
		Expect(ok).To(BeFalse())
	})

	It("carries no more than the receiver takes", func() {
		text, ok := formatDeadline(start, start.AddDate(1, 0, 0))
		Expect(ok).To(BeTrue())
		Expect(parseDeadline(start, text)).To(Equal(start.AddDate(0, 0, 30)))
	})

	DescribeTable("is refused when it is", func(text string) {
		_, refusal := parseDeadline(start, text)
		Expect(refusal.Location).To(ContainSubstring(headerDeadline))
	},
		Entry("missing", ""), Entry("zero", "0"), Entry("negative", "-1"),
		Entry("not a number", "1s"), Entry("beyond the maximum", "2592000001"))
})
