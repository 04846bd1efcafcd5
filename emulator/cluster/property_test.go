package cluster_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/emulator/cluster"
)

// The fixed part of the stateful test. `birchwood fuzz` looks further.
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
})
