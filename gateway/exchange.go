package gateway

import (
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/control"
)

// exchange is the state of one request while the gateway processes it. All its
// data is copied from the request's memory, which fasthttp reuses.
type exchange struct {
	request control.Request
	// scope is the caller's branch, and callerToken the hash of its
	// bearer token, which identifies the caller in the limits.
	scope       contract.Path
	callerToken tokenHash
	// peer is set when another node's gateway relayed the request; hops counts
	// how often it was relayed.
	peer bool
	hops int
	// detour is set when the relaying node cannot reach the owner itself, and
	// this node is to relay the request to the owner.
	detour bool
	// operator is set when the request comes from the operators' server of
	// this process.
	operator bool
	// received is when the request arrived, and deadline when it must be
	// answered.
	received time.Time
	deadline time.Time
	// mayHaveRun is set once an attempt may have taken effect, whether or not
	// it was answered.
	mayHaveRun bool
	// attempts is the number of attempts, set once the request is refused.
	attempts int
	// stream is set when the caller wants server-sent events, which begin at
	// position.
	stream   bool
	position position
	// method, uri and body are used to repeat the request at another node.
	method string
	uri    string
	body   []byte
}

// position is the point in an answer up to which a caller has received the
// text: an attempt and a byte offset in the attempt's answer. Attempt zero
// means that the attempt is not known.
type position struct {
	attempt int
	offset  int
}

// mutates reports whether the operation changes state, in which case a lost
// answer leaves its outcome unknown.
func (e *exchange) mutates() bool {
	switch e.request.Operation {
	case control.OperationCreate, control.OperationSubmit, control.OperationCancel, control.OperationEnd:
		return true
	default:
		return false
	}
}

// waits reports whether to delay the answer until the call is terminal.
func (e *exchange) waits() bool {
	return e.request.Wait && !e.stream
}

// ProgramTrace is the answer of the route /v1/programs/{id}/trace.
type ProgramTrace struct {
	Program  api.ProgramID       `json:"program"`
	Attempts []control.CallTrace `json:"attempts"`
}
