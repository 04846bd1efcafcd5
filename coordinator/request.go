package coordinator

import (
	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/ownership"
)

// Request is a question to the owner of a partition. Exactly one field is set.
type Request struct {
	Admit  *AdmitRequest      `json:"admit,omitempty"`
	Await  *AwaitRequest      `json:"await,omitempty"`
	Settle *ledger.Settlement `json:"settle,omitempty"`
	Keep   *KeepRequest       `json:"keep,omitempty"`
	Find   *FindRequest       `json:"find,omitempty"`
}

// AdmitRequest asks whether a turn may run.
type AdmitRequest struct {
	Turn ledger.Turn `json:"turn"`
	// Previous is the kept turn that the turn goes on from, or "". Its chain
	// comes with the answer.
	Previous string `json:"previous,omitempty"`
	// HasChain says that the asker has the chain already.
	HasChain bool `json:"has_chain,omitempty"`
}

// AwaitRequest asks to be told when a position is durable.
type AwaitRequest struct {
	Epoch    ownership.Epoch `json:"epoch"`
	Position uint64          `json:"position"`
}

// KeepRequest asks to keep a whole turn, and settles it.
type KeepRequest struct {
	Turn ledger.KeptTurn `json:"turn"`
	// HasBase says that the turn brings its base. Without it the owner answers
	// ReplyAbsent where it does not hold the previous turn.
	HasBase bool `json:"has_base,omitempty"`
	// AtOnce has the owner refuse the turn while its log takes no records, rather than
	// count what it used and keep it at some time.
	AtOnce     bool              `json:"at_once,omitempty"`
	Settlement ledger.Settlement `json:"settlement"`
}

// FindRequest asks for the chain of a kept turn.
type FindRequest struct {
	Turn string `json:"turn"`
	// Unscoped is what the turn would be known by if it was kept before ids had a
	// scope, or "".
	Unscoped string `json:"unscoped,omitempty"`
}

// ProvesAbsent reports whether a reply to the question says for certain that the
// partition keeps no such turn, under its id or that of a former format.
func (f *FindRequest) ProvesAbsent(reply *Reply) bool {
	return reply.Status == ReplyAbsent && (f.Unscoped == "" || reply.Scoped)
}

// Status of a reply.
type ReplyStatus string

// The statuses of a reply.
const (
	// ReplyDone answers the request.
	ReplyDone ReplyStatus = "done"
	// ReplyNotOwner says that this node does not serve the partition. Nothing
	// was done; the asker tries the owner.
	ReplyNotOwner ReplyStatus = "not_owner"
	// ReplyLost says that this node lost the partition meanwhile. What was
	// asked for may have become durable.
	ReplyLost ReplyStatus = "lost"
	// ReplyAbsent says that the turn is certainly not kept here.
	ReplyAbsent ReplyStatus = "absent"
	// ReplyUnowned says that a turn of this id is kept here of which nobody knows
	// whose it is: it was kept before ids had a scope. It is handed to nobody.
	ReplyUnscoped ReplyStatus = "unowned"
	// ReplyStalled says that the log does not take records at present, and
	// that nothing was done.
	ReplyStalled ReplyStatus = "stalled"
	// ReplyFull says that the log is full, and that nothing was done.
	ReplyFull ReplyStatus = "full"
)

// Reply answers a request.
type Reply struct {
	ID     uint64      `json:"-"`
	Status ReplyStatus `json:"status"`
	// Scoped says that the owner looked for a turn that was kept before ids had a
	// scope, too: only then is one absent that has an Unscoped id.
	Scoped bool `json:"scoped,omitempty"`
	// Epoch is the owner's, for an AwaitRequest.
	Epoch ownership.Epoch `json:"epoch,omitempty"`
	// Owner is who serves the partition as far as a node knows that does not, or
	// nil.
	Owner     *Owner            `json:"owner,omitempty"`
	Admission *ledger.Admission `json:"admission,omitempty"`
	Chain     []byte            `json:"chain,omitempty"`
	// Stalled says that the log has left an append of the partition unanswered for long,
	// where a turn was admitted all the same.
	Stalled bool `json:"stalled,omitempty"`
}
