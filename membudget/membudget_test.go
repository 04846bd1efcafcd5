package membudget_test

import (
	"io"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/membudget"
)

func TestMembudget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "the memory of bodies")
}

// endless is a body without end.
type endless struct{}

func (endless) Read(into []byte) (int, error) { return len(into), nil }

var _ = Describe("The budget of bodies", func() {
	const limit = 1 << 20

	It("is never exceeded by bodies without end, and leaves room for others", func() {
		budget := membudget.New(limit)
		for range 60 {
			_, err := membudget.ReadAll(endless{}, 0, budget.Holder())
			Expect(err).To(MatchError(membudget.ErrExhausted))
			Expect(budget.Held()).To(BeNumerically("<=", limit))
		}
		body, err := membudget.ReadAll(strings.NewReader("small"), 0, membudget.New(limit).Holder())
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("small"))
	})

	It("leaves each of many bodies as much as is free", func() {
		budget := membudget.New(limit)
		first := budget.Holder()
		Expect(first.Add(limit / 2)).To(Succeed())
		Expect(first.Add(1)).To(MatchError(membudget.ErrExhausted))
		second := budget.Holder()
		Expect(second.Add(limit / 4)).To(Succeed())
		Expect(second.Add(limit / 4)).To(MatchError(membudget.ErrExhausted))
		first.Release()
		Expect(second.Add(limit / 4)).To(Succeed())
		Expect(first.Add(1)).To(MatchError(membudget.ErrExhausted), "it was released")
		second.Return(limit / 4)
		Expect(budget.Held()).To(Equal(int64(limit / 4)))
		second.Release()
		second.Return(limit / 4)
		Expect(budget.Held()).To(BeZero())
	})

	It("does not bound what has no holder", func() {
		body, err := membudget.ReadAll(io.LimitReader(endless{}, 3*limit), 3*limit, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(HaveLen(3 * limit))
		_, err = membudget.ReadAll(endless{}, limit, nil)
		Expect(err).To(MatchError(membudget.ErrTooLarge))
	})
})
