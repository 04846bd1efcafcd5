package schedule

import (
	"time"

	"birchwood.example/birchwood/api"
)

// holdUntil is when a held call is refused at the latest.
func holdUntil(request Request, maximumHold time.Duration) time.Time {
	until := request.Enqueued.Add(maximumHold)
	if !request.Deadline.IsZero() && request.Deadline.Before(until) {
		return request.Deadline
	}
	return until
}

// refuse ends a call that was not placed.
func refuse(request Request, reason *api.Error) Decision {
	return Decision{
		Action: ActionRefuse, Call: request.Call, Program: request.Call.Program,
		Error: reason, Terms: Terms{Reason: string(reason.Code)},
	}
}

// noPlaceError says that no back end may serve the call. A call that was
// tried before may have run there, so nothing is claimed about that.
func noPlaceError(request Request) *api.Error {
	reason := api.Refuse(api.CodeNoPermittedPlace, "no back end in %s serves %s%s", request.Placement, request.Model, request.Tool)
	return truthful(request, reason)
}

// truthful says "not run" only of a call that no back end was ever sent.
func truthful(request Request, reason *api.Error) *api.Error {
	if len(request.Avoid) > 0 {
		reason.Ran = api.RanOutcomeUnknown
	}
	reason.Retry = true
	return reason
}
