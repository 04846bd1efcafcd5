package program_test

import (
	"fmt"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/program"
)

// A driver makes the records durable and then performs the effects. In this
// example, it also acts as the log, the scheduler and the engine.
func ExampleStore() {
	store, err := program.NewStore(program.Config{})
	if err != nil {
		panic(err)
	}
	now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	offset := uint64(0)
	step := func(command program.Command) {
		output, refusal := store.Step(now, command)
		if refusal != nil {
			fmt.Println("refused:", refusal.Code)
			return
		}
		for _, record := range output.Records {
			store.SetRecordOffset(record.Program, record, offset) // the record is in the log now
			offset++
		}
		for _, effect := range append(output.Immediate, output.Effects...) {
			fmt.Println(effect.Kind, effect.Attempt.Sequence, effect.Attempt.Attempt)
		}
	}

	contract := program.Terms{
		Placement: "isando", Models: []string{"small"}, BudgetTokens: 1000,
		MaxOutputTokens: 100, CallTimeout: time.Minute, Attempts: 3,
	}
	request := api.CreateProgram{Branch: "koudeketting/triage", Key: "truck 7"}
	step(program.Command{Program: "isando.0.1", Create: &program.Create{Request: request, Terms: contract}})

	call := api.SubmitCall{Key: "turn 1", Kind: api.CallModel, Model: "small", Input: "Is the vaccine safe?"}
	step(program.Command{Program: "isando.0.1", Submit: &program.Submit{Request: call}})

	ref := program.CallRef{Program: "isando.0.1", Sequence: 1}
	step(program.Command{Dispatch: &program.Dispatch{Call: ref, Backend: "engine-4", Epoch: 1}})

	answer := program.Outcome{
		Attempt: program.AttemptRef{CallRef: ref, Attempt: 1},
		Status:  api.StatusSucceeded, Output: "Yes.",
		Usage: api.Usage{PromptTokens: 5, OutputTokens: 1},
	}
	step(program.Command{Outcome: &answer})
	step(program.Command{Program: "isando.0.1", End: &program.End{Reason: "done"}})
	step(program.Command{Program: "isando.0.1", Submit: &program.Submit{Request: api.SubmitCall{Key: "turn 2", Kind: api.CallModel}}})

	described, _ := store.Describe("isando.0.1")
	fmt.Println("spent", described.SpentTokens, "of", described.BudgetTokens)
	// Output:
	// start 1 0
	// send 1 1
	// answer 1 1
	// release 0 0
	// refused: program_ended
	// spent 6 of 1000
}
