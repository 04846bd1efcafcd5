package api

import "time"

// ProgramID identifies a program and its partition. Its form is "<branch, with
// "~" for "/">.<partition index>.<16 hexadecimal digits>".
type ProgramID string

// CallKind is the kind of back end that serves a call.
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

// CreateProgram is the request to create a program on a branch of the settings
// tree.
type CreateProgram struct {
	// Branch is the path of the branch, such as "koudeketting/triage".
	Branch string `json:"branch"`
	// Key is the caller's idempotency key: the same branch and key always
	// identify the same program.
	Key string `json:"key"`
	// BudgetTokens lowers the token budget below the contract's. Zero means
	// the contract's budget.
	BudgetTokens int64 `json:"budget_tokens,omitempty"`
	// DeadlineMilliseconds bounds the program's lifetime from its creation.
	// Zero means the contract's limit.
	DeadlineMilliseconds int64 `json:"deadline_ms,omitempty"`
}

// SubmitCall is the request to make one call of a program.
type SubmitCall struct {
	// Key is the caller's idempotency key, unique within the program.
	Key string `json:"key"`
	// Sequence is the call's sequence number in the program, from 1. Zero
	// means the next free one.
	Sequence uint64   `json:"sequence,omitempty"`
	Kind     CallKind `json:"kind"`
	// Model and MaxOutputTokens are for model calls.
	Model           string `json:"model,omitempty"`
	MaxOutputTokens int    `json:"max_output_tokens,omitempty"`
	// Tool is the name of the tool, for tool calls.
	Tool string `json:"tool,omitempty"`
	// Repeatable means that running the call more than once is harmless. Model
	// calls are always repeatable.
	Repeatable bool `json:"repeatable,omitempty"`
	// Input is the text that this call adds to the program's history. A model
	// call's prompt is the program's whole history followed by Input.
	Input string `json:"input"`
	// TimeoutMilliseconds bounds the call's time. Zero means the contract's
	// limit.
	TimeoutMilliseconds int64 `json:"timeout_ms,omitempty"`
	// Stream requests server-sent events instead of one JSON answer.
	Stream bool `json:"stream,omitempty"`
}

// Usage is the number of tokens that a call used. CachedTokens are the prompt
// tokens that the engine had cached.
type Usage struct {
	PromptTokens int `json:"prompt_tokens"`
	CachedTokens int `json:"cached_tokens"`
	OutputTokens int `json:"output_tokens"`
}

// Call is the state of a call as shown to callers.
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

// Program is the state of a program as shown to callers.
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

// History is a range of a program's calls, in order.
type History struct {
	Program ProgramID `json:"program"`
	Calls   []Call    `json:"calls"`
	// Next is the sequence number from which the next range begins; zero if
	// there are no more calls.
	Next uint64 `json:"next,omitempty"`
}
