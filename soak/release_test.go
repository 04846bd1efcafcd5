package soak

import (
	"testing"

	. "github.com/onsi/gomega"
)

// TestReleasesFollowFromTheSeed checks that releases follow from the seed, keep to the run and
// leave replicas of the former version, and that each run has some.
func TestReleasesFollowFromTheSeed(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Releases(aScenario(1))).To(Equal(Releases(aScenario(1))))
	g.Expect(Releases(aScenario(1))).NotTo(Equal(Releases(aScenario(2))))
	for seed := range uint64(100) {
		scenario := aScenario(seed)
		scenario.Seconds = minSeconds + int(seed)
		releases := Releases(scenario)
		g.Expect(len(releases)).To(BeNumerically(">=", 2))
		for _, release := range releases {
			g.Expect(release.AtMS).To(BeNumerically("<", int64(scenario.Seconds)*1000-drainTime.Milliseconds()))
			g.Expect(release.Targets).To(HaveLen(modelReplicas / 2))
			for _, target := range release.Targets {
				g.Expect(target).To(BeNumerically("<", modelReplicas))
			}
		}
	}
}
