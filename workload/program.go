package workload

import (
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
)

// Kind names a sort of program, such as "excursion-triage".
type Kind string

// StepKind tells what a Step asks of its driver.
type StepKind string

// The kinds of step.
const (
	StepModel StepKind = "model"
	StepTool  StepKind = "tool"
	// StepPause is time in which nobody calls: a person reads and types.
	StepPause StepKind = "pause"
	// StepSpawn starts sub-agents. The driver waits for all of them.
	StepSpawn StepKind = "spawn"
)

// Step is one thing that a program does next.
type Step struct {
	Kind StepKind
	// InputTokens is what the step adds to the program's history, for model
	// and tool steps.
	InputTokens int
	// OutputTokens is how long the answer will be: of a model call at most
	// OutputCap, of a tool call the text that the tool returns. Only the
	// emulated back end knows it; the scheduler is told OutputCap.
	OutputTokens int
	OutputCap    int
	Model        string
	Tool         string
	Repeatable   bool
	// Duration is how long a tool runs, or a pause lasts.
	Duration time.Duration
	// HangUpAfter is when the caller drops the connection and gives the
	// program up. Zero: it waits for the answer.
	HangUpAfter time.Duration
	Children    []*Program
}

// Result is what became of a step.
type Result struct {
	// Status is empty for the first step, pauses and spawns.
	Status api.CallStatus
	// Code is the error's code when the call has no answer.
	Code api.Code
	// ChildOutputTokens is the length of what sub-agents handed back.
	ChildOutputTokens int
	// HungUp tells that the caller gave the program up during the step.
	HungUp bool
}

// Program is one agent program. Its steps are drawn while it runs.
type Program struct {
	ID       string
	Kind     Kind
	Branch   contract.Path
	Priority int
	// Start is the intended start, counted from the beginning of the run.
	// Latency is measured from it.
	Start time.Duration
	// Deadline is how long the caller can use an answer, from Start; zero
	// means no bound.
	Deadline time.Duration
	// Runaway programs never stop by themselves; limits must end them.
	Runaway bool

	script *script
}

// Next draws the step that follows the result of the one before. It returns
// false when the program has nothing more to do; the driver then ends it.
func (p *Program) Next(result Result) (Step, bool) {
	return p.script.next(p, result)
}
