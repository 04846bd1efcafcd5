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

// Route is the owner of a program's partition in this node's view, or another
// node of the cluster.
type Route struct {
	// Local is set if this node is the owner.
	Local   bool
	Owner   machine.ID
	Address string
}

// Service is the node's interface for the gateway.
type Service interface {
	// Authenticate returns the branch that a bearer token is assigned to, or
	// why the token is not accepted.
	Authenticate(token string) (contract.Path, *api.Error)
	// ProgramID returns the program ID that is derived from a branch and key.
	ProgramID(branch contract.Path, key string) (api.ProgramID, *api.Error)
	// Route finds the owner of a program. It returns an error if no owner is
	// known at present.
	Route(id api.ProgramID) (Route, *api.Error)
	// Do performs the request on this node. Its error code is
	// CodeNotOwner when another node owns the program.
	Do(ctx context.Context, request control.Request) control.Reply
	// Stream returns the buffer of an answer that is being generated on this
	// node. The buffer should exist from the call's admission on, so that the
	// first text is streamed without delay; until it exists, the gateway polls.
	Stream(call program.CallRef) (*stream.Buffer, bool)
	// PeerToken returns the token with which nodes authenticate to each other.
	PeerToken() string
}
