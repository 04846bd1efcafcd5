package operator

import (
	"context"
	"time"

	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/partition"
)

// Service is the node's interface for the operators' server. Its methods are
// called concurrently.
type Service interface {
	Partitions

	// Alive returns an error if the control goroutine does not respond.
	Alive(ctx context.Context) error
	// NotReady returns the reasons why callers should not send requests to
	// this node, such as "leaving" or "no settings yet". It is empty if the
	// node is ready.
	NotReady(ctx context.Context) []string

	// Settings returns the settings tree in force on this node.
	Settings() *contract.Tree
	// Freshness returns how recently the node's settings were confirmed as the
	// newest.
	Freshness(ctx context.Context) (contract.Freshness, error)
	// ChangeSettings appends the change to the log and waits for its verdict.
	// After an error it is unknown whether the change takes effect; the same
	// change, with the same ID, may be sent again.
	ChangeSettings(ctx context.Context, change contract.Change) (contract.Verdict, error)
	// SettingsStatus returns the revision that each node holds, as far as this
	// node knows.
	SettingsStatus(ctx context.Context) ([]NodeSettings, error)

	// Nodes and Backends return the machines that this node knows.
	Nodes(ctx context.Context) ([]NodeState, error)
	Backends(ctx context.Context) ([]machine.Machine, error)
	// DrainNode begins the planned stop of a node, without waiting for its
	// end.
	DrainNode(ctx context.Context, id machine.ID) error
	// DrainBackend stops sending new work to a back end.
	DrainBackend(ctx context.Context, id machine.ID) error
}

// Partitions gives operators access to the partitions of one node.
type Partitions interface {
	// PartitionStatuses returns the status of each partition that the node
	// owns or is taking over.
	PartitionStatuses(ctx context.Context) ([]control.PartitionStatus, error)
	// AcceptLoss lets a stalled recovery continue without the mirrors that
	// have lost their records.
	AcceptLoss(ctx context.Context, id partition.ID) error
}

// Programs reaches programs on whichever node owns them. The gateway
// implements it.
type Programs interface {
	// Operate performs one request of the callers' API on the operator's
	// branch and returns its HTTP status and JSON body.
	Operate(ctx context.Context, scope contract.Path, method, uri string, body []byte) (int, []byte)
}

// NodeSettings is the state of the settings on one node, as last reported.
type NodeSettings struct {
	Node     machine.ID        `json:"node"`
	Revision contract.Revision `json:"revision"`
	// Behind is set if the node holds older settings than another node.
	Behind bool `json:"behind"`
	// ReportAge is the time since the node's last report was received.
	ReportAge time.Duration `json:"heard_ago"`
}

// NodeState describes a node.
type NodeState struct {
	machine.Machine
	// OwnedPartitions is the number of partitions that the node owns. It is
	// set only for the node that answers the request.
	OwnedPartitions int `json:"owned_partitions,omitempty"`
}
