package node

import (
	"context"
	"errors"
	"time"

	"birchwood.example/birchwood/engine"
	"birchwood.example/birchwood/httpclient"
	"birchwood.example/birchwood/internal/wait"
)

// resumeDelays are the pauses before a cut stream is asked for again. They are
// short beside an answer: an engine that does not come back is left to the next
// attempt, at another engine.
var resumeDelays = []time.Duration{100 * time.Millisecond, 400 * time.Millisecond}

// answerError is a failure that the engine itself reported, or an answer that
// cannot be whole: asking for the rest of the stream does not help.
type answerError struct{ message string }

// Error describes the failure.
func (e *answerError) Error() string { return e.message }

// generate gets one answer. A stream that is cut goes on where it ended, by
// its name: the engine has not stopped for it, and starting anew elsewhere
// would compute the prompt again and hold two engines. When the stream cannot
// be resumed, the error of the first cut is returned: the request was sent.
func (n *Node) generate(ctx context.Context, client engine.Client, request engine.GenerateRequest, answer *modelAnswer) error {
	firstErr := n.generateOnce(ctx, client, request, answer)
	for _, delay := range resumeDelays {
		if firstErr == nil || !resumable(firstErr) || !wait.For(ctx, delay) {
			return firstErr
		}
		request.ResumeFrom = answer.text.Len()
		resumeErr := n.generateOnce(ctx, client, request, answer)
		if resumeErr == nil {
			return nil
		}
		if !resumable(resumeErr) {
			return firstErr
		}
	}
	return firstErr
}

func (n *Node) generateOnce(ctx context.Context, client engine.Client, request engine.GenerateRequest, answer *modelAnswer) error {
	err := client.Generate(ctx, request, answer.receive)
	if err == nil && answer.last == nil {
		return errIncompleteAnswer
	}
	return err
}

// resumable reports whether the engine may still hold the stream: it was sent,
// nobody has given it up, and the engine neither failed it nor fell silent.
func resumable(err error) bool {
	var notSent *engine.NotSentError
	var failed *answerError
	if errors.As(err, &notSent) || errors.As(err, &failed) {
		return false
	}
	contextEnded := errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
	return !contextEnded && !errors.Is(err, httpclient.ErrUnresponsive)
}
