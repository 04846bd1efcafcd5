package api

import (
	"encoding/json"
	"fmt"
)

// Ran says whether the refused or failed request can have taken effect.
type Ran string

// What is known of a request that has no successful answer.
const (
	// RanNotRun: nothing was sent to a back end, and nothing can be any more.
	RanNotRun Ran = "not_run"
	// RanOutcomeUnknown: the request may have taken effect. Ask again with
	// the same key.
	RanOutcomeUnknown Ran = "outcome_unknown"
	// RanFailed: the back end ran the request and reported a failure.
	RanFailed Ran = "failed"
)

// Code is the stable name of an error.
type Code string

// The codes that callers can rely on. docs/API.md explains each.
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

// Error is what a caller gets in place of an answer.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Ran says whether the request can have taken effect.
	Ran Ran `json:"ran"`
	// Retry says whether the same request, with the same key, may succeed.
	Retry bool `json:"retry"`
	// RetryAfterMilliseconds is how long to wait first. Zero: at once.
	RetryAfterMilliseconds int64 `json:"retry_after_ms,omitempty"`
	// Place is the part of the input that is wrong, such as "$.model".
	Place string `json:"place,omitempty"`
	// ID names this refusal; `birchwood why ID` explains it.
	ID string `json:"id,omitempty"`
	// Findings lists everything that is wrong with the input when there is
	// more than one thing; Message and Place are then the first of them.
	Findings []Finding `json:"findings,omitempty"`
}

// Finding is one thing that is wrong with an input, with its place.
type Finding struct {
	Place   string `json:"place"`
	Message string `json:"message"`
}

// Error makes Error usable as a Go error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (%s)", e.Code, e.Message, e.Ran)
}

// Refuse returns an error for a request that did not run.
func Refuse(code Code, format string, arguments ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, arguments...), Ran: RanNotRun}
}

// At returns a copy that names the wrong part of the input.
func (e Error) At(place string) *Error {
	e.Place = place
	return &e
}

// After returns a copy that invites a retry after the given milliseconds.
func (e Error) After(milliseconds int64) *Error {
	e.Retry = true
	e.RetryAfterMilliseconds = milliseconds
	return &e
}

// ErrorBody is the JSON form of every answer that is an error.
type ErrorBody struct {
	Error *Error `json:"error"`
}

// ErrorIn returns the error that a JSON body carries, or nil if it is none.
func ErrorIn(body []byte) *Error {
	var decoded ErrorBody
	if json.Unmarshal(body, &decoded) != nil {
		return nil
	}
	return decoded.Error
}
