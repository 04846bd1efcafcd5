package emulator_test

import (
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/emulator"
	"birchwood.example/birchwood/workload"
)

// bench runs a small bench of the deployment with all policies; change, if set,
// adjusts its configuration.
func bench(deployment string, change func(*emulator.BenchConfig)) emulator.BenchResult {
	found, err := workload.ByName(deployment)
	Expect(err).NotTo(HaveOccurred())
	config := emulator.BenchConfig{
		Deployment: found,
		Policies:   emulator.AllPolicies(),
		Seed:       11,
		Programs:   150,
		Load:       0.8,
	}
	if change != nil {
		change(&config)
	}
	result, err := emulator.RunBench(config)
	Expect(err).NotTo(HaveOccurred())
	return result
}

// encoded returns a result as JSON.
func encoded(result emulator.BenchResult) string {
	text, err := json.Marshal(result)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

var _ = Describe("RunBench", func() {
	DescribeTable("gives the same result to the byte for the same seed, and breaks no invariant",
		func(deployment string) {
			first := bench(deployment, nil)
			Expect(encoded(bench(deployment, nil))).To(Equal(encoded(first)))
			for _, policy := range first.Policies {
				Expect(policy.Findings).To(BeEmpty(), policy.Policy)
				ended := policy.Completed + policy.Refused + policy.HungUp + policy.Limited + policy.Failed
				Expect(ended).To(Equal(150), "%s: every program has ended", policy.Policy)
				Expect(policy.PrefilledTokens).To(BeNumerically(">", policy.Wasted.RecomputedTokens))
			}
			other := bench(deployment, func(config *emulator.BenchConfig) { config.Seed = 12 })
			Expect(encoded(other)).NotTo(Equal(encoded(first)))
		},
		Entry("koudeketting", "koudeketting"),
		Entry("qasr", "qasr"),
	)

	It("breaks no invariant while back ends crash and leave, zones are cut, and tools hang", func() {
		faults := []emulator.Fault{
			{At: 5 * time.Second, For: 20 * time.Second, Kind: emulator.FaultCrash, Target: "engine-001"},
			{At: 6 * time.Second, For: 9 * time.Second, Kind: emulator.FaultCrash, Target: "depot-events-1"},
			{At: 6 * time.Second, For: 30 * time.Second, Kind: emulator.FaultLostReleases},
			{At: 8 * time.Second, Kind: emulator.FaultLeave, Target: "engine-005"},
			{At: 10 * time.Second, For: 15 * time.Second, Kind: emulator.FaultNetworkPartition, From: "midrand-a", To: "isando"},
			{At: 12 * time.Second, For: 20 * time.Second, Kind: emulator.FaultHungTool, Target: "depot-events-2"},
			{At: 14 * time.Second, For: 20 * time.Second, Kind: emulator.FaultLostAnswers, Target: "depot-events-3"},
			{At: 20 * time.Second, For: 10 * time.Second, Kind: emulator.FaultSlowLinks, Delay: 50 * time.Millisecond},
			{At: 20 * time.Second, For: 30 * time.Second, Kind: emulator.FaultDelayedReports, Delay: 5 * time.Second},
		}
		result := bench("koudeketting", func(config *emulator.BenchConfig) { config.Faults = faults })
		for _, policy := range result.Policies {
			Expect(policy.Findings).To(BeEmpty(), policy.Policy)
			Expect(policy.Retries).To(BeNumerically(">", 0), "%s: the faults were felt", policy.Policy)
		}
	})

	It("adds the programs of a flood on one branch", func() {
		const flooded = "koudeketting/alarms"
		tenants := func(result emulator.BenchResult) map[string]int {
			counts := make(map[string]int)
			for _, tenant := range result.Policies[0].Tenants {
				counts[tenant.Branch] = tenant.Programs
			}
			return counts
		}
		sticky := func(config *emulator.BenchConfig) { config.Policies = []string{"sticky"} }
		withoutFlood := tenants(bench("koudeketting", sticky))
		withFlood := tenants(bench("koudeketting", func(config *emulator.BenchConfig) {
			sticky(config)
			config.Faults = []emulator.Fault{
				{At: 5 * time.Second, For: 20 * time.Second, Kind: emulator.FaultFlood, Branch: flooded, Rate: 10},
			}
		}))
		Expect(withFlood[flooded] - withoutFlood[flooded]).To(BeNumerically("~", 200, 60))
		delete(withoutFlood, flooded)
		delete(withFlood, flooded)
		Expect(withFlood).To(Equal(withoutFlood))
	})

	It("refuses a configuration with every finding", func() {
		_, err := emulator.RunBench(emulator.BenchConfig{
			Policies: []string{"magic"},
			Faults:   []emulator.Fault{{Kind: "flood"}},
		})
		for _, place := range []string{"deployment", "policy", "programs", "load", "faults[0]"} {
			Expect(err).To(MatchError(ContainSubstring(place)))
		}
	})
})
