package cluster_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/emulator/cluster"
)

// The seeds of the stateful test that always run; `birchwood fuzz` runs others.
const (
	firstSeed = 1
	fixedRuns = 60
)

var _ = Describe("Property", func() {
	It("holds whatever happens to a cluster, in the fixed runs", func() {
		runs, failure, err := cluster.Fuzz(cluster.FuzzConfig{Seed: firstSeed, Runs: fixedRuns})
		Expect(err).NotTo(HaveOccurred())
		if failure != nil {
			Fail(failure.Text + "\n" + failure.Replay)
		}
		Expect(runs).To(Equal(fixedRuns))
	})

	DescribeTable("holds in the runs that broke a promise once",
		func(seed uint64) {
			_, failure, err := cluster.Fuzz(cluster.FuzzConfig{Seed: seed, Runs: 1})
			Expect(err).NotTo(HaveOccurred())
			if failure != nil {
				Fail(failure.Text + "\n" + failure.Replay)
			}
		},
		Entry("a former process's leaving held against the next one", uint64(710028)),
		Entry("the same, with requests that found no owner", uint64(750233)),
		Entry("a caller that hung up on a relayed request", uint64(741272)),
		Entry("the same, with a zone's only node", uint64(101626)),
		Entry("reads by a previous owner", uint64(321)),
		Entry("the same, in another order", uint64(20498)),
	)
})
