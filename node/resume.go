package node

import (
	"context"
	"errors"
	"time"

	"birchwood.example/birchwood/engine"
	"birchwood.example/birchwood/httpclient"
	"birchwood.example/birchwood/internal/wait"
)

// resumeDelays are the delays before an interrupted stream is resumed. They are
// short compared to the duration of an answer: if the engine stays unreachable,
// the next attempt uses another engine.
var resumeDelays = []time.Duration{100 * time.Millisecond, 400 * time.Millisecond}

// answerError is a failure reported by the engine, or a gap in the answer.
// Resuming the stream does not help in either case.
type answerError struct{ message string }

// Error describes the failure.
func (e *answerError) Error() string { return e.message }

// generate receives one answer. It resumes an interrupted stream by its name at
// the point of the interruption, because the engine continues generating, and
// restarting elsewhere would prefill the prompt again and occupy two engines. If
// the stream cannot be resumed, generate returns the error of the first
// interruption, so that the request counts as sent.
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

// resumable reports whether the engine may still hold the stream after err: the
// request was sent, the context has not ended, and the engine neither reported a
// failure nor became unresponsive.
func resumable(err error) bool {
	var notSent *engine.NotSentError
	var failed *answerError
	if errors.As(err, &notSent) || errors.As(err, &failed) {
		return false
	}
	contextEnded := errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
	return !contextEnded && !errors.Is(err, httpclient.ErrUnresponsive)
}
