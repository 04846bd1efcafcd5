package machine

import "birchwood.example/birchwood/zone"

// ID identifies a machine: a node of the system or a back end.
type ID string

// Kind tells what runs on a machine.
type Kind string

// The kinds of machine that the machine list shows.
const (
	KindNode   Kind = "node"
	KindEngine Kind = "engine"
	KindTool   Kind = "tool"
)

// Status is a machine's state, as the machine list or the probes see it.
type Status string

// The states of a machine. The machine list shows only live and leaving;
// suspect and dead come from probing.
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
	// Incarnation grows with each start of the machine's process.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Weight is a node's share of the partitions, relative to other nodes'; 0
	// counts as 1.
	Weight float64 `json:"weight,omitempty"`
	// Models are the models that an engine has loaded.
	Models []string `json:"models,omitempty"`
	// Tools are the tool names that a tool service answers.
	Tools []string `json:"tools,omitempty"`
	// Slots is how many sequences an engine decodes at once.
	Slots int `json:"slots,omitempty"`
	// CacheTokens is the size of an engine's prefix cache, in tokens.
	CacheTokens int `json:"cache_tokens,omitempty"`
}
