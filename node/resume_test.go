package node

import (
	"context"
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/engine"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/operator"
	"birchwood.example/birchwood/program"
	"birchwood.example/birchwood/stream"
)

// wholeAnswer is the answer that interruptedEngine generates.
const wholeAnswer = "the seal of pallet seven is whole"

// interruptedEngine interrupts its first streams, interruptions in number, after
// five bytes each. Later requests fail with finalErr, if it is set.
type interruptedEngine struct {
	engine.Client
	interruptions int
	finalErr      error
	requests      []engine.GenerateRequest
}

func (e *interruptedEngine) Engine(machine.Machine) engine.Client { return e }

func (e *interruptedEngine) Generate(_ context.Context, request engine.GenerateRequest, receive func(engine.Chunk) error) error {
	e.requests = append(e.requests, request)
	if len(e.requests) > e.interruptions && e.finalErr != nil {
		return e.finalErr
	}
	rest := wholeAnswer[request.ResumeFrom:]
	if len(e.requests) <= e.interruptions {
		_ = receive(engine.Chunk{Offset: request.ResumeFrom, Text: rest[:5]})
		return errors.New("the connection was reset")
	}
	return receive(engine.Chunk{Offset: request.ResumeFrom, Text: rest, Done: true})
}

var _ = Describe("A model call whose stream is cut", func() {
	run := func(engines *interruptedEngine) control.AttemptEnded {
		node := &Node{engines: engines, metrics: operator.NewMetrics(), transcripts: newTranscripts(1, nil)}
		attempt := program.AttemptRef{CallRef: program.CallRef{Program: "demo.0.00000000000000aa", Sequence: 1}, Attempt: 1}
		buffer := stream.NewBuffer()
		buffer.Restart(1)
		return node.runModel(context.Background(), control.SendAttempt{
			Attempt: attempt, Call: api.SubmitCall{Kind: api.CallModel, Input: "Is the seal whole?"},
		}, buffer)
	}

	It("goes on by its name from where it ended", func() {
		engines := &interruptedEngine{interruptions: 2}
		ended := run(engines)
		Expect(ended.Outcome.Status).To(Equal(api.StatusSucceeded), "%+v", ended.Outcome.Error)
		Expect(ended.Outcome.Output).To(Equal(wholeAnswer))
		Expect(engines.requests).To(HaveLen(3))
		Expect(engines.requests[2].ResumeFrom).To(Equal(10))
		Expect(engines.requests[2].Stream).To(Equal(engines.requests[0].Stream))
	})

	It("ends as failed, not as unsent, when the engine is gone meanwhile", func() {
		engines := &interruptedEngine{interruptions: 1, finalErr: &engine.NotSentError{Cause: errors.New("refused")}}
		ended := run(engines)
		Expect(ended.Outcome.Status).To(Equal(api.StatusFailed))
		Expect(engines.requests).To(HaveLen(2))
	})
})
