package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/dispatch"
)

// readAt adds turns whose first event takes a base time plus a time per uncached token,
// both in units of the token time.
func readAt(reading *dispatch.Reading, from time.Time, turns int, base, share float64) time.Time {
	for index := range turns {
		missing := 500 + 700*(index%19)
		first := time.Duration((base + share*float64(missing)) * float64(steady))
		reading.Observe(from, missing, first, steady)
		from = from.Add(100 * time.Millisecond)
	}
	return from
}

func TestPrefillLearnsBaseAndRatio(t *testing.T) {
	g := NewWithT(t)
	var reading dispatch.Reading
	_, share := reading.Fit()
	g.Expect(share).To(Equal(dispatch.ReadShare))
	readAt(&reading, begin, 300, 12, 1.0/80)
	base, share := reading.Fit()
	g.Expect(share).To(BeNumerically("~", 1.0/80, 1.0/800))
	g.Expect(base).To(BeNumerically("~", 12, 6))
}

func TestPrefillFollowsAChange(t *testing.T) {
	g := NewWithT(t)
	var reading dispatch.Reading
	now := readAt(&reading, begin, 300, 12, 1.0/80)
	readAt(&reading, now, 600, 12, 1.0/300)
	_, share := reading.Fit()
	g.Expect(share).To(BeNumerically("~", 1.0/300, 1.0/1500))
}

func TestOutlierChangesPrefillLittle(t *testing.T) {
	g := NewWithT(t)
	var reading dispatch.Reading
	now := readAt(&reading, begin, 300, 12, 1.0/200)
	base, share := reading.Fit()
	reading.Observe(now, 10, time.Hour, steady)
	reading.Observe(now, -1, time.Hour, steady)
	reading.Observe(now, 10, time.Second, 0)
	after, afterShare := reading.Fit()
	g.Expect(after).To(BeNumerically("~", base, 3))
	g.Expect(afterShare).To(BeNumerically("~", share, share/10))
}
