package load

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/history"
	"birchwood.example/birchwood/internal/wait"
	"birchwood.example/birchwood/program"
	"birchwood.example/birchwood/workload"
)

// agent runs one program as its caller.
type agent struct {
	*caller
	program *workload.Program
	id      api.ProgramID
	// transcript is the program's history according to its answered calls.
	// transcriptKnown is false after a refused call, as it is then uncertain
	// whether the call is part of the history.
	transcript      strings.Builder
	transcriptKnown bool
	sequence        uint64
	// calls are the successful calls, to be compared with the history.
	calls []api.Call
	// cachedTokens is the length of the part of the history that engines have
	// computed, in tokens.
	cachedTokens int
	// output is the length of the last answer in tokens. A parent adds it to
	// its next input.
	output int
	paused time.Duration
	hungUp bool
	// stopBy is the time from which no further step is made, or zero. stopped
	// is set when the program ended for this reason.
	stopBy    time.Time
	stopped   bool
	newCaller func() *caller
}

// run creates the program, performs its steps and ends it. It returns an error
// if a request remained unanswered.
func (a *agent) run(ctx context.Context, parent api.ProgramID, budget int64) error {
	branch := a.program.Branch
	if a.config.Branch != "" {
		branch = a.config.Branch
	}
	request := api.CreateProgram{Branch: string(branch), Key: a.program.ID, BudgetTokens: budget}
	created, err := a.create(ctx, request, parent)
	if err != nil {
		return a.ignoreRefusal("create", err)
	}
	a.id = created.ID
	a.config.Recorder.Record(history.Event{At: time.Now(), ProgramCreated: &history.ProgramCreated{
		Program: created.ID, Branch: created.Branch, Parent: parent, BudgetTokens: created.BudgetTokens,
	}})
	if err := a.steps(ctx); err != nil || a.hungUp {
		return err
	}
	return a.finish(ctx)
}

// steps performs the program's steps in order.
func (a *agent) steps(ctx context.Context) error {
	step, more := a.program.Next(workload.Result{})
	for more {
		if !a.stopBy.IsZero() && time.Now().After(a.stopBy) {
			a.stopped = true
			return nil
		}
		result, err := a.perform(ctx, step)
		if err != nil {
			return err
		}
		step, more = a.program.Next(result)
	}
	return nil
}

// perform performs one step.
func (a *agent) perform(ctx context.Context, step workload.Step) (workload.Result, error) {
	switch step.Kind {
	case workload.StepModel, workload.StepTool:
		return a.call(ctx, step)
	case workload.StepPause:
		return workload.Result{}, a.pause(ctx, step.Duration)
	case workload.StepSpawn:
		return a.spawn(ctx, step)
	}
	return workload.Result{}, fmt.Errorf("unknown step %q", step.Kind)
}

// pause waits for the duration of a user's pause, divided by Speed.
func (a *agent) pause(ctx context.Context, length time.Duration) error {
	length = time.Duration(float64(length) / a.config.Speed)
	a.paused += length
	if !wait.For(ctx, length) {
		return ctx.Err()
	}
	return nil
}

// call makes a model or tool call.
func (a *agent) call(ctx context.Context, step workload.Step) (workload.Result, error) {
	request := a.request(step)
	if request.Kind == api.CallTool {
		a.totals.toolCalled(program.CallRef{Program: a.id, Sequence: request.Sequence}, request.Repeatable)
	}
	if step.HangUpAfter > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		timer := time.AfterFunc(time.Duration(float64(step.HangUpAfter)/a.config.Speed), cancel)
		defer timer.Stop()
	}
	result, err := a.submit(ctx, a.id, request)
	if step.HangUpAfter > 0 && errors.Is(ctx.Err(), context.Canceled) && err != nil {
		a.hungUp = true
		return workload.Result{HungUp: true}, nil
	}
	var refusal *api.Error
	if err != nil && !errors.As(err, &refusal) {
		a.totals.unanswered(fmt.Errorf("program %s, call %d: %w", a.id, request.Sequence, err))
		return workload.Result{}, err
	}
	if refusal != nil {
		a.transcriptKnown = false
		return workload.Result{Status: api.StatusNotRun, Code: refusal.Code}, nil
	}
	a.sequence = result.call.Sequence
	a.recordAnswer(request, result)
	outcome := workload.Result{Status: result.call.Status}
	if result.call.Error != nil {
		outcome.Code = result.call.Error.Code
	}
	return outcome, nil
}

// request returns the call of a step. The stand-ins draw the length of an
// answer uniformly from the upper three quarters of its cap, so a cap of 8/5 of
// the step's output length gives this length on average.
func (a *agent) request(step workload.Step) api.SubmitCall {
	request := api.SubmitCall{
		Key:        fmt.Sprintf("call-%d", a.sequence+1),
		Sequence:   a.sequence + 1,
		Kind:       api.CallTool,
		Tool:       step.Tool,
		Repeatable: step.Repeatable,
		Input:      inputText(a.program.ID, a.sequence+1, step.InputTokens),
	}
	if step.Kind == workload.StepModel {
		request.Kind = api.CallModel
		request.Model = step.Model
		if a.config.Model != "" {
			request.Model = a.config.Model
		}
		request.MaxOutputTokens = max(minimumOutputCap, step.OutputTokens*8/5)
	}
	return request
}

// minimumOutputCap is the smallest output cap, in tokens. A shorter answer may
// not contain the complete hash.
const minimumOutputCap = 8

// bytesPerToken is the text length that nodes count as one token.
const bytesPerToken = 4

// inputText returns a text of the given length that is unique to the call.
func inputText(program string, sequence uint64, tokens int) string {
	head := fmt.Sprintf("[%s#%d] ", program, sequence)
	length := max(len(head), tokens*bytesPerToken)
	filler := strings.Repeat("lorem ipsum dolor sit amet ", (length-len(head))/27+1)
	return head + filler[:length-len(head)]
}

// recordAnswer checks a call's answer and adds its usage to the totals.
func (a *agent) recordAnswer(request api.SubmitCall, result answered) {
	call := result.call
	a.totals.callEnded(call)
	if call.Status != api.StatusSucceeded {
		return
	}
	a.calls = append(a.calls, api.Call{Sequence: call.Sequence, Key: request.Key, Input: request.Input, Output: call.Output})
	if request.Kind == api.CallModel {
		a.totals.firstText(a.program.Kind, result.firstText)
		a.countCache(call.Usage)
	}
	if a.transcriptKnown && !a.config.SkipAnswerCheck && !answerMatches(request, a.transcript.String(), call.Output) {
		a.totals.wrongAnswer(fmt.Errorf("program %s, call %d: the answer belongs to another call or history", a.id, call.Sequence))
	}
	a.transcript.WriteString(request.Input)
	a.transcript.WriteString(call.Output)
	a.output = call.Usage.OutputTokens
}

// countCache counts the prompt tokens that were computed again although an
// engine had already computed them for this program.
func (a *agent) countCache(usage api.Usage) {
	recomputed := min(a.cachedTokens, usage.PromptTokens) - usage.CachedTokens
	a.totals.prompt(usage, max(0, recomputed))
	a.cachedTokens = usage.PromptTokens + usage.OutputTokens
}

// childBudgetDivisor determines the budget of a sub-agent: the parent's unused
// budget divided by this number.
const childBudgetDivisor = 8

// spawn runs sub-agents concurrently and waits for all of them.
func (a *agent) spawn(ctx context.Context, step workload.Step) (workload.Result, error) {
	described, err := a.describe(ctx, a.id)
	if err != nil {
		return workload.Result{}, a.ignoreRefusal("describe", err)
	}
	share := (described.BudgetTokens - described.SpentTokens - described.ReservedTokens) / childBudgetDivisor
	if share <= 0 {
		return workload.Result{}, nil
	}
	failures := make([]error, len(step.Children))
	outputs := make([]int, len(step.Children))
	var group sync.WaitGroup
	for i, child := range step.Children {
		group.Go(func() {
			each := &agent{caller: a.newCaller(), program: child, transcriptKnown: true, newCaller: a.newCaller, stopBy: a.stopBy}
			failures[i] = each.run(ctx, a.id, share)
			outputs[i] = each.output
		})
	}
	group.Wait()
	result := workload.Result{}
	for _, output := range outputs {
		result.ChildOutputTokens += output
	}
	return result, errors.Join(failures...)
}

// finish compares the program's history with the calls made, then ends the
// program.
func (a *agent) finish(ctx context.Context) error {
	calls, err := a.readHistory(ctx, a.id)
	if err != nil {
		return a.ignoreRefusal("history", err)
	}
	if err := compareCalls(a.calls, calls); err != nil {
		a.totals.wrongAnswer(fmt.Errorf("program %s: %w", a.id, err))
	}
	if err := a.end(ctx, a.id); err != nil {
		return a.ignoreRefusal("end", err)
	}
	a.totals.programEnded(a.id)
	a.config.Recorder.Record(history.Event{At: time.Now(), ProgramEnded: &history.ProgramEnded{Program: a.id}})
	return nil
}

// ignoreRefusal returns nil for a refusal, since a refusal is an answer. It
// counts any other error as an unanswered request and returns it.
func (a *agent) ignoreRefusal(operation string, err error) error {
	var refusal *api.Error
	if errors.As(err, &refusal) {
		return nil
	}
	a.totals.unanswered(fmt.Errorf("program %s, %s: %w", a.program.ID, operation, err))
	return err
}

// compareCalls returns an error for the first expected call that the history that
// was read lacks or contains with a different key, input or output.
func compareCalls(expected, read []api.Call) error {
	bySequence := map[uint64]api.Call{}
	for _, call := range read {
		bySequence[call.Sequence] = call
	}
	for _, call := range expected {
		actual, found := bySequence[call.Sequence]
		if !found {
			return fmt.Errorf("call %d is missing from the history", call.Sequence)
		}
		if actual.Key != call.Key || actual.Input != call.Input || actual.Output != call.Output {
			return fmt.Errorf("call %d has a different key, input or output in the history", call.Sequence)
		}
	}
	return nil
}
