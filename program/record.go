package program

import (
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
)

// Record is one durable event of a program. It is a tagged union: exactly one
// of the pointers is set. Replaying the records of a partition in order gives
// the same programs on every node.
type Record struct {
	At                 time.Time           `json:"at"`
	Program            api.ProgramID       `json:"program"`
	Created            *Created            `json:"created,omitempty"`
	Accepted           *Accepted           `json:"accepted,omitempty"`
	Dispatched         *Dispatched         `json:"dispatched,omitempty"`
	Ended              *CallEnded          `json:"ended,omitempty"`
	BudgetTransferred  *BudgetTransferred  `json:"carved,omitempty"`
	Terms              *Terms              `json:"terms,omitempty"`
	Closed             *Closed             `json:"closed,omitempty"`
	OwnershipConfirmed *OwnershipConfirmed `json:"confirmed,omitempty"`
}

// OwnershipConfirmed changes no state. Once it is durable, it proves that its
// writer owned the partition when it proposed the record, and that the writer's
// state was complete then: a previous owner that has not yet detected its
// successor cannot make the record durable.
type OwnershipConfirmed struct{}

// Created creates a program.
type Created struct {
	Branch string        `json:"branch"`
	Key    string        `json:"key"`
	Parent api.ProgramID `json:"parent,omitempty"`
	Terms  Terms         `json:"terms"`
	// BudgetTokens and DeadlineMilliseconds are the limits in the request, which
	// can only lower the contract's; zero means none.
	BudgetTokens         int64 `json:"budget_tokens,omitempty"`
	DeadlineMilliseconds int64 `json:"deadline_ms,omitempty"`
	// AllocatedTokens is the budget of a sub-agent, taken from its parent's by
	// the preceding BudgetTransferred record.
	AllocatedTokens int64 `json:"carved_tokens,omitempty"`
	// Depth is the number of ancestors.
	Depth int `json:"depth,omitempty"`
}

// Accepted accepts a call at its sequence number and reserves its budget.
type Accepted struct {
	Sequence uint64         `json:"sequence"`
	Call     api.SubmitCall `json:"call"`
	// BodyHash detects a key that is reused with another body.
	BodyHash uint64 `json:"body_hash"`
	// InputTokens is the length of the call's own input in tokens.
	InputTokens int `json:"input_tokens"`
	// PromptTokens is the length of the whole prompt, history included. While
	// earlier calls have not ended, it is an estimate from their output caps.
	PromptTokens int `json:"prompt_tokens"`
	// ReservedTokens are reserved in the budget until the call ends.
	ReservedTokens int64     `json:"reserved_tokens"`
	Deadline       time.Time `json:"deadline"`
}

// Dispatched records the intent to send an attempt to a back end. For a call
// that is not repeatable, it is durable before anything is sent.
type Dispatched struct {
	Sequence uint64     `json:"sequence"`
	Attempt  int        `json:"attempt"`
	Backend  machine.ID `json:"backend"`
	Epoch    uint64     `json:"epoch"`
}

// CallEnded is a call's final outcome.
type CallEnded struct {
	Sequence uint64         `json:"sequence"`
	Attempt  int            `json:"attempt"`
	Status   api.CallStatus `json:"status"`
	Backend  machine.ID     `json:"backend,omitempty"`
	Output   string         `json:"output,omitempty"`
	Usage    api.Usage      `json:"usage"`
	Error    *api.Error     `json:"error,omitempty"`
	// HeldTokens is the part of the reservation that is never released, because
	// the cost of the call is unknown.
	HeldTokens int64 `json:"held_tokens,omitempty"`
}

// BudgetTransferred moves budget between a parent program and its sub-agent.
// The first record of a child allocates Tokens to it; the second, when the
// child ends, refunds the unspent part as a negative number of Tokens.
type BudgetTransferred struct {
	Child  api.ProgramID `json:"child"`
	Tokens int64         `json:"tokens"`
}

// Closed ends a program: it accepts no more calls. Calls that are running may
// still end after it.
type Closed struct {
	Reason string `json:"reason"`
}
