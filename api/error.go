package api

import (
	"encoding/json"
	"fmt"
)

// Ran states whether a refused or failed request may have taken effect.
type Ran string

// The values of Ran.
const (
	// RanNotRun means that nothing was sent to a back end, and nothing will be.
	RanNotRun Ran = "not_run"
	// RanOutcomeUnknown means that the request may have taken effect. The
	// caller should repeat it with the same key.
	RanOutcomeUnknown Ran = "outcome_unknown"
	// RanFailed means that the back end ran the request and reported a
	// failure.
	RanFailed Ran = "failed"
)

// Code identifies the kind of an error. Codes are stable.
type Code string

// The codes of errors, explained in docs/API.md.
const (
	CodeBadRequest       Code = "bad_request"
	CodeBodyTooLarge     Code = "body_too_large"
	CodeBodyCutShort     Code = "body_cut_short"
	CodeUnauthorized     Code = "unauthorized"
	CodeForbidden        Code = "forbidden"
	CodeNotFound         Code = "not_found"
	CodeUnknownBranch    Code = "unknown_branch"
	CodeUnknownModel     Code = "unknown_model"
	CodeUnknownTool      Code = "unknown_tool"
	CodeKeyReused        Code = "key_reused"
	CodeProgramEnded     Code = "program_ended"
	CodeBudgetExhausted  Code = "budget_exhausted"
	CodeLimitReached     Code = "limit_reached"
	CodeOverloaded       Code = "overloaded"
	CodeNoPermittedPlace Code = "no_permitted_place"
	CodeNotOwner         Code = "not_owner"
	CodeOwnerUnknown     Code = "owner_unknown"
	CodeStoreUnavailable Code = "store_unavailable"
	CodeSettingsStale    Code = "settings_stale"
	CodeTimeout          Code = "timeout"
	CodeBackendFailed    Code = "backend_failed"
	CodeCancelled        Code = "cancelled"
	CodeOutcomeUnknown   Code = "outcome_unknown"
	CodeShuttingDown     Code = "shutting_down"
	CodeConflict         Code = "conflict"
)

// Error is the answer to a refused or failed request.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Ran states whether the request may have taken effect.
	Ran Ran `json:"ran"`
	// Retry is set if the same request, with the same key, may succeed later.
	Retry bool `json:"retry"`
	// RetryAfterMilliseconds is how long to wait before a retry. Zero means
	// that the caller may retry at once.
	RetryAfterMilliseconds int64 `json:"retry_after_ms,omitempty"`
	// Location is the part of the input that is wrong, such as "$.model".
	Location string `json:"place,omitempty"`
	// ID identifies this refusal; `birchwood why ID` explains it.
	ID string `json:"id,omitempty"`
	// Findings lists everything that is wrong with the input if there is more
	// than one finding; Message and Location are then those of the first.
	Findings []Finding `json:"findings,omitempty"`
}

// Finding is one thing that is wrong with an input, and its location.
type Finding struct {
	Location string `json:"place"`
	Message  string `json:"message"`
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (%s)", e.Code, e.Message, e.Ran)
}

// Refuse returns an error for a request that did not run.
func Refuse(code Code, format string, arguments ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, arguments...), Ran: RanNotRun}
}

// WithLocation returns a copy with the location of the wrong part of the input.
func (e Error) WithLocation(location string) *Error {
	e.Location = location
	return &e
}

// WithRetryAfter returns a copy that permits a retry after the given time in
// milliseconds.
func (e Error) WithRetryAfter(milliseconds int64) *Error {
	e.Retry = true
	e.RetryAfterMilliseconds = milliseconds
	return &e
}

// ErrorBody is the JSON body of every error answer.
type ErrorBody struct {
	Error *Error `json:"error"`
}

// DecodeError returns the error in a JSON body, or nil if the body is not an
// ErrorBody.
func DecodeError(body []byte) *Error {
	var decoded ErrorBody
	if json.Unmarshal(body, &decoded) != nil {
		return nil
	}
	return decoded.Error
}
