package emulator

import (
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/emulator/enginemodel"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/workload"
)

const (
	// capacitySample is the number of programs that Capacity draws.
	capacitySample = 2000
	// capacitySeed is fixed so that every run draws the same sample.
	capacitySeed = 1
)

// Capacity returns the arrival rate, in programs per second, that counts as
// load 1. It draws a fixed sample of the deployment's programs and sums, for
// each model, the minimum number of tokens to compute: every token of a
// program's history once, as prefill or as output. An engine with full batches
// takes enginemodel.Config.ServiceTime for them. A replica with n models loaded
// counts as 1/n replica of each.
//
// The first result is the capacity with the models placed as configured: the
// rate that fully utilises the replicas of the model in highest demand. The
// second is the capacity of the fleet: the rate that fully utilises all replicas
// if the models were placed in proportion to the demand. No policy reaches
// either, because prefixes get evicted and batches are not always full.
//
// tuneEngines, if not nil, changes the configuration of the engines.
func Capacity(deployment workload.Deployment, tuneEngines func(*enginemodel.Config)) (placed, fleet float64) {
	demands := make(map[string]*modelDemand)
	generator := deployment.Generate(workload.Options{Seed: capacitySeed, ProgramsPerSecond: 1})
	for range capacitySample {
		addDemand(demands, generator.Next(), deployment)
	}
	replicas := make(map[string]float64)
	for _, replica := range deployment.Replicas {
		for _, model := range replica.Models {
			replicas[model] += 1 / float64(len(replica.Models))
		}
	}
	config := engineConfig(deployment.Replicas[0], tuneEngines)
	var total time.Duration
	for _, model := range sortedKeys(demands) {
		demand := demands[model]
		busy := config.ServiceTime(demand.prefill/capacitySample, demand.output/capacitySample)
		total += busy
		rate := replicas[model] * float64(time.Second) / float64(max(busy, 1))
		if placed == 0 || rate < placed {
			placed = rate
		}
	}
	return placed, float64(len(deployment.Replicas)) * float64(time.Second) / float64(max(total, 1))
}

// modelDemand is the number of tokens that programs need from one model.
type modelDemand struct {
	prefill float64
	output  float64
}

// addDemand runs a program whose calls all succeed, adds its tokens to demands
// and returns the number of output tokens of its last answer.
func addDemand(demands map[string]*modelDemand, program *workload.Program, deployment workload.Deployment) int {
	branch, _ := deployment.Branch(program.Branch)
	result := workload.Result{}
	history, computed, turns, last := 0, 0, 0, 0
	for {
		step, more := program.Next(result)
		if !more || branch.MaxTurns > 0 && turns >= branch.MaxTurns {
			return last
		}
		result = workload.Result{Status: api.StatusSucceeded, HungUp: step.HangUpAfter > 0}
		switch step.Kind {
		case workload.StepModel:
			turns++
			history += step.InputTokens + step.OutputTokens
			last = step.OutputTokens
			demand := demands[step.Model]
			if demand == nil {
				demand = &modelDemand{}
				demands[step.Model] = demand
			}
			demand.prefill += float64(history - computed - step.OutputTokens)
			demand.output += float64(step.OutputTokens)
			computed = history
		case workload.StepTool:
			history += step.InputTokens + step.OutputTokens
		case workload.StepSpawn:
			for _, child := range step.Children {
				result.ChildOutputTokens += addDemand(demands, child, deployment)
			}
		}
	}
}

// engineConfig returns the configuration of the engine model for a replica.
func engineConfig(replica machine.Machine, tuneEngines func(*enginemodel.Config)) enginemodel.Config {
	config := enginemodel.DefaultConfig(replica.ID, replica.Models...)
	if replica.Slots > 0 {
		config.Slots = replica.Slots
	}
	if replica.CacheTokens > 0 {
		config.CacheTokens = replica.CacheTokens
	}
	config.StreamRetention = 0
	if tuneEngines != nil {
		tuneEngines(&config)
	}
	return config
}
