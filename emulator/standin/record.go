package standin

import (
	"strconv"
	"strings"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/emulator/enginemodel"
	"birchwood.example/birchwood/engine"
	"birchwood.example/birchwood/history"
	"birchwood.example/birchwood/tool"
)

// attemptOf parses the name of an engine's stream, "program/sequence/attempt", or
// the key of a tool's run, "program/sequence/caller's key". attempt is 0 if the
// last part isn't a number; found is false for names of another form.
func attemptOf(name string) (program api.ProgramID, sequence uint64, attempt int, found bool) {
	parts := strings.SplitN(name, "/", 3)
	if len(parts) != 3 {
		return "", 0, 0, false
	}
	sequence, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return "", 0, 0, false
	}
	attempt, err = strconv.Atoi(parts[2])
	if err != nil {
		attempt = 0
	}
	return api.ProgramID(parts[0]), sequence, attempt, true
}

// recordStart records that the engine started an answer.
func (r *runningEngine) recordStart(request engine.GenerateRequest) {
	program, sequence, attempt, found := attemptOf(request.Stream)
	if !found || r.recorder == nil {
		return
	}
	r.recorder.Record(history.Event{At: time.Now(), AttemptStarted: &history.AttemptStarted{
		Backend: r.config.ID, Zone: r.config.Zone, Program: program, Sequence: sequence, Attempt: attempt,
		Kind: api.CallModel, Repeatable: true, PromptHash: history.HashText(request.Prompt),
	}})
}

// recordEnd records that the engine ended an answer. The mutex must be held.
func (r *runningEngine) recordEnd(ended *enginemodel.Finished) {
	program, sequence, attempt, found := attemptOf(ended.Stream)
	if !found || r.recorder == nil {
		return
	}
	outcome := history.OutcomeSucceeded
	if ended.Cancelled {
		outcome = history.OutcomeCancelled
	}
	r.recorder.Record(history.Event{At: time.Now(), AttemptFinished: &history.AttemptFinished{
		Backend: r.config.ID, Program: program, Sequence: sequence, Attempt: attempt, Outcome: outcome,
		Output: r.answers[ended.Stream].text.slice(0, ended.Usage.OutputTokens), Usage: ended.Usage,
	}})
}

// recordStart records that a tool's run took effect.
func (t *toolService) recordStart(request tool.Request) {
	program, sequence, _, found := attemptOf(request.Key)
	if !found || t.recorder == nil {
		return
	}
	t.recorder.Record(history.Event{At: time.Now(), AttemptStarted: &history.AttemptStarted{
		Backend: t.config.ID, Zone: t.config.Zone, Program: program, Sequence: sequence, Kind: api.CallTool,
	}})
}

// recordEnd records the output of a tool's run.
func (t *toolService) recordEnd(request tool.Request, output string) {
	program, sequence, _, found := attemptOf(request.Key)
	if !found || t.recorder == nil {
		return
	}
	t.recorder.Record(history.Event{At: time.Now(), AttemptFinished: &history.AttemptFinished{
		Backend: t.config.ID, Program: program, Sequence: sequence, Outcome: history.OutcomeSucceeded, Output: output,
	}})
}
