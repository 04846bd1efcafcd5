package program

import (
	"fmt"
	"time"

	"birchwood.example/birchwood/api"
)

// Reasons for which the store itself ends a program.
const (
	ReasonIdle     = "idle"
	ReasonDuration = "limit_reached: duration"
	ReasonTurns    = "limit_reached: turns"
	ReasonParent   = "parent_ended"
)

func programNotFound(id api.ProgramID) *api.Error {
	return api.Refuse(api.CodeNotFound, "program %s is not known", id).WithLocation("$.program")
}

func callNotFound(id api.ProgramID, sequence uint64) *api.Error {
	return api.Refuse(api.CodeNotFound, "program %s has no call %d", id, sequence).WithLocation("$.sequence")
}

func programEnded(reason string) *api.Error {
	return api.Refuse(api.CodeProgramEnded, "the program has ended: %s", reason)
}

func keyReused(place string, format string, arguments ...any) *api.Error {
	return api.Refuse(api.CodeKeyReused, format, arguments...).WithLocation(place)
}

// staleDispatch is the error for the dispatch of a call that no longer waits for
// one.
func staleDispatch(call CallRef) *api.Error {
	return api.Refuse(api.CodeConflict, "call %d of %s does not wait for a back end", call.Sequence, call.Program)
}

// notRun returns the error of a call that was not sent and never will be. The
// outcome stays bound to the key, so that a copy of the request that is still in
// transit cannot run the call either; to retry, a caller needs a new key.
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
