package liveness_test

import (
	"flag"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"birchwood.example/birchwood/liveness"
)

// init sets the defaults of the property tests' flags. A command line overrides them.
func init() {
	for name, value := range map[string]string{"rapid.seed": "82", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// start is the beginning of the virtual time, and end when the exchange of most specs ended.
var (
	start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	end   = start.Add(time.Second)
)

// after returns a sign on a connection from before the exchange, sent some time after its end.
func after(delay time.Duration) liveness.Sign {
	return liveness.Sign{ConnectedAt: start.Add(-time.Minute), SentAt: end.Add(delay)}
}

var _ = Describe("A doubt about a process", func() {
	var doubt liveness.Doubt
	BeforeEach(func() { doubt = liveness.NewDoubt(start, end) })

	It("is not settled by what an ending process still does", func() {
		doubt.Observe(after(liveness.SettleDelay - time.Millisecond))
		Expect(doubt.Outcome()).To(Equal(liveness.Unknown))
		doubt.ObserveGone()
		Expect(doubt.Outcome()).To(Equal(liveness.Ended))
	})

	It("is settled by an answer some time later, until the process ends within the window", func() {
		doubt.Observe(after(liveness.SettleDelay))
		Expect(doubt.Outcome()).To(Equal(liveness.Survived))
		doubt.ObserveGone()
		Expect(doubt.Outcome()).To(Equal(liveness.Ended))
		doubt.Observe(after(liveness.AttributionWindow))
		Expect(doubt.Outcome()).To(Equal(liveness.Outlived))
	})

	It("is not settled by a successor", func() {
		successor := after(liveness.SuccessorDelay - time.Millisecond)
		successor.ConnectedAt = start
		doubt.Observe(successor)
		Expect(doubt.Outcome()).To(Equal(liveness.Unknown))
		successor.Unique = true
		doubt.Observe(successor)
		Expect(doubt.Outcome()).To(Equal(liveness.Outlived))
	})

	It("is settled by any answer under the replica's ID once a successor would be known", func() {
		sign := after(liveness.SuccessorDelay)
		sign.ConnectedAt = end
		doubt.Observe(sign)
		Expect(doubt.Outcome()).To(Equal(liveness.Outlived))
	})

	It("tells when a sign would change the outcome", func() {
		due, open := doubt.DueAt()
		Expect(due).To(Equal(end.Add(liveness.SettleDelay)))
		Expect(open).To(BeTrue())
		doubt.Observe(after(liveness.SettleDelay))
		due, open = doubt.DueAt()
		Expect(due).To(Equal(end.Add(liveness.AttributionWindow)))
		Expect(open).To(BeTrue())
		doubt.ObserveGone()
		_, open = doubt.DueAt()
		Expect(open).To(BeFalse())
	})

	It("has the same outcome in whatever order the evidence comes", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			delays := rapid.SliceOfN(rapid.IntRange(-100, 3000), 0, 8).Draw(t, "delays")
			gone := rapid.Bool().Draw(t, "gone")
			signs := make([]liveness.Sign, len(delays))
			for index, delay := range delays {
				signs[index] = after(time.Duration(delay) * time.Millisecond)
				if rapid.Bool().Draw(t, "new connection") {
					signs[index].ConnectedAt = end
				}
			}
			one, other := liveness.NewDoubt(start, end), liveness.NewDoubt(start, end)
			if gone {
				one.ObserveGone()
			}
			for _, sign := range signs {
				one.Observe(sign)
			}
			for _, sign := range rapid.Permutation(signs).Draw(t, "order") {
				other.Observe(sign)
			}
			if gone {
				other.ObserveGone()
			}
			if one.Outcome() != other.Outcome() {
				t.Fatalf("%s and %s", one.Outcome(), other.Outcome())
			}
		})
	})

	It("never finds a process alive that did nothing SettleDelay after the end", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			died := rapid.IntRange(0, int(liveness.SettleDelay/time.Millisecond)-1).Draw(t, "died")
			doubt := liveness.NewDoubt(start, end)
			for range rapid.IntRange(0, 8).Draw(t, "signs") {
				doubt.Observe(after(time.Duration(rapid.IntRange(-100, died).Draw(t, "sent")) * time.Millisecond))
			}
			if doubt.Outcome().Lives() {
				t.Fatal("the process lives")
			}
		})
	})
})
