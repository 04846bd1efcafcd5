package control

import (
	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
)

// Operation is the kind of a Request.
type Operation string

// The operations of callers and operators on programs.
const (
	// OperationCreate creates the program with the ID Request.Program.
	OperationCreate Operation = "create"
	// OperationSubmit admits a call.
	OperationSubmit Operation = "submit"
	// OperationCall returns one call, by Sequence or Key; with Wait set, once
	// the call has ended.
	OperationCall     Operation = "call"
	OperationCancel   Operation = "cancel"
	OperationEnd      Operation = "end"
	OperationDescribe Operation = "describe"
	// OperationHistory lists at most Limit calls, starting at Sequence.
	OperationHistory Operation = "history"
	// OperationList lists the programs of a branch that this node owns.
	OperationList Operation = "list"
	// OperationTrace returns the scheduling decisions for a program's calls.
	OperationTrace Operation = "trace"
)

// isRead reports whether the operation reads the owner's state and changes
// nothing. OperationTrace is not included: traces are kept in one node's
// memory, without any guarantee.
func (o Operation) isRead() bool {
	return o == OperationCall || o == OperationDescribe || o == OperationHistory
}

// Request is one operation on a program by an authenticated caller or operator.
// The node that owns the program's partition answers it.
type Request struct {
	Operation Operation
	// Scope is the branch that the bearer token is limited to. Programs outside
	// it are answered as not found.
	Scope    contract.Path
	Program  api.ProgramID
	Create   *api.CreateProgram
	Parent   api.ProgramID // for a sub-agent
	Submit   *api.SubmitCall
	Sequence uint64
	Key      string
	Limit    int
	// Wait delays the reply to a submit or call operation until the call has
	// ended.
	Wait   bool
	Reason string
}

// Reply answers a Request. Error is set when the request was refused; the
// operation determines which other fields are set.
type Reply struct {
	Program  *api.Program
	Call     *api.Call
	Programs []api.Program
	History  *api.History
	Trace    []CallTrace
	Error    *api.Error
}
