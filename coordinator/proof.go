package coordinator

import (
	"time"

	"birchwood.example/birchwood/machine"
)

// ProofMessage tells how lately the configuration that a node holds was proven to be
// the newest, or asks for that. A node takes such word only as the answer to a
// question of its own, and dates it from when it sent the question: how long a message
// was on its way, or lay unread at a node that stood still, is not known.
type ProofMessage struct {
	// Number correlates an answer with its question. Word of proofs that comes with
	// the answer to a charge has the charge's number and none of its own.
	Number uint64 `json:"number,omitempty"`
	Ask    bool   `json:"ask,omitempty"`
	// Version is the newest configuration at the time that lies Age before the
	// answer, as far as the sender can prove. 0 says that it can prove nothing.
	Version uint64        `json:"version,omitempty"`
	Age     time.Duration `json:"age,omitempty"`
}

const (
	// proofAskAfter is the age of this node's proof from which on it asks a peer:
	// well under the least bound within which a key that was taken away must not
	// work any more, and above what nodes with traffic reach by the way.
	proofAskAfter = 1200 * time.Millisecond
	// proofAskPause is the least time between two such questions.
	proofAskPause = 150 * time.Millisecond
)

// proving is what this node knows of the age of its configuration.
type proving struct {
	// wanted says that the configuration holds keys, so that its age matters.
	wanted bool
	// at is when version was proven to be the newest; zero before any proof.
	at      time.Time
	version uint64
	// askedAt is when the question of the newest number was sent.
	askedAt time.Time
	number  uint64
}

// noteProof takes in a proof of the driver's.
func (c *Core) noteProof(event ProofNoted) {
	c.proving.wanted = true
	c.proving.version = max(c.proving.version, event.Version)
	if event.At.After(c.proving.at) {
		c.proving.at = event.At
	}
}

// proofWord is what this node can prove, for a peer.
func (c *Core) proofWord(now time.Time, number uint64) *ProofMessage {
	word := &ProofMessage{Number: number}
	if !c.proving.at.IsZero() {
		word.Version, word.Age = c.proving.version, now.Sub(c.proving.at)
	}
	return word
}

// tickProof asks a peer for a newer proof once this node's own is old.
func (c *Core) tickProof(now time.Time) {
	held := &c.proving
	if !held.wanted || now.Sub(held.at) < proofAskAfter || now.Sub(held.askedAt) < proofAskPause {
		return
	}
	peer, found := c.proofPeer(now)
	if !found {
		return
	}
	held.number++
	held.askedAt = now
	c.ready.Messages = append(c.ready.Messages, Outbound{
		To: peer, Message: PeerMessage{From: c.self(), Proof: &ProofMessage{Number: held.number, Ask: true}},
	})
}

// proofPeer draws whom to ask: one of the nodes of this zone that read the
// configuration often, or any other, in turn.
func (c *Core) proofPeer(now time.Time) (machine.Machine, bool) {
	peers := c.Readers()
	if c.proving.number%2 == 1 {
		peers = c.Peers(now)
	}
	if len(peers) == 0 {
		return machine.Machine{}, false
	}
	peer := peers[c.config.Random.IntN(len(peers))]
	return peer, peer.ID != c.self().ID
}

// stepProof answers a question, or takes an answer in.
func (c *Core) stepProof(now time.Time, from machine.Machine, message ProofMessage) {
	if message.Ask {
		c.ready.Messages = append(c.ready.Messages, Outbound{
			To: from, Message: PeerMessage{From: c.self(), Proof: c.proofWord(now, message.Number)},
		})
		return
	}
	if message.Number > 0 && message.Number == c.proving.number {
		c.takeProof(from, message, c.proving.askedAt)
	}
}

// takeProof takes in what a peer proved at a time that lies the word's age before the
// question. It counts only where this node holds what was the newest then.
func (c *Core) takeProof(from machine.Machine, word ProofMessage, askedAt time.Time) {
	if word.Version == 0 {
		return
	}
	if word.Version > max(c.proving.version, c.loads.Version) {
		c.ready.Newer = append(c.ready.Newer, PeerVersion{From: from, Version: word.Version})
		return
	}
	if at := askedAt.Add(-word.Age); at.After(c.proving.at) {
		c.proving.at = at
		c.proving.version = max(c.proving.version, word.Version)
		c.ready.Proven = at
	}
}
