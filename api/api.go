package api

import "time"

// ProgramID names a program and its partition: "<branch, with "~" for
// "/">.<partition index>.<16 hexadecimal digits>".
type ProgramID string

// CallKind tells which sort of back end serves a call.
type CallKind string

// The kinds of call.
const (
	CallModel CallKind = "model"
	CallTool  CallKind = "tool"
)

// CallStatus is the state of a call. The last five are terminal.
type CallStatus string

// The states of a call.
const (
	StatusWaiting        CallStatus = "waiting"
	StatusRunning        CallStatus = "running"
	StatusSucceeded      CallStatus = "succeeded"
	StatusFailed         CallStatus = "failed"
	StatusNotRun         CallStatus = "not_run"
	StatusOutcomeUnknown CallStatus = "outcome_unknown"
	StatusCancelled      CallStatus = "cancelled"
)

// Terminal reports whether a call in this state never changes again.
func (s CallStatus) Terminal() bool {
	return s != StatusWaiting && s != StatusRunning
}

// CreateProgram asks for a new program on a branch of the settings tree.
type CreateProgram struct {
	// Branch is the path of the branch, such as "koudeketting/triage".
	Branch string `json:"branch"`
	// Key is the caller's idempotency key: the same branch and key always
	// name the same program.
	Key string `json:"key"`
	// BudgetTokens lowers the contract's token budget. Zero keeps it.
	BudgetTokens int64 `json:"budget_tokens,omitempty"`
	// DeadlineMilliseconds bounds the whole program's time, from its creation.
	// Zero keeps the contract's.
	DeadlineMilliseconds int64 `json:"deadline_ms,omitempty"`
}

// SubmitCall asks for one call of a program.
type SubmitCall struct {
	// Key is the caller's idempotency key, unique within the program.
	Key string `json:"key"`
	// Sequence is the call's place in the program's order, from 1. Zero means
	// the next free place.
	Sequence uint64   `json:"sequence,omitempty"`
	Kind     CallKind `json:"kind"`
	// Model and MaxOutputTokens are for model calls.
	Model           string `json:"model,omitempty"`
	MaxOutputTokens int    `json:"max_output_tokens,omitempty"`
	// Tool is the name of the tool, for tool calls.
	Tool string `json:"tool,omitempty"`
	// Repeatable says that running the call twice does no harm. Model calls
	// are always repeatable.
	Repeatable bool `json:"repeatable,omitempty"`
	// Input is what this call adds to the program's history. A model call's
	// prompt is the program's whole history followed by its Input.
	Input string `json:"input"`
	// TimeoutMilliseconds bounds the call. Zero keeps the contract's.
	TimeoutMilliseconds int64 `json:"timeout_ms,omitempty"`
	// Stream asks for server-sent events in place of one JSON answer.
	Stream bool `json:"stream,omitempty"`
}

// Usage counts what a call cost.
type Usage struct {
	PromptTokens int `json:"prompt_tokens"`
	CachedTokens int `json:"cached_tokens"`
	OutputTokens int `json:"output_tokens"`
}

// Call is a call as callers see it.
type Call struct {
	Program  ProgramID  `json:"program"`
	Sequence uint64     `json:"sequence"`
	Key      string     `json:"key"`
	Kind     CallKind   `json:"kind"`
	Status   CallStatus `json:"status"`
	Input    string     `json:"input,omitempty"`
	Output   string     `json:"output,omitempty"`
	Usage    Usage      `json:"usage"`
	Backend  string     `json:"backend,omitempty"`
	Attempt  int        `json:"attempt,omitempty"`
	Error    *Error     `json:"error,omitempty"`
}

// Program is a program as callers see it.
type Program struct {
	ID             ProgramID `json:"id"`
	Branch         string    `json:"branch"`
	Key            string    `json:"key"`
	Parent         ProgramID `json:"parent,omitempty"`
	Ended          bool      `json:"ended"`
	EndReason      string    `json:"end_reason,omitempty"`
	Calls          uint64    `json:"calls"`
	BudgetTokens   int64     `json:"budget_tokens"`
	SpentTokens    int64     `json:"spent_tokens"`
	ReservedTokens int64     `json:"reserved_tokens"`
	CreatedAt      time.Time `json:"created_at"`
}

// History is a part of a program's calls in their order.
type History struct {
	Program ProgramID `json:"program"`
	Calls   []Call    `json:"calls"`
	// Next is the sequence to ask for next; zero when there is no more.
	Next uint64 `json:"next,omitempty"`
}
