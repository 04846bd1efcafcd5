package program_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/program"
)

// driver replaces the node around a store: it keeps the log, sets the offset of
// each record, and lists the effects in an order in which they could be
// performed.
type driver struct {
	store   *program.Store
	config  program.Config
	now     time.Time
	epoch   uint64
	log     []program.Record
	effects []program.Effect
}

func newDriver(config program.Config) *driver {
	d := &driver{config: config, epoch: 1, now: time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)}
	d.store = d.newStore()
	return d
}

func (d *driver) newStore() *program.Store {
	config := d.config
	config.Random = rand.New(rand.NewPCG(7, 7))
	store, err := program.NewStore(config)
	if err != nil {
		panic(err)
	}
	return store
}

// commit makes an output durable and returns its effects.
func (d *driver) commit(output program.Output) []program.Effect {
	for _, record := range output.Records {
		d.log = append(d.log, roundTrip(record))
		d.store.SetRecordOffset(record.Program, record, uint64(len(d.log)-1))
	}
	effects := append(output.Immediate, output.Effects...)
	d.effects = append(d.effects, effects...)
	return effects
}

// roundTrip encodes and decodes a record, as if it were read back from the log.
func roundTrip(record program.Record) program.Record {
	encoded, err := json.Marshal(record)
	if err != nil {
		panic(err)
	}
	var decoded program.Record
	if err := json.Unmarshal(encoded, &decoded); err != nil {
		panic(err)
	}
	return decoded
}

// step applies a command that must be accepted, and commits its output.
func (d *driver) step(command program.Command) program.Output {
	output, refusal := d.store.Step(d.now, command)
	if refusal != nil {
		panic(fmt.Sprintf("refused: %v", refusal))
	}
	d.commit(output)
	return output
}

// refused applies a command that must be refused.
func (d *driver) refused(command program.Command) *api.Error {
	output, refusal := d.store.Step(d.now, command)
	if refusal == nil {
		panic(fmt.Sprintf("accepted: %+v", output))
	}
	return refusal
}

// tick advances the time and runs Tick until nothing more is due.
func (d *driver) tick(elapsed time.Duration) {
	d.now = d.now.Add(elapsed)
	for wake := d.store.NextWake(); !wake.IsZero() && !wake.After(d.now); wake = d.store.NextWake() {
		d.commit(d.store.Tick(d.now))
	}
}

// crash discards the store and all but the first records of the log. The next
// owner replays those and resumes.
func (d *driver) crash(surviving int) {
	d.log = d.log[:surviving]
	d.effects = nil
	d.store = d.newStore()
	for offset, record := range d.log {
		if err := d.store.Recover(uint64(offset), record); err != nil {
			panic(err)
		}
	}
	d.epoch++
	d.commit(d.store.Resume(d.now, d.epoch))
}

// effect returns the last effect of this kind for the call, or nil.
func (d *driver) effect(kind program.EffectKind, call program.CallRef) *program.Effect {
	for i := len(d.effects) - 1; i >= 0; i-- {
		if d.effects[i].Kind == kind && d.effects[i].Attempt.CallRef == call {
			return &d.effects[i]
		}
	}
	return nil
}

// count returns the number of effects of this kind for the call.
func (d *driver) count(kind program.EffectKind, call program.CallRef) int {
	count := 0
	for _, effect := range d.effects {
		if effect.Kind == kind && effect.Attempt.CallRef == call {
			count++
		}
	}
	return count
}

func ref(id api.ProgramID, sequence uint64) program.CallRef {
	return program.CallRef{Program: id, Sequence: sequence}
}

// terms returns the terms that most tests use.
func terms() program.Terms {
	return program.Terms{
		Revision: 1, Placement: "isando_midrand-a", Models: []string{"small"}, Tools: []string{"seal", "read"},
		BudgetTokens: 10_000, MaxTurns: 20, MaxDuration: time.Hour, IdleTimeout: 10 * time.Minute,
		CallTimeout: time.Minute, ToolTimeout: 20 * time.Second, MaxOutputTokens: 100, Attempts: 3,
	}
}

func modelCall(key string) api.SubmitCall {
	return api.SubmitCall{Key: key, Kind: api.CallModel, Model: "small", Input: "input of " + key}
}

// sealCall returns a tool call that is not repeatable.
func sealCall(key string) api.SubmitCall {
	return api.SubmitCall{Key: key, Kind: api.CallTool, Tool: "seal", Input: "seal " + key}
}

// readCall returns a repeatable tool call.
func readCall(key string) api.SubmitCall {
	return api.SubmitCall{Key: key, Kind: api.CallTool, Tool: "read", Repeatable: true, Input: "read " + key}
}

func at(sequence uint64, call api.SubmitCall) api.SubmitCall {
	call.Sequence = sequence
	return call
}

func createCommand(id api.ProgramID) program.Command {
	request := api.CreateProgram{Branch: "koudeketting/triage", Key: string(id)}
	return program.Command{Program: id, Create: &program.Create{Request: request, Terms: terms()}}
}

func submitCommand(id api.ProgramID, call api.SubmitCall) program.Command {
	return program.Command{Program: id, Submit: &program.Submit{Request: call}}
}

func (d *driver) create(id api.ProgramID) { d.step(createCommand(id)) }

func (d *driver) submit(id api.ProgramID, call api.SubmitCall) *api.Call {
	return d.step(submitCommand(id, call)).Call
}

func (d *driver) dispatchCommand(id api.ProgramID, sequence uint64) program.Command {
	return program.Command{Dispatch: &program.Dispatch{Call: ref(id, sequence), Backend: "engine-1", Epoch: d.epoch}}
}

func (d *driver) dispatch(id api.ProgramID, sequence uint64) { d.step(d.dispatchCommand(id, sequence)) }

// outcome reports the outcome of the call's current attempt.
func (d *driver) outcome(id api.ProgramID, sequence uint64, outcome program.Outcome) program.Output {
	call, _ := d.store.Call(id, sequence, "")
	outcome.Attempt = program.AttemptRef{CallRef: ref(id, sequence), Attempt: call.Attempt}
	return d.step(program.Command{Outcome: &outcome})
}

func (d *driver) succeed(id api.ProgramID, sequence uint64, output string) {
	usage := api.Usage{PromptTokens: 10, OutputTokens: 5}
	d.outcome(id, sequence, program.Outcome{Status: api.StatusSucceeded, Output: output, Usage: usage})
}

func (d *driver) lookup(id api.ProgramID, sequence uint64, result program.LookupResult) {
	result.Call = ref(id, sequence)
	d.step(program.Command{Lookup: &result})
}

func (d *driver) call(id api.ProgramID, sequence uint64) api.Call {
	call, _ := d.store.Call(id, sequence, "")
	return call
}
