package program

import (
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
)

// Record is one durable fact about a program, a tagged union: exactly one
// optional field is set. Folding the records of a partition in order gives
// the same programs on every node.
type Record struct {
	At                time.Time          `json:"at"`
	Program           api.ProgramID      `json:"program"`
	Created           *Created           `json:"created,omitempty"`
	Accepted          *Accepted          `json:"accepted,omitempty"`
	Dispatched        *Dispatched        `json:"dispatched,omitempty"`
	Ended             *CallEnded         `json:"ended,omitempty"`
	BudgetTransferred *BudgetTransferred `json:"carved,omitempty"`
	Terms             *Terms             `json:"terms,omitempty"`
	Closed            *Closed            `json:"closed,omitempty"`
	Confirmed         *Confirmed         `json:"confirmed,omitempty"`
}

// Confirmed changes nothing. Once it is durable, its writer owned the
// partition when it was proposed, so that what the writer held then was
// everything: a former owner that does not know of its successor yet cannot
// make it durable.
type Confirmed struct{}

// Created opens a program.
type Created struct {
	Branch string        `json:"branch"`
	Key    string        `json:"key"`
	Parent api.ProgramID `json:"parent,omitempty"`
	Terms  Terms         `json:"terms"`
	// BudgetTokens and DeadlineMilliseconds are the limits that the request
	// set below the contract's; zero where it set none.
	BudgetTokens         int64 `json:"budget_tokens,omitempty"`
	DeadlineMilliseconds int64 `json:"deadline_ms,omitempty"`
	// AllocatedTokens is a sub-agent's budget, taken from its parent's by the
	// Carved record before this one.
	AllocatedTokens int64 `json:"carved_tokens,omitempty"`
	// Depth is the number of ancestors.
	Depth int `json:"depth,omitempty"`
}

// Accepted admits a call at its place in the program's order and reserves
// its budget.
type Accepted struct {
	Sequence uint64         `json:"sequence"`
	Call     api.SubmitCall `json:"call"`
	// BodyHash tells a repeated key with another body apart.
	BodyHash uint64 `json:"body_hash"`
	// InputTokens is the length of the call's own input.
	InputTokens int `json:"input_tokens"`
	// PromptTokens is the length of the whole prompt, history included. While
	// earlier calls have not ended it is an estimate from their output caps.
	PromptTokens int `json:"prompt_tokens"`
	// ReservedTokens is held against the budget until the call ends.
	ReservedTokens int64     `json:"reserved_tokens"`
	Deadline       time.Time `json:"deadline"`
}

// Dispatched records the intent to send an attempt to a back end. For a call
// that is not repeatable it is durable before anything is sent.
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
	// HeldTokens is the part of the reservation that stays held for good,
	// because nobody knows what the call cost.
	HeldTokens int64 `json:"held_tokens,omitempty"`
}

// BudgetTransferred moves budget from a parent program to its sub-agent, or back when
// the sub-agent ends: the first record of a child carves Tokens out, the
// second returns what is unspent, as a negative number of Tokens.
type BudgetTransferred struct {
	Child  api.ProgramID `json:"child"`
	Tokens int64         `json:"tokens"`
}

// Closed ends a program.
type Closed struct {
	Reason string `json:"reason"`
}
