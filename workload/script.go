package workload

import (
	"fmt"
	"math/rand/v2"

	"birchwood.example/birchwood/api"
)

// script draws the steps of one program. Each turn is a model call, followed
// by the turn's tool calls, sub-agents and pause, in this order.
type script struct {
	profile     *Profile
	random      *rand.Rand
	model       string
	turns       int // total number of model calls
	turn        int // number of model calls drawn so far
	pending     []Step
	childTokens int // output tokens of sub-agents to add to the next input
	spawned     int
	ended       bool
}

// newProgram draws a program with its model, branch and number of turns.
func newProgram(id string, profile *Profile, random *rand.Rand) *Program {
	script := &script{
		profile: profile,
		random:  random,
		model:   profile.Models[random.IntN(len(profile.Models))],
		turns:   profile.Turns.tokens(random),
	}
	return &Program{
		ID:       id,
		Kind:     profile.Kind,
		Branch:   profile.Branches[random.IntN(len(profile.Branches))],
		Priority: profile.Priority,
		Deadline: profile.Deadline,
		Runaway:  random.Float64() < profile.RunawayProbability,
		script:   script,
	}
}

// next returns the next step, given the result of the previous one. It returns
// false if there are no more steps.
func (s *script) next(program *Program, result Result) (Step, bool) {
	s.childTokens += result.ChildOutputTokens
	if s.ended || result.HungUp || endsProgram(result) {
		s.ended = true
		return Step{}, false
	}
	if len(s.pending) > 0 {
		return s.pop(), true
	}
	if s.turn >= s.turns && !program.Runaway {
		s.ended = true
		return Step{}, false
	}
	s.drawTurn(program)
	return s.pop(), true
}

// endsProgram reports whether the program ends after the result. A failed call
// or one with an unknown outcome does not end it, unless the budget is
// exhausted or the program has already ended.
func endsProgram(result Result) bool {
	switch result.Status {
	case "", api.StatusSucceeded, api.StatusFailed, api.StatusOutcomeUnknown:
		return result.Code == api.CodeBudgetExhausted || result.Code == api.CodeProgramEnded
	}
	return true
}

// pop removes and returns the first pending step.
func (s *script) pop() Step {
	step := s.pending[0]
	s.pending = s.pending[1:]
	return step
}

// drawTurn draws the steps of one turn.
func (s *script) drawTurn(program *Program) {
	s.turn++
	last := s.turn == s.turns
	s.pending = append(s.pending, s.modelStep())
	for i := range s.profile.Tools {
		use := &s.profile.Tools[i]
		if use.LastTurnOnly && !last {
			continue
		}
		if s.random.Float64() < use.Probability {
			s.pending = append(s.pending, s.toolStep(use))
		}
	}
	if s.profile.SubAgent != nil && s.random.Float64() < s.profile.SubAgentProbability {
		s.pending = append(s.pending, s.spawnStep(program))
	}
	if !last && s.random.Float64() < s.profile.PauseProbability {
		pause := Step{Kind: StepPause, Duration: s.profile.PauseSeconds.duration(s.random)}
		s.pending = append(s.pending, pause)
	}
}

// modelStep draws one model call.
func (s *script) modelStep() Step {
	input := s.profile.Input
	if s.turn == 1 {
		input = s.profile.Context
	}
	step := Step{
		Kind:         StepModel,
		Model:        s.model,
		InputTokens:  input.tokens(s.random) + s.childTokens,
		OutputTokens: min(s.profile.Output.tokens(s.random), s.profile.OutputCap),
		OutputCap:    s.profile.OutputCap,
		Repeatable:   true,
	}
	s.childTokens = 0
	if s.random.Float64() < s.profile.HangUpProbability {
		step.HangUpAfter = s.profile.HangUpSeconds.duration(s.random)
	}
	return step
}

// toolInputTokens is the length of a tool call's arguments.
const toolInputTokens = 24

// toolStep draws one tool call.
func (s *script) toolStep(use *ToolUse) Step {
	return Step{
		Kind:         StepTool,
		Tool:         use.Tool,
		Repeatable:   use.Repeatable,
		InputTokens:  toolInputTokens,
		OutputTokens: use.Tokens.tokens(s.random),
		Duration:     use.Seconds.duration(s.random),
	}
}

// spawnStep draws sub-agents, with the parent's branch and model.
func (s *script) spawnStep(parent *Program) Step {
	count := 1 + s.random.IntN(s.profile.MaximumSubAgents)
	children := make([]*Program, count)
	for i := range children {
		s.spawned++
		id := fmt.Sprintf("%s.%d", parent.ID, s.spawned)
		source := rand.New(rand.NewPCG(s.random.Uint64(), s.random.Uint64()))
		children[i] = newProgram(id, s.profile.SubAgent, source)
		children[i].Branch = parent.Branch
		children[i].script.model = s.model
	}
	return Step{Kind: StepSpawn, Children: children}
}
