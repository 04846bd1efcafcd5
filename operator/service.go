package operator

import (
	"context"
	"time"

	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/partition"
)

// Service is what the operators' server needs of its node. Its methods are
// called from many goroutines.
type Service interface {
	Partitions

	// Alive returns an error when the control goroutine does not answer.
	Alive(ctx context.Context) error
	// NotReady lists why callers should not be sent here, such as "leaving"
	// or "no settings yet". Empty: ready.
	NotReady(ctx context.Context) []string

	// Settings returns the tree in force on this node.
	Settings() *contract.Tree
	// Freshness says how sure the node is of its settings.
	Freshness(ctx context.Context) (contract.Freshness, error)
	// ChangeSettings appends the change and waits for its verdict. An error
	// leaves open whether the change counts: the same change, with the same
	// id, may be sent again.
	ChangeSettings(ctx context.Context, change contract.Change) (contract.Verdict, error)
	// SettingsStatus tells which revision each node holds, as far as it is
	// known here.
	SettingsStatus(ctx context.Context) ([]NodeSettings, error)

	// Nodes and Backends return the machines that this node knows.
	Nodes(ctx context.Context) ([]NodeState, error)
	Backends(ctx context.Context) ([]machine.Machine, error)
	// DrainNode begins the planned stop of a node. It does not wait for it.
	DrainNode(ctx context.Context, id machine.ID) error
	// DrainBackend sends no new work to a back end any more.
	DrainBackend(ctx context.Context, id machine.ID) error
}

// Partitions is what operators see of the partitions of one node.
type Partitions interface {
	// Owned describes the partitions that the node owns or is taking over.
	Owned(ctx context.Context) ([]control.PartitionStatus, error)
	// AcceptLoss lets a stalled recovery go on without the mirrors that have
	// lost what they held.
	AcceptLoss(ctx context.Context, id partition.ID) error
}

// Programs reaches programs on whichever node owns them. The gateway
// implements it.
type Programs interface {
	// Operate performs one request of the callers' API on the operator's
	// branch and returns its HTTP status and JSON body.
	Operate(ctx context.Context, scope contract.Path, method, uri string, body []byte) (int, []byte)
}

// NodeSettings is what is known of one node's settings.
type NodeSettings struct {
	Node     machine.ID        `json:"node"`
	Revision contract.Revision `json:"revision"`
	// Behind says that the node holds older settings than another one.
	Behind bool `json:"behind"`
	// HeardAgo is the time since the node was heard.
	HeardAgo time.Duration `json:"heard_ago"`
}

// NodeState is a node and, for the one that answers, what it owns.
type NodeState struct {
	machine.Machine
	OwnedPartitions int `json:"owned_partitions,omitempty"`
}
