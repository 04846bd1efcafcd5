package soak

import "math/rand/v2"

// Parameters of the releases of a run.
const (
	// firstReleaseMS is when the first release begins, and minReleaseGapMS and
	// maxReleaseGapMS bound the time between the beginnings of two.
	firstReleaseMS  = 2000
	minReleaseGapMS = 6000
	maxReleaseGapMS = 14000
	// releaseTailMS is how long before the end of a run the last release begins at the latest.
	releaseTailMS = 8000
	// releaseSalt makes the releases independent of the other faults of the seed.
	releaseSalt = 2 << 32
)

// Releases draws releases of software over half of the model replicas, at any time of the run,
// so that replicas of several versions serve side by side. It is deterministic for a given
// scenario.
func Releases(scenario Scenario) (faults []Fault) {
	random := rand.New(rand.NewPCG(scenario.Seed, releaseSalt+uint64(scenario.Nodes)))
	end := int64(scenario.Seconds)*1000 - releaseTailMS
	for at := int64(firstReleaseMS); at < end; at += minReleaseGapMS + random.Int64N(maxReleaseGapMS-minReleaseGapMS) {
		faults = append(faults, Fault{Kind: Release, AtMS: at, Targets: draw(random, modelReplicas, modelReplicas/2)})
	}
	return faults
}
