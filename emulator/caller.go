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

// agent is one running program. It holds the state of both its caller and its
// node.
type agent struct {
	run       *simulation
	id        api.ProgramID
	program   *workload.Program
	branch    workload.Branch
	placement zone.Placement
	node      *node
	parent    *agent
	// start is the intended start; a sub-agent has that of its parent.
	start time.Time
	// pausedTime is the total time of pauses in which a person reads and types.
	pausedTime time.Duration

	sequence uint64
	turns    int
	// history is the length of the program's history, in tokens; computed is
	// the length of the longest part that any engine has computed.
	history  int
	computed int
	// attained is the attained service in tokens: uncached prompt tokens and
	// output tokens. spent and reserved count against the token budget.
	attained int64
	spent    int64
	reserved int64
	// engines lists the engines that may hold a prefix of the program.
	engines    []machine.ID
	lastEngine machine.ID
	lastOutput int

	// childrenLeft is the number of running sub-agents; childTokens sums the
	// output tokens of those that have ended.
	childrenLeft int
	childTokens  int
	// disconnected is set once the caller has disconnected; ended is set once the
	// node has removed the program.
	disconnected bool
	ended        bool
	// reason is why the program ended.
	reason endReason
}

// startProgram starts a program at the current time. parent is nil unless the
// program is a sub-agent, which runs on the node of its parent.
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

// owner picks a node for a program by hash among the nodes of the permitted zones.
func (s *simulation) owner(placement zone.Placement, name string) *node {
	var permitted []*node
	for _, each := range s.nodes {
		if placement.Contains(each.zone) {
			permitted = append(permitted, each)
		}
	}
	return permitted[stableHash(name)%uint64(len(permitted))]
}

// deadline returns the time after which an answer is of no use to the caller. The
// zero time means that there is no deadline.
func (a *agent) deadline() time.Time {
	if a.program.Deadline <= 0 {
		return time.Time{}
	}
	return a.start.Add(a.program.Deadline)
}

// next starts the next step of the caller, given the result of the previous one.
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

// submit sends a call to the node that owns the program.
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

// answer delivers the result of a call to the caller, which ends the program after
// a failed model call.
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

// refusalReason distinguishes a limit of the contract from a refusal for lack of
// capacity.
func refusalReason(code api.Code) endReason {
	switch code {
	case api.CodeLimitReached, api.CodeBudgetExhausted:
		return endLimited
	}
	return endRefused
}

// disconnect closes the caller's connection, unless the answer has arrived.
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

// childEnded records the end of a sub-agent. After the last one the program
// continues.
func (a *agent) childEnded(outputTokens int) {
	a.childrenLeft--
	a.childTokens += outputTokens
	if a.childrenLeft == 0 {
		a.next(workload.Result{ChildOutputTokens: a.childTokens})
	}
}

// complete ends the program at its caller, and at its node after the client delay.
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

// limit returns the code of the contract limit that a call would exceed, or an
// empty code.
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

// reservation returns the largest number of tokens that a call may cost.
func reservation(next *call) int64 {
	if next.step.Kind != workload.StepModel {
		return 0
	}
	return int64(next.prompt + next.step.OutputCap)
}

// reserve charges the reservation of a call to the budget, and counts a model call
// as a turn.
func (a *agent) reserve(next *call) {
	a.reserved += reservation(next)
	if next.step.Kind == workload.StepModel {
		a.turns++
	}
}

// settle replaces the reservation of a model call by its cost and adds the call to
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

// addEngine records that an engine may hold a prefix of the program.
func (a *agent) addEngine(id machine.ID) {
	if !slices.Contains(a.engines, id) {
		a.engines = append(a.engines, id)
	}
}
