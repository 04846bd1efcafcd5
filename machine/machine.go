package machine

import "birchwood.example/birchwood/zone"

// ID identifies a machine: a node of the system or a back end.
type ID string

// Kind is the type of a machine.
type Kind string

// The kinds of machine in the machine list.
const (
	KindNode   Kind = "node"
	KindEngine Kind = "engine"
	KindTool   Kind = "tool"
)

// Status is a machine's state, according to the machine list or to probing.
type Status string

// The states of a machine. The machine list contains only live and leaving;
// suspect and dead result from probing.
const (
	StatusLive    Status = "live"
	StatusLeaving Status = "leaving"
	StatusSuspect Status = "suspect"
	StatusDead    Status = "dead"
)

// Machine is one entry of the machine list.
type Machine struct {
	ID   ID        `json:"id"`
	Kind Kind      `json:"kind"`
	Zone zone.Name `json:"zone"`
	// Address is "ip:port" of the machine's service; for a node, of its
	// gateway, which serves callers and peers.
	Address string `json:"address"`
	Status  Status `json:"status"`
	// Incarnation increases with each start of the machine's process.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Weight is a node's share of the partitions, relative to other nodes'; 0
	// counts as 1.
	Weight float64 `json:"weight,omitempty"`
	// Models are the models that an engine has loaded.
	Models []string `json:"models,omitempty"`
	// Tools are the names of the tools that a tool service provides.
	Tools []string `json:"tools,omitempty"`
	// Slots is the number of sequences that an engine decodes concurrently.
	Slots int `json:"slots,omitempty"`
	// CacheTokens is the size of an engine's prefix cache, in tokens.
	CacheTokens int `json:"cache_tokens,omitempty"`
}
