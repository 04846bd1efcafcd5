package findings

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFindings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "findings")
}

var _ = Describe("A list", func() {
	It("tells every finding with its subject, field, value and bound, in order", func() {
		cause := errors.New("not a zone")
		found := Of("store config")
		Positive(found, "Delay", -time.Second)
		Positive(found, "Share", 0.0)
		AtLeast(found, "Slots", 1, 2)
		found.Require(false, "Name", "want one of %d", 3)
		found.NoError("Zone", cause)
		Expect(found.Err()).To(MatchError("store config: Delay: got -1s, want more than 0\n" +
			"store config: Share: got 0, want more than 0\n" +
			"store config: Slots: got 1, want at least 2\n" +
			"store config: Name: want one of 3\n" +
			"store config: Zone: not a zone"))
		Expect(found.Err()).To(MatchError(cause))
	})

	It("is no error when nothing is wrong", func() {
		found := Of("store config")
		Positive(found, "Delay", time.Nanosecond)
		AtLeast(found, "Slots", 2, 2)
		found.Require(true, "Name", "want a name")
		found.NoError("Zone", nil)
		Expect(found.Err()).NotTo(HaveOccurred())
	})
})
