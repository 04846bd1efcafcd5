package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/control"
)

const (
	// callsPerProgram is how many calls each program makes; every third one
	// is a tool call.
	callsPerProgram = 3
	// answerTimeout bounds a call with its retries.
	answerTimeout = 90 * time.Second
	// attemptTimeout bounds one try of a request.
	attemptTimeout = 20 * time.Second
	// retryDelay is the pause before a request is made again.
	retryDelay = 200 * time.Millisecond
	// maximumPause bounds the random pause between two calls of a program.
	maximumPause = 2 * time.Second
	// forwards is how many owners one try follows.
	forwards  = 3
	outputCap = 16
)

// load runs the programs.
type load struct {
	fleet    *fleet
	created  atomic.Int64
	answered atomic.Int64
	retried  atomic.Int64
	latency  latencies
	mutex    sync.Mutex
	open     []*agent
}

// agent is one program as its caller sees it.
type agent struct {
	load   *load
	branch contract.Path
	key    string
	id     api.ProgramID
	random *rand.Rand
	// history is what an engine must have seen before the next input.
	history string
	// notRun are the keys of tool calls that were answered as not run.
	notRun []string
}

// run starts programs at a steady rate and waits for their calls.
func (l *load) run(ctx context.Context) {
	random := newRandom(l.fleet.config.Seed, "load")
	branches := l.fleet.world.branches()
	var group sync.WaitGroup
	defer group.Wait()
	begun := time.Now()
	// The last tenth of the time is left for the calls to end.
	window := l.fleet.config.Duration * 9 / 10
	for index := range l.fleet.config.Programs {
		intended := begun.Add(window * time.Duration(index) / time.Duration(l.fleet.config.Programs))
		if err := sleep(ctx, time.Until(intended)); err != nil {
			return
		}
		created := &agent{
			load: l, key: fmt.Sprintf("program-%d", index), branch: branches[random.IntN(len(branches))],
			random: newRandom(l.fleet.config.Seed, fmt.Sprintf("program-%d", index)),
		}
		group.Go(func() { created.run(ctx) })
	}
}

// run creates the program and makes its calls, one after another.
func (a *agent) run(ctx context.Context) {
	if !a.create(ctx) {
		return
	}
	a.load.created.Add(1)
	a.load.mutex.Lock()
	a.load.open = append(a.load.open, a)
	a.load.mutex.Unlock()
	for sequence := uint64(1); sequence <= callsPerProgram; sequence++ {
		if err := sleep(ctx, time.Duration(a.random.Int64N(int64(maximumPause)))); err != nil {
			return
		}
		a.call(ctx, sequence)
	}
}

// create opens the program, whose id only a node that knows the branch names.
func (a *agent) create(ctx context.Context) bool {
	deadline := time.Now().Add(answerTimeout)
	var last *api.Error
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if running, ok := a.load.fleet.anyLive(a.random).running(); ok && a.id == "" {
			a.id, last = running.NewProgram(a.branch, a.key)
		}
		if a.id != "" {
			reply := a.try(ctx, control.Request{
				Operation: control.OperationCreate, Program: a.id,
				Create: &api.CreateProgram{Branch: string(a.branch), Key: a.key},
			})
			if reply.Error == nil {
				return true
			}
			last = reply.Error
		}
		a.load.retried.Add(1)
		if sleep(ctx, retryDelay) != nil {
			return false
		}
	}
	a.unanswered(ctx, "%s on %q was not created: %v", a.key, a.branch, last)
	return false
}

// call makes one call and asks again by its key until it has ended.
func (a *agent) call(ctx context.Context, sequence uint64) {
	submit := a.submission(sequence)
	started := time.Now()
	var last *api.Error
	for time.Since(started) < answerTimeout && ctx.Err() == nil {
		reply := a.try(ctx, control.Request{
			Operation: control.OperationSubmit, Program: a.id, Submit: &submit, Wait: true,
		})
		if reply.Error == nil && reply.Call != nil && reply.Call.Status.Terminal() {
			a.load.latency.add(time.Since(started))
			a.load.answered.Add(1)
			a.judge(submit, *reply.Call)
			return
		}
		last = reply.Error
		a.load.retried.Add(1)
		if sleep(ctx, retryDelay) != nil {
			return
		}
	}
	a.unanswered(ctx, "%s call %d: %v", a.id, sequence, last)
}

func (a *agent) submission(sequence uint64) api.SubmitCall {
	submit := api.SubmitCall{
		Key: fmt.Sprintf("call-%d", sequence), Sequence: sequence,
		Input: fmt.Sprintf("%s asks %d: %032x;", a.key, sequence, a.random.Uint64()),
	}
	if sequence%callsPerProgram == 0 {
		submit.Kind, submit.Tool = api.CallTool, toolName
		return submit
	}
	submit.Kind, submit.Model, submit.MaxOutputTokens = api.CallModel, modelName, outputCap
	return submit
}

// judge checks that a call's answer is its own and follows from the whole
// history before it.
func (a *agent) judge(submit api.SubmitCall, call api.Call) {
	if call.Status == api.StatusNotRun && submit.Kind == api.CallTool {
		a.notRun = append(a.notRun, fmt.Sprintf("%s/%d", a.id, call.Sequence))
	}
	if call.Status != api.StatusSucceeded {
		return
	}
	prompt := submit.Input
	if submit.Kind == api.CallModel {
		prompt = a.history + submit.Input
	}
	if call.Output != answerTo(prompt) || call.Key != submit.Key {
		a.load.fleet.violations.add(ViolationWrongAnswer, "%s call %d: %q, want %q", a.id, call.Sequence, call.Output, answerTo(prompt))
	}
	a.history += submit.Input + call.Output
}

// try makes a request at a random node and follows the owners it names, as a
// gateway does.
func (a *agent) try(ctx context.Context, request control.Request) control.Reply {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	at := a.load.fleet.anyLive(a.random)
	reply := control.Reply{Error: api.Refuse(api.CodeOwnerUnknown, "no node was found")}
	for range forwards {
		running, ok := at.running()
		if !ok {
			return reply
		}
		route, refusal := running.Route(a.id)
		if refusal != nil {
			return control.Reply{Error: refusal}
		}
		if route.Local {
			return running.Do(ctx, request)
		}
		next, ok := a.load.fleet.member(route.Owner)
		if !ok || !a.load.fleet.network.permits(at.entry.Zone, next.entry.Zone) {
			return reply
		}
		at = next
	}
	return reply
}

// end closes every program, so that the engines can let go of their memory.
func (l *load) end(ctx context.Context) {
	const workers = 64
	queue := make(chan *agent)
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for open := range queue {
				open.end(ctx)
			}
		})
	}
	for _, open := range l.open {
		queue <- open
	}
	close(queue)
	group.Wait()
}

func (a *agent) end(ctx context.Context) {
	started := time.Now()
	for time.Since(started) < answerTimeout && ctx.Err() == nil {
		reply := a.try(ctx, control.Request{Operation: control.OperationEnd, Program: a.id, Reason: "done"})
		if reply.Error == nil {
			return
		}
		if sleep(ctx, retryDelay) != nil {
			return
		}
	}
	a.unanswered(ctx, "%s was not ended", a.id)
}

// unanswered reports a request without an answer, unless the run itself was
// broken off.
func (a *agent) unanswered(ctx context.Context, format string, arguments ...any) {
	if ctx.Err() == nil {
		a.load.fleet.violations.add(ViolationUnanswered, format, arguments...)
	}
}

// checkTools compares the tools' runs with what callers were told.
func (l *load) checkTools() {
	ran := make(map[string]bool)
	for _, service := range l.fleet.backends.tools {
		service.mutex.Lock()
		for key, runs := range service.runs {
			ran[key] = true
			if runs > 1 {
				l.fleet.violations.add(ViolationRanTwice, "%s ran %d times", key, runs)
			}
		}
		service.mutex.Unlock()
	}
	for _, open := range l.open {
		for _, key := range open.notRun {
			if ran[key] {
				l.fleet.violations.add(ViolationNotRun, "%s", key)
			}
		}
	}
}

// checkMemory finds engines that hold memory for programs that have ended.
func (l *load) checkMemory() {
	for id, held := range l.fleet.backends.engines {
		held.mutex.Lock()
		for owner := range held.held {
			l.fleet.violations.add(ViolationMemoryHeld, "%s holds %s", id, owner)
		}
		held.mutex.Unlock()
	}
}
