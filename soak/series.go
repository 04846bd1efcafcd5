package soak

import "math/rand/v2"

// Parameters of a series.
const (
	// seriesShare is the share of faults that a series accompanies.
	seriesShare = 0.5
	// minSeriesGapMS and maxSeriesGapMS bound the time between two steps, and
	// maxSeriesStepMS the duration of a step.
	minSeriesGapMS  = 200
	maxSeriesGapMS  = 1500
	maxSeriesStepMS = 800
	// seriesSalt makes the series independent of the other faults of the seed.
	seriesSalt = 1 << 32
)

// seriesKinds are the faults that come in series.
var seriesKinds = []Kind{Stop, Kill, Pause, Reload}

// Series draws series of stops, kills, pauses and reloads beside the faults of a schedule.
// The steps of a series follow each other closely, on changing nodes, and overlap the fault
// that it accompanies and each other. It is deterministic for a given scenario.
func Series(scenario Scenario, faults []Fault) []Fault {
	random := rand.New(rand.NewPCG(scenario.Seed, seriesSalt+uint64(scenario.Nodes)))
	var steps []Fault
	for _, fault := range faults {
		if random.Float64() < seriesShare {
			steps = append(steps, drawSeries(random, scenario, fault)...)
		}
	}
	return steps
}

// drawSeries draws the steps of one series, all within the duration of a fault.
func drawSeries(random *rand.Rand, scenario Scenario, beside Fault) (steps []Fault) {
	kind := seriesKinds[random.IntN(len(seriesKinds))]
	end := beside.AtMS + beside.ForMS
	for at := beside.AtMS; at < end; at += minSeriesGapMS + random.Int64N(maxSeriesGapMS-minSeriesGapMS) {
		steps = append(steps, Fault{
			Kind: kind, AtMS: at, ForMS: min(1+random.Int64N(maxSeriesStepMS), end-at),
			Targets: draw(random, scenario.Nodes, 1+random.IntN(max(1, scenario.Nodes/3))),
		})
	}
	return steps
}
