package control

import (
	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
)

// Operation names what a Request asks for.
type Operation string

// The operations of callers and operators on programs.
const (
	// OperationCreate opens the program named by Request.Program.
	OperationCreate Operation = "create"
	// OperationSubmit admits a call.
	OperationSubmit Operation = "submit"
	// OperationCall describes one call, by Sequence or Key; with Wait it
	// answers once the call is terminal.
	OperationCall     Operation = "call"
	OperationCancel   Operation = "cancel"
	OperationEnd      Operation = "end"
	OperationDescribe Operation = "describe"
	// OperationHistory lists calls from Sequence on, at most Limit.
	OperationHistory Operation = "history"
	// OperationList lists the programs of a branch that this node owns.
	OperationList Operation = "list"
	// OperationTrace tells how each call of a program was decided.
	OperationTrace Operation = "trace"
)

// isRead reports whether the operation tells what the owner holds and changes
// nothing. A trace is what one node remembers, and promises nothing.
func (o Operation) isRead() bool {
	return o == OperationCall || o == OperationDescribe || o == OperationHistory
}

// Request is one operation on a program, by an authenticated caller or
// operator. The node that owns the program's partition answers it.
type Request struct {
	Operation Operation
	// Scope is the branch that the bearer token is tied to. Programs outside
	// of it are answered as not found.
	Scope    contract.Path
	Program  api.ProgramID
	Create   *api.CreateProgram
	Parent   api.ProgramID // for a sub-agent
	Submit   *api.SubmitCall
	Sequence uint64
	Key      string
	Limit    int
	// Wait delays the reply to a submit until the call is terminal.
	Wait   bool
	Reason string
}

// Reply answers a Request. Error is set when the request was refused; the
// other fields are set as the operation needs.
type Reply struct {
	Program  *api.Program
	Call     *api.Call
	Programs []api.Program
	History  *api.History
	Trace    []CallTrace
	Error    *api.Error
}
