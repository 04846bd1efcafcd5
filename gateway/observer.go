package gateway

import (
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/control"
)

// Refusal is a request that was answered with an error, as stored for
// `birchwood why`.
type Refusal struct {
	At        time.Time         `json:"at"`
	Operation control.Operation `json:"operation"`
	Branch    contract.Path     `json:"branch"`
	Program   api.ProgramID     `json:"program,omitempty"`
	Attempts  int               `json:"attempts"`
	Error     api.Error         `json:"error"`
}

// Observer receives the gateway's measurements. Its methods are called
// concurrently and must not block.
type Observer interface {
	// Answered is called once per request, after its answer was written, with
	// the time since the request was received.
	Answered(operation control.Operation, status int, took time.Duration)
	// Refused is called for each error answer that this node sent to a caller.
	Refused(refusal Refusal)
	// FirstText is called when the first text of a streamed answer is ready
	// to be written, with the time since the request was received.
	FirstText(took time.Duration)
	// Relayed is called for each request that was sent to another node.
	Relayed(failed bool)
	// InFlight is called with +1 when a request begins and -1 when it ends.
	InFlight(change int)
}

// noopObserver is the default Observer, which does nothing.
type noopObserver struct{}

func (noopObserver) Answered(control.Operation, int, time.Duration) {}
func (noopObserver) Refused(Refusal)                                {}
func (noopObserver) FirstText(time.Duration)                        {}
func (noopObserver) Relayed(bool)                                   {}
func (noopObserver) InFlight(int)                                   {}
