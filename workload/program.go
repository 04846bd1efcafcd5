package workload

import (
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
)

// Kind is a kind of program, such as "excursion-triage".
type Kind string

// StepKind is the action that a Step requires of its driver.
type StepKind string

// The kinds of step.
const (
	StepModel StepKind = "model"
	StepTool  StepKind = "tool"
	// StepPause is a time without calls, while a user reads and types.
	StepPause StepKind = "pause"
	// StepSpawn starts sub-agents. The driver waits until all have ended.
	StepSpawn StepKind = "spawn"
)

// Step is one step of a program.
type Step struct {
	Kind StepKind
	// InputTokens is the length of the input that a model or tool call adds to
	// the program's history.
	InputTokens int
	// OutputTokens is the length of the answer of a model call, at most
	// OutputCap, or of the result of a tool call. Only the emulated back end
	// uses it; the scheduler receives OutputCap.
	OutputTokens int
	OutputCap    int
	Model        string
	Tool         string
	Repeatable   bool
	// Duration is the running time of a tool or the length of a pause.
	Duration time.Duration
	// HangUpAfter is the time after which the caller closes the connection and
	// abandons the program. Zero means that it waits for the answer.
	HangUpAfter time.Duration
	Children    []*Program
}

// Result is the result of a step.
type Result struct {
	// Status is the status of a call. It is empty before the first step and
	// for pauses and spawns.
	Status api.CallStatus
	// Code is the error code of a call without an answer.
	Code api.Code
	// ChildOutputTokens is the total length of the sub-agents' last answers.
	ChildOutputTokens int
	// HungUp is set if the caller abandoned the program during the step.
	HungUp bool
}

// Program is one agent program. Its steps are drawn as it runs.
type Program struct {
	ID       string
	Kind     Kind
	Branch   contract.Path
	Priority int
	// Start is the intended start, measured from the start of the run. Latency
	// counts from it.
	Start time.Duration
	// Deadline is the time after Start until which the caller can use an
	// answer. Zero means no deadline.
	Deadline time.Duration
	// Runaway is set if the program never ends by itself. Limits must end it.
	Runaway bool

	script *script
}

// Next draws the next step, given the result of the previous one. It returns
// false if there are no more steps; the driver then ends the program.
func (p *Program) Next(result Result) (Step, bool) {
	return p.script.next(p, result)
}
