package partition

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/zone"
)

var threeZones = []zone.Name{"isando", "midrand-a", "midrand-b"}

var _ = Describe("Ownership", func() {
	var c *cluster

	BeforeEach(func() {
		c = newCluster(1, threeZones, nil)
		Expect(c.runUntil(10*time.Second, c.hasOwner)).To(BeTrue())
	})

	AfterEach(func() {
		Expect(c.failures).To(BeEmpty())
	})

	It("confirms what the owner proposes", func() {
		value, err := c.propose(c.owner())
		Expect(err).NotTo(HaveOccurred())
		Expect(c.runUntil(time.Second, func() bool { return c.isConfirmed(value) })).To(BeTrue())
	})

	It("recovers every confirmed record after the owner died", func() {
		first := c.owner()
		for range 100 {
			_, err := c.propose(first)
			Expect(err).NotTo(HaveOccurred())
		}
		c.run(time.Second)
		Expect(c.confirmed).To(HaveLen(100))
		c.crash(first)
		Expect(c.runUntil(10*time.Second, c.hasOwner)).To(BeTrue())
		Expect(c.owner().id).NotTo(Equal(first.id))
		Expect(c.owner().state).To(Equal(c.confirmed))
	})
})
