package gather

import (
	"time"

	"birchwood.example/birchwood/machine"
)

// Kind is the type of a message.
type Kind string

// The kinds of message.
const (
	// KindReport reports a node's load to its collector and requests the totals.
	KindReport Kind = "report"
	// KindTotals answers a report with the totals of all other nodes.
	KindTotals Kind = "totals"
	// KindSum sends another collector the sum of the reports that the sender received.
	KindSum Kind = "sum"
	// KindLeave withdraws a report, because the node now reports to another collector.
	KindLeave Kind = "leave"
)

// Message is exchanged between nodes and collectors.
type Message struct {
	Kind Kind `json:"kind"`
	// Number matches an answer to its report, and orders reports.
	Number uint64 `json:"number,omitempty"`
	// Nodes is the number of nodes that the counts cover.
	Nodes int `json:"nodes,omitempty"`
	// Age is the mean age of the counts when the message was sent.
	Age time.Duration `json:"age,omitempty"`
	// ListHash is the hash of a collector's replica list: in a report, of the list that
	// the sender holds; in an answer, of the list that gives the order of the counts.
	// Keys is that list, sent if the receiver does not hold it.
	ListHash uint64 `json:"list,omitempty"`
	Keys     []byte `json:"keys,omitempty"`
	// Counts are the requests in progress by replica, and TokenTimes the measured token
	// times, both packed. HasTokenTimes distinguishes an empty list of token times from
	// one that was not sent.
	Counts []byte `json:"counts,omitempty"`
	// Partial is set if replicas with requests are missing from the counts.
	Partial       bool   `json:"partial,omitempty"`
	TokenTimes    []byte `json:"paces,omitempty"`
	HasTokenTimes bool   `json:"has_paces,omitempty"`
}

// Outbound is a message to another node.
type Outbound struct {
	To      machine.Machine
	Message Message
}
