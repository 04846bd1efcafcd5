package replica_test

import (
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/replica"
)

var _ = Describe("A feed", func() {
	gone := func(number int) replica.Change { return replica.Change{Gone: replica.ID(strconv.Itoa(number))} }

	It("yields the changes since a number, in their order", func() {
		feed := replica.Feed{}
		Expect(feed.Next()).To(BeZero())
		for number := range 3 {
			feed.Add(gone(number))
		}
		changes, known := feed.Since(1)
		Expect(known).To(BeTrue())
		Expect(changes).To(Equal([]replica.Change{gone(1), gone(2)}))
		changes, known = feed.Since(feed.Next())
		Expect(known).To(BeTrue())
		Expect(changes).To(BeEmpty())
	})

	It("rejects numbers to come and those that it no longer retains", func() {
		feed := replica.Feed{}
		_, known := feed.Since(1)
		Expect(known).To(BeFalse())
		for number := range 20_000 {
			feed.Add(gone(number))
		}
		_, known = feed.Since(0)
		Expect(known).To(BeFalse())
		changes, known := feed.Since(19_990)
		Expect(known).To(BeTrue())
		Expect(changes).To(HaveLen(10))
		Expect(changes[0]).To(Equal(gone(19_990)))
	})

	It("hands out changes that later ones do not touch", func() {
		feed := replica.Feed{}
		feed.Add(gone(0))
		changes, _ := feed.Since(0)
		feed.Add(gone(1))
		Expect(changes).To(Equal([]replica.Change{gone(0)}))
	})
})
