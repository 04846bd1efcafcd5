package gateway

import (
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/control"
)

// exchange is one request on its way through the gateway. Everything in it is
// copied from the request's memory, which fasthttp reuses.
type exchange struct {
	request control.Request
	// scope is the caller's branch, and caller names its token in the limits.
	scope  contract.Path
	caller callerID
	// peer is set when another node's gateway passed the request on.
	peer bool
	hops int
	// detour is set when the other node cannot reach the owner itself: this
	// node is to pass the request on.
	detour bool
	// operator is set when this process's operators' server asks.
	operator bool
	// received and deadline bound the whole exchange.
	received time.Time
	deadline time.Time
	// mayHaveRun is set once an attempt may have taken effect, answered or not.
	mayHaveRun bool
	// attempts is how often the request was tried, once it is over.
	attempts int
	// stream asks for server-sent events from position on.
	stream   bool
	position position
	// method, uri and body repeat the request to another node.
	method string
	uri    string
	body   []byte
}

// position is the place in an answer up to which a caller has its text.
// Attempt zero means that the caller does not know the attempt.
type position struct {
	attempt int
	offset  int
}

// changes reports whether the operation has an effect, so that a lost answer
// leaves its outcome unknown.
func (e *exchange) changes() bool {
	switch e.request.Operation {
	case control.OperationCreate, control.OperationSubmit, control.OperationCancel, control.OperationEnd:
		return true
	default:
		return false
	}
}

// waits reports whether the answer is to wait until the call is terminal.
func (e *exchange) waits() bool {
	return e.request.Wait && !e.stream
}

// ProgramTrace is the answer to a request for a program's trace.
type ProgramTrace struct {
	Program  api.ProgramID       `json:"program"`
	Attempts []control.CallTrace `json:"attempts"`
}
