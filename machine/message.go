package machine

// MessageKind is the type of a membership message.
type MessageKind string

// The kinds of membership message.
const (
	MessageProbe MessageKind = "probe"
	MessageAck   MessageKind = "ack"
	// MessageProbeFor requests that the receiver probe Target and relay the ack.
	MessageProbeFor MessageKind = "probe_for"
	// MessageAnnounce carries an update sent to every node at once. It is not
	// answered.
	MessageAnnounce MessageKind = "announce"
	// MessageGossip carries updates only and is not answered.
	MessageGossip MessageKind = "gossip"
)

// Update is a rumour about one machine's status. Of two updates about the same
// machine the higher incarnation wins, then the worse status.
type Update struct {
	ID          ID     `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	Status      Status `json:"status"`
}

// Message is exchanged between the memberships of two nodes.
type Message struct {
	Kind     MessageKind `json:"kind"`
	Sequence uint64      `json:"sequence"`
	Target   ID          `json:"target,omitempty"`
	Updates  []Update    `json:"updates,omitempty"`
	// Revision is the highest settings revision that the sender holds.
	Revision uint64 `json:"revision,omitempty"`
	// Reliable requests a transport that retransmits lost messages. Indirect
	// probes and their acks set it, so that packet loss on a link does not make
	// a peer appear dead.
	Reliable bool `json:"reliable,omitempty"`
}

// Outbound is a membership message to another node.
type Outbound struct {
	To      ID
	Message Message
}
