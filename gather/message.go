package gather

import (
	"time"

	"birchwood.example/birchwood/machine"
)

// Kind tells what a message says.
type Kind string

// The kinds of message.
const (
	// KindReport tells a collector what a node has, and asks for the totals.
	KindReport Kind = "report"
	// KindTotals answers a report with what all others have.
	KindTotals Kind = "totals"
	// KindSum tells another collector what the nodes have that report to the sender.
	KindSum Kind = "sum"
	// KindLeave takes a report back: the node reports to another collector.
	KindLeave Kind = "leave"
)

// Message is what nodes and collectors exchange.
type Message struct {
	Kind Kind `json:"kind"`
	// Number correlates an answer with its report, and orders reports.
	Number uint64 `json:"number,omitempty"`
	// Nodes is how many nodes the counts are of.
	Nodes int `json:"nodes,omitempty"`
	// Age is how old the counts are in the mean, when sent.
	Age time.Duration `json:"age,omitempty"`
	// List names a collector's list: the one that a report's sender holds, or the one in
	// whose order an answer gives the counts. Keys are that list where the receiver does
	// not hold it.
	ListHash uint64 `json:"list,omitempty"`
	Keys     []byte `json:"keys,omitempty"`
	// Counts are the requests under way by replica, and Paces the times of a token, both
	// packed. HasPaces tells no paces from none said.
	Counts []byte `json:"counts,omitempty"`
	// Partial says that there are more replicas with requests.
	Partial       bool   `json:"partial,omitempty"`
	Paces         []byte `json:"paces,omitempty"`
	HasTokenTimes bool   `json:"has_paces,omitempty"`
}

// Outbound is a message to another node.
type Outbound struct {
	To      machine.Machine
	Message Message
}
