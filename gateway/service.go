package gateway

import (
	"context"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/program"
	"birchwood.example/birchwood/stream"
)

// Route says which node owns a program's partition, as far as this node knows.
type Route struct {
	Local   bool
	Owner   machine.ID
	Address string
}

// Service is what the gateway needs of its node.
type Service interface {
	// Caller returns the branch that a bearer token is tied to, or why the
	// token is not accepted.
	Caller(token string) (contract.Path, *api.Error)
	// NewProgram returns the id that a branch and key always name.
	NewProgram(branch contract.Path, key string) (api.ProgramID, *api.Error)
	// Route finds the owner. The error says that no owner is known now.
	Route(id api.ProgramID) (Route, *api.Error)
	// Do performs the request on this node. Its error code is
	// CodeNotOwner when another node owns the program.
	Do(ctx context.Context, request control.Request) control.Reply
	// Stream returns the answer that is being generated on this node. It
	// should know a call's buffer from its admission on, so that the first
	// text is seen at once; until it does, the gateway asks again and again.
	Stream(call program.CallRef) (*stream.Buffer, bool)
	// PeerToken authenticates nodes to each other.
	PeerToken() string
}
