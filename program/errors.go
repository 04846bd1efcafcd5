package program

import (
	"fmt"
	"time"

	"birchwood.example/birchwood/api"
)

// The reasons that the store itself gives for ending a program.
const (
	ReasonIdle     = "idle"
	ReasonDuration = "limit_reached: duration"
	ReasonTurns    = "limit_reached: turns"
	ReasonParent   = "parent_ended"
)

func programNotFound(id api.ProgramID) *api.Error {
	return api.Refuse(api.CodeNotFound, "program %s is not known", id).At("$.program")
}

func callNotFound(id api.ProgramID, sequence uint64) *api.Error {
	return api.Refuse(api.CodeNotFound, "program %s has no call %d", id, sequence).At("$.sequence")
}

func programEnded(reason string) *api.Error {
	return api.Refuse(api.CodeProgramEnded, "the program has ended: %s", reason)
}

func keyReused(place string, format string, arguments ...any) *api.Error {
	return api.Refuse(api.CodeKeyReused, format, arguments...).At(place)
}

// staleDispatch tells the driver that a dispatch came for a call that does
// not wait for one any more.
func staleDispatch(call CallRef) *api.Error {
	return api.Refuse(api.CodeConflict, "call %d of %s does not wait for a back end", call.Sequence, call.Program)
}

// notRun is the outcome of a call that was never sent and never will be. The
// key keeps that answer, so that a copy of the request that is still on its
// way cannot run it either: a caller tries again with a new key.
func notRun(code api.Code, retryAfter time.Duration, format string, arguments ...any) *api.Error {
	refusal := api.Refuse(code, format, arguments...)
	if retryAfter > 0 {
		refusal.Message += "; submit it again with a new key"
		refusal.RetryAfterMilliseconds = max(1, retryAfter.Milliseconds())
	}
	return refusal
}

func callError(code api.Code, ran api.Ran, format string, arguments ...any) *api.Error {
	return &api.Error{Code: code, Message: fmt.Sprintf(format, arguments...), Ran: ran}
}

func unknownOutcome(format string, arguments ...any) *api.Error {
	return callError(api.CodeOutcomeUnknown, api.RanOutcomeUnknown, format, arguments...)
}
