package machine

// MessageKind tells what a membership message asks or answers.
type MessageKind string

// The kinds of membership message.
const (
	MessageProbe MessageKind = "probe"
	MessageAck   MessageKind = "ack"
	// MessageProbeFor asks the receiver to probe Target and to relay the ack.
	MessageProbeFor MessageKind = "probe_for"
	// MessageAnnounce carries updates alone and asks for no answer.
	MessageAnnounce MessageKind = "announce"
	// MessageGossip carries updates alone and is not answered.
	MessageGossip MessageKind = "gossip"
)

// Update is a rumour about one machine's status. Of two updates about the
// same machine the higher incarnation wins, then the worse status.
type Update struct {
	ID          ID     `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	Status      Status `json:"status"`
}

// Message is what the memberships of two nodes exchange.
type Message struct {
	Kind     MessageKind `json:"kind"`
	Sequence uint64      `json:"sequence"`
	Target   ID          `json:"target,omitempty"`
	Updates  []Update    `json:"updates,omitempty"`
	// Revision is the highest settings revision that the sender knows of.
	Revision uint64 `json:"revision,omitempty"`
	// Reliable asks for a transport that repeats what is lost on the way. Indirect
	// probes and what answers them ask for it, so that a link that loses packets
	// does not make a peer look dead.
	Reliable bool `json:"reliable,omitempty"`
}

// Outbound is a membership message to another node.
type Outbound struct {
	To      ID
	Message Message
}
