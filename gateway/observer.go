package gateway

import (
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/control"
)

// Refusal is a request that was answered with an error, as it is kept for
// `birchwood why`.
type Refusal struct {
	At        time.Time         `json:"at"`
	Operation control.Operation `json:"operation"`
	Branch    contract.Path     `json:"branch"`
	Program   api.ProgramID     `json:"program,omitempty"`
	Attempts  int               `json:"attempts"`
	Error     api.Error         `json:"error"`
}

// Observer gets what the gateway measures. Its methods are called from many
// goroutines and must return at once.
type Observer interface {
	// Answered is called once a request, after its answer was written.
	Answered(operation control.Operation, status int, took time.Duration)
	// Refused is called for each error answer that this node gave a caller.
	Refused(refusal Refusal)
	// FirstText is called when the first text of a streamed answer was
	// written, with the time since the request came in.
	FirstText(took time.Duration)
	// Relayed is called for each attempt at another node.
	Relayed(failed bool)
	// InFlight is called with +1 and -1 around each request.
	InFlight(change int)
}

// silent is the Observer of a gateway that has none.
type silent struct{}

func (silent) Answered(control.Operation, int, time.Duration) {}
func (silent) Refused(Refusal)                                {}
func (silent) FirstText(time.Duration)                        {}
func (silent) Relayed(bool)                                   {}
func (silent) InFlight(int)                                   {}
