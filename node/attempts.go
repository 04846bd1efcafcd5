package node

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/engine"
	"birchwood.example/birchwood/program"
	"birchwood.example/birchwood/stream"
	"birchwood.example/birchwood/tool"
)

// attemptTable holds the cancel function of each attempt that runs on this node.
type attemptTable struct {
	mutex   sync.Mutex
	cancels map[program.AttemptRef]context.CancelFunc
}

func newAttemptTable() *attemptTable {
	return &attemptTable{cancels: make(map[program.AttemptRef]context.CancelFunc)}
}

func (t *attemptTable) add(attempt program.AttemptRef, cancel context.CancelFunc) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.cancels[attempt] = cancel
}

// cancel stops an attempt. It does nothing if the attempt has already ended.
func (t *attemptTable) cancel(attempt program.AttemptRef) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if cancel, ok := t.cancels[attempt]; ok {
		cancel()
	}
}

func (t *attemptTable) remove(attempt program.AttemptRef) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if cancel, ok := t.cancels[attempt]; ok {
		cancel()
		delete(t.cancels, attempt)
	}
}

// startAttempt runs an attempt on its own goroutine and posts its outcome
// exactly once, also after a failure.
func (n *Node) startAttempt(action control.SendAttempt) {
	ctx, cancel := context.WithCancel(n.context)
	if !action.Deadline.IsZero() {
		cancel()
		ctx, cancel = context.WithDeadline(n.context, action.Deadline)
	}
	n.attempts.add(action.Attempt, cancel)
	run := n.runTool
	if action.Call.Kind == api.CallModel {
		// The buffer is created here, on the control goroutine, so that it
		// exists before the action that finishes the call.
		buffer := n.streams.ensure(action.Attempt.CallRef)
		buffer.Restart(action.Attempt.Attempt)
		run = func(ctx context.Context, action control.SendAttempt) control.AttemptEnded {
			return n.runModel(ctx, action, buffer)
		}
	}
	go func() {
		defer n.attempts.remove(action.Attempt)
		n.post(run(ctx, action))
	}()
}

// runTool sends one tool call. The outcome is known only if the service
// reported it or nothing was sent; any other error leaves it unknown.
func (n *Node) runTool(ctx context.Context, action control.SendAttempt) control.AttemptEnded {
	n.transcripts.beginIfCached(action.Attempt.CallRef, action.Call.Input, action.Prompt)
	request := tool.Request{Key: action.Key, Tool: action.Call.Tool, Input: action.Call.Input}
	output, err := n.tools.Tool(action.Backend).Run(ctx, request)
	ended := control.AttemptEnded{Backend: action.Backend.ID, Outcome: program.Outcome{Attempt: action.Attempt, Epoch: action.Epoch}}
	if err == nil {
		ended.Outcome.Status = api.StatusSucceeded
		ended.Outcome.Output = output
		return ended
	}
	ended.Outcome.Status, ended.Outcome.Error = classify(err, api.StatusOutcomeUnknown)
	return ended
}

// classify maps a back end's error to a call status and the error that callers
// see. otherwise is the status for errors that do not determine the outcome.
func classify(err error, otherwise api.CallStatus) (api.CallStatus, *api.Error) {
	var notSent *engine.NotSentError
	if errors.As(err, &notSent) {
		return api.StatusNotRun, api.Refuse(api.CodeBackendFailed, "%v", err).WithRetryAfter(0)
	}
	var failed *tool.FailedError
	if errors.As(err, &failed) {
		return api.StatusFailed, &api.Error{Code: api.CodeBackendFailed, Message: err.Error(), Ran: api.RanFailed}
	}
	ran := api.RanFailed
	if otherwise == api.StatusOutcomeUnknown {
		ran = api.RanOutcomeUnknown
	}
	return otherwise, &api.Error{Code: codeOf(err), Message: err.Error(), Ran: ran, Retry: true}
}

func codeOf(err error) api.Code {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return api.CodeTimeout
	case errors.Is(err, context.Canceled):
		return api.CodeCancelled
	default:
		return api.CodeBackendFailed
	}
}

// errIncompleteAnswer reports an answer that ended without the engine's final
// chunk.
var errIncompleteAnswer = errors.New("the engine's answer was cut short")

// runModel sends one model call and streams its tokens to the readers. The
// attempt succeeds only if the answer is complete.
func (n *Node) runModel(ctx context.Context, action control.SendAttempt, buffer *stream.Buffer) control.AttemptEnded {
	ended := control.AttemptEnded{Backend: action.Backend.ID, Outcome: program.Outcome{Attempt: action.Attempt, Epoch: action.Epoch}}
	prompt, err := n.transcripts.prompt(ctx, action.Partition, action.Attempt.CallRef, action.Call.Input, action.Prompt)
	if err != nil {
		ended.Outcome.Status = api.StatusNotRun
		ended.Outcome.Error = api.Refuse(api.CodeStoreUnavailable, "the program's history cannot be read: %v", err).WithRetryAfter(0)
		return ended
	}
	n.importBeforeSend(ctx, action)
	answer := modelAnswer{node: n, attempt: action.Attempt, buffer: buffer, started: time.Now()}
	err = n.generate(ctx, n.engines.Engine(action.Backend), n.generateRequest(action, prompt), &answer)
	if err != nil {
		ended.Outcome.Status, ended.Outcome.Error = classify(err, api.StatusFailed)
		return ended
	}
	ended.Outcome.Status = api.StatusSucceeded
	ended.Outcome.Output = answer.text.String()
	ended.Outcome.Usage = answer.last.Usage
	ended.Load = &answer.last.Load
	ended.Load.Backend = action.Backend.ID
	ended.Load.At = time.Now()
	ended.Resident = answer.last.ResidentTokens
	return ended
}

func (n *Node) generateRequest(action control.SendAttempt, prompt string) engine.GenerateRequest {
	attempt := action.Attempt
	return engine.GenerateRequest{
		Stream:          fmt.Sprintf("%s/%d/%d", attempt.Program, attempt.Sequence, attempt.Attempt),
		Owner:           attempt.Program,
		Model:           action.Call.Model,
		Prompt:          prompt,
		Priority:        action.Decision.EnginePriority,
		MaxOutputTokens: action.Call.MaxOutputTokens,
	}
}

// modelAnswer collects the chunks of one answer.
type modelAnswer struct {
	node    *Node
	attempt program.AttemptRef
	buffer  *stream.Buffer
	text    strings.Builder
	started time.Time
	last    *engine.Chunk
}

// receive adds one chunk. It fails on a gap between chunks, because the answer
// would be incomplete.
func (a *modelAnswer) receive(chunk engine.Chunk) error {
	if chunk.Error != "" {
		return &answerError{chunk.Error}
	}
	if chunk.Text != "" {
		if chunk.Offset != a.text.Len() {
			return &answerError{fmt.Sprintf("the answer has a gap: %d bytes received, next chunk at %d", a.text.Len(), chunk.Offset)}
		}
		if a.text.Len() == 0 {
			a.node.metrics.FirstToken(time.Since(a.started))
		}
		a.text.WriteString(chunk.Text)
		a.buffer.Append(a.attempt.Attempt, chunk.Offset, chunk.Text)
	}
	if chunk.Done {
		a.last = &chunk
	}
	return nil
}
