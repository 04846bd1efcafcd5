package workload

import (
	"time"

	"birchwood.example/birchwood/api"
)

// Demand is the work of programs, before any cache.
type Demand struct {
	Programs   int
	ModelCalls int
	ToolCalls  int
	// InputTokens is new history; PromptTokens counts the whole prompt of
	// each call, which is what an engine without a cache would prefill.
	InputTokens  int64
	PromptTokens int64
	OutputTokens int64
	ToolTime     time.Duration
	PauseTime    time.Duration
}

// demandSample is how many programs MeanDemand draws.
const demandSample = 2000

// runawayTurns is where a run-away program is taken to be stopped.
const runawayTurns = 64

// MeanDemand returns the mean demand of one arriving program with its
// sub-agents, from a fixed sample: load factors are calibrated with it.
// ModelCalls and the other fields are sums over Programs programs.
func (d *Deployment) MeanDemand() Demand {
	generator := d.Generate(Options{Seed: 1, ProgramsPerSecond: 1})
	total := Demand{}
	for range demandSample {
		total.Programs++
		total.add(generator.Next())
	}
	return total
}

// PerProgram divides a sum by the number of programs.
func (d Demand) PerProgram(sum int64) float64 {
	return float64(sum) / float64(max(1, d.Programs))
}

// add runs a program against answers that always succeed.
func (d *Demand) add(program *Program) (outputTokens int) {
	history, calls := 0, 0
	result := Result{}
	for {
		step, more := program.Next(result)
		if !more || calls >= runawayTurns {
			return outputTokens
		}
		result = Result{Status: api.StatusSucceeded, HungUp: step.HangUpAfter > 0}
		switch step.Kind {
		case StepModel:
			calls++
			d.ModelCalls++
			history += step.InputTokens
			d.PromptTokens += int64(history)
			outputTokens = step.OutputTokens
		case StepTool:
			d.ToolCalls++
			d.ToolTime += step.Duration
			history += step.InputTokens
		case StepPause:
			d.PauseTime += step.Duration
		case StepSpawn:
			for _, child := range step.Children {
				result.ChildOutputTokens += d.add(child)
			}
		}
		history += step.OutputTokens
		d.InputTokens += int64(step.InputTokens)
		d.OutputTokens += modelOutput(step)
	}
}

// modelOutput is what an engine decodes for the step.
func modelOutput(step Step) int64 {
	if step.Kind != StepModel {
		return 0
	}
	return int64(step.OutputTokens)
}
