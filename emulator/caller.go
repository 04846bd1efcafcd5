package emulator

import (
	"fmt"
	"slices"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/workload"
	"birchwood.example/birchwood/zone"
)

// agent is one program while it runs, seen from its caller and from its node.
type agent struct {
	run       *simulation
	id        api.ProgramID
	program   *workload.Program
	branch    workload.Branch
	placement zone.Placement
	node      *node
	parent    *agent
	// start is the intended start.
	start time.Time
	// pausedTime is the time in which a person read and typed.
	pausedTime time.Duration

	sequence uint64
	turns    int
	// history is the length of the program's history, in tokens; computed is
	// how much of it some engine has had in its cache.
	history  int
	computed int
	attained int64
	spent    int64
	reserved int64
	// engines are those that may hold a prefix.
	engines    []machine.ID
	lastEngine machine.ID
	lastOutput int

	// childrenLeft and childTokens are of the sub-agents that run.
	childrenLeft int
	childTokens  int
	// gone: the caller has hung up; ended: the node has forgotten it.
	disconnected bool
	ended        bool
	// reason is the reason for which the caller gave the program up.
	reason endReason
}

// startProgram lets a program begin at its intended start.
func (s *simulation) startProgram(program *workload.Program, parent *agent) {
	s.programs++
	branch, _ := s.config.Deployment.Branch(program.Branch)
	started := &agent{
		run:       s,
		program:   program,
		branch:    branch,
		placement: s.config.Deployment.Placement(program.Branch),
		parent:    parent,
		start:     s.clock.now,
	}
	if parent != nil {
		started.node = parent.node
		started.start = parent.start
	} else {
		started.node = s.owner(started.placement, program.ID)
	}
	started.id = api.ProgramID(fmt.Sprintf("%s.%d.%016x", started.placement, started.node.index, s.programs))
	s.owners[started.id] = started.node
	started.next(workload.Result{})
}

// owner picks the node of a program by hash among the permitted zones.
func (s *simulation) owner(placement zone.Placement, name string) *node {
	var permitted []*node
	for _, each := range s.nodes {
		if placement.Contains(each.zone) {
			permitted = append(permitted, each)
		}
	}
	return permitted[stableHash(name)%uint64(len(permitted))]
}

// deadline is when the caller can no longer use an answer; zero means never.
func (a *agent) deadline() time.Time {
	if a.program.Deadline <= 0 {
		return time.Time{}
	}
	return a.start.Add(a.program.Deadline)
}

// next lets the caller do its next step.
func (a *agent) next(result workload.Result) {
	step, more := a.program.Next(result)
	if !more {
		a.complete()
		return
	}
	switch step.Kind {
	case workload.StepModel, workload.StepTool:
		a.submit(step)
	case workload.StepPause:
		a.pausedTime += step.Duration
		a.run.clock.after(step.Duration, func() { a.next(workload.Result{}) })
	case workload.StepSpawn:
		a.spawn(step.Children)
	}
}

// submit sends a call to the program's node.
func (a *agent) submit(step workload.Step) {
	a.sequence++
	submitted := &call{agent: a, sequence: a.sequence, step: step}
	if step.HangUpAfter > 0 {
		a.run.clock.after(step.HangUpAfter, func() { a.disconnect(submitted) })
	}
	delay := a.run.config.Deployment.ClientDelay + a.run.config.JournalDelay
	a.run.clock.after(delay, func() {
		if a.disconnected {
			return
		}
		submitted.prompt = a.history + step.InputTokens
		a.node.accept(submitted)
	})
}

// answer brings a call's result to the caller.
func (a *agent) answer(ended *call, status api.CallStatus, code api.Code) {
	if a.disconnected || ended.answered {
		return
	}
	ended.answered = true
	a.run.check.delivered(ended)
	switch status {
	case api.StatusNotRun:
		a.reason = refusalReason(code)
	case api.StatusFailed:
		if ended.step.Kind == workload.StepModel {
			a.reason = endFailed
			a.complete()
			return
		}
	}
	a.next(workload.Result{Status: status, Code: code})
}

// refusalReason tells a limit of the contract from a refusal for want of room.
func refusalReason(code api.Code) endReason {
	switch code {
	case api.CodeLimitReached, api.CodeBudgetExhausted:
		return endLimited
	}
	return endRefused
}

// disconnect drops the caller's connection, unless the answer was there first.
func (a *agent) disconnect(waiting *call) {
	if waiting.answered || a.disconnected {
		return
	}
	waiting.answered = true
	a.disconnected = true
	a.reason = endHungUp
	a.run.clock.after(a.run.config.Deployment.ClientDelay, func() { a.node.disconnect(a) })
	a.next(workload.Result{HungUp: true})
}

// spawn starts sub-agents and waits for all of them.
func (a *agent) spawn(children []*workload.Program) {
	a.childrenLeft = len(children)
	a.childTokens = 0
	for _, child := range children {
		a.run.startProgram(child, a)
	}
}

// childEnded counts a sub-agent that has ended.
func (a *agent) childEnded(outputTokens int) {
	a.childrenLeft--
	a.childTokens += outputTokens
	if a.childrenLeft == 0 {
		a.next(workload.Result{ChildOutputTokens: a.childTokens})
	}
}

// over ends the program at its caller, and at its node a little later.
func (a *agent) complete() {
	if !a.disconnected {
		a.run.clock.after(a.run.config.Deployment.ClientDelay, func() { a.node.end(a) })
	}
	if a.parent != nil {
		a.parent.childEnded(a.lastOutput)
		return
	}
	a.run.ended++
	a.run.measure.ended(a, a.run.clock.now.Sub(a.start))
	if progress := a.run.config.Progress; progress != nil {
		progress(a.run.policy, a.run.ended, a.run.config.Programs+a.run.extra)
	}
}

// limit says which limit of the contract a call would pass, if any.
func (a *agent) limit(next *call) api.Code {
	if next.step.Kind != workload.StepModel {
		return ""
	}
	if a.branch.MaxTurns > 0 && a.turns >= a.branch.MaxTurns {
		return api.CodeLimitReached
	}
	if a.branch.BudgetTokens > 0 && a.spent+a.reserved+reservation(next) > a.branch.BudgetTokens {
		return api.CodeBudgetExhausted
	}
	return ""
}

// reservation is what a call may cost at most.
func reservation(next *call) int64 {
	if next.step.Kind != workload.StepModel {
		return 0
	}
	return int64(next.prompt + next.step.OutputCap)
}

// reserve holds a call's cost against the budget.
func (a *agent) reserve(next *call) {
	a.reserved += reservation(next)
	if next.step.Kind == workload.StepModel {
		a.turns++
	}
}

// settle turns a model call's reservation into its cost, and adds the call to
// the history.
func (a *agent) settle(ended *call, usage api.Usage) {
	a.reserved -= reservation(ended)
	a.spent += int64(usage.PromptTokens + usage.OutputTokens)
	a.attained += int64(usage.PromptTokens - usage.CachedTokens + usage.OutputTokens)
	a.history = ended.prompt + usage.OutputTokens
	a.lastOutput = usage.OutputTokens
	a.run.check.budget(a)
}

// settleTool adds a tool call to the history.
func (a *agent) settleTool(ended *call) {
	a.history += ended.step.InputTokens + ended.step.OutputTokens
}

// addEngine remembers that an engine may hold a prefix of the program.
func (a *agent) addEngine(id machine.ID) {
	if !slices.Contains(a.engines, id) {
		a.engines = append(a.engines, id)
	}
}
