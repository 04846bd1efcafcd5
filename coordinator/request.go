package coordinator

import (
	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/ownership"
)

// Request is a request to the owner of a partition. Exactly one field is set.
type Request struct {
	Admit  *AdmitRequest      `json:"admit,omitempty"`
	Await  *AwaitRequest      `json:"await,omitempty"`
	Settle *ledger.Settlement `json:"settle,omitempty"`
	Keep   *KeepRequest       `json:"keep,omitempty"`
	Find   *FindRequest       `json:"find,omitempty"`
	Begin  *ledger.Stream     `json:"begin,omitempty"`
	Origin *OriginRequest     `json:"origin,omitempty"`
}

// ConcernsStream reports whether the request concerns the origin of a stream. Owners of
// versions without such requests answer them with ReplyNotOwner.
func (r *Request) ConcernsStream() bool { return r.Begin != nil || r.Origin != nil }

// OriginRequest requests the origin of the stream of a client attempt. The reply is
// ReplyAbsent if the origin is not known.
type OriginRequest struct {
	Attempt string `json:"attempt"`
}

// AdmitRequest requests a decision on whether a turn may run.
type AdmitRequest struct {
	Turn ledger.Turn `json:"turn"`
	// Previous is the stored turn that the turn continues, or "". The reply contains its
	// chain.
	Previous string `json:"previous,omitempty"`
	// HasChain reports that the requester already has the chain.
	HasChain bool `json:"has_chain,omitempty"`
	// Begin is where the turn's stream will begin if the turn is granted, or nil if that is
	// not decided.
	Begin *ledger.Stream `json:"begin,omitempty"`
}

// AwaitRequest requests a reply once a position is durable.
type AwaitRequest struct {
	Epoch    ownership.Epoch `json:"epoch"`
	Position uint64          `json:"position"`
}

// KeepRequest stores a complete turn and settles it.
type KeepRequest struct {
	Turn ledger.StoredTurn `json:"turn"`
	// HasBase reports that the turn contains its base, the chain of the previous turn.
	// Without it the owner replies with ReplyAbsent if it does not hold the previous turn.
	HasBase bool `json:"has_base,omitempty"`
	// RefuseWhenStalled has the owner refuse the turn while appends are stalled, instead of
	// settling it now and storing it at some later time.
	RefuseWhenStalled bool              `json:"at_once,omitempty"`
	Settlement        ledger.Settlement `json:"settlement"`
}

// FindRequest requests the chain of a stored turn.
type FindRequest struct {
	Turn string `json:"turn"`
	// Unscoped is the turn's ID if it was stored before IDs were scoped by tenant, or "".
	Unscoped string `json:"unscoped,omitempty"`
}

// ProvesAbsent reports whether a reply to the request proves that the partition does not
// store the turn, neither under its ID nor under an unscoped one of a former version.
func (f *FindRequest) ProvesAbsent(reply *Reply) bool {
	return reply.Status == ReplyAbsent && (f.Unscoped == "" || reply.Scoped)
}

// ReplyStatus is the status of a reply.
type ReplyStatus string

// Statuses of a reply.
const (
	// ReplyDone answers the request.
	ReplyDone ReplyStatus = "done"
	// ReplyNotOwner means that this node does not serve the partition, and that the request
	// had no effect. The requester tries the owner.
	ReplyNotOwner ReplyStatus = "not_owner"
	// ReplyLost means that this node lost the partition while it processed the request. The
	// request's records may have become durable.
	ReplyLost ReplyStatus = "lost"
	// ReplyAbsent means that the turn is certainly not stored here.
	ReplyAbsent ReplyStatus = "absent"
	// ReplyUnscoped means that the turn was stored here before IDs were scoped, so that its
	// tenant is unknown. The turn is never returned.
	ReplyUnscoped ReplyStatus = "unowned"
	// ReplyStalled means that the log does not accept records at present, and that the
	// request had no effect.
	ReplyStalled ReplyStatus = "stalled"
	// ReplyFull means that the log is full, and that the request had no effect.
	ReplyFull ReplyStatus = "full"
)

// Reply answers a request.
type Reply struct {
	ID     uint64      `json:"-"`
	Status ReplyStatus `json:"status"`
	// Scoped reports that the owner also looked for an unscoped turn. A turn with an
	// Unscoped ID is proven absent only then.
	Scoped bool `json:"scoped,omitempty"`
	// Epoch is the owner's epoch, which an AwaitRequest refers to.
	Epoch ownership.Epoch `json:"epoch,omitempty"`
	// Owner is the partition's owner as known to a node that does not serve it, or nil.
	Owner     *Owner            `json:"owner,omitempty"`
	Admission *ledger.Admission `json:"admission,omitempty"`
	Chain     []byte            `json:"chain,omitempty"`
	// Origin answers an OriginRequest.
	Origin *ledger.StreamOrigin `json:"origin,omitempty"`
	// Stalled reports that a turn was admitted although an append of the partition has been
	// unanswered for too long.
	Stalled bool `json:"stalled,omitempty"`
}
