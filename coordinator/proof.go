package coordinator

import (
	"time"

	"birchwood.example/birchwood/machine"
)

// ProofMessage tells how lately the configuration that a node holds was proven to be
// the newest, or asks for that. A node takes such word only as the answer to a
// question of its own, and dates it from when it sent the question: how long a message
// was on its way, or lay unread at a node that stood still, is not known.
type FreshnessMessage struct {
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
	freshnessQueryAge = 1200 * time.Millisecond
	// proofAskPause is the least time between two such questions.
	minFreshnessQueryInterval = 150 * time.Millisecond
)

// proving is what this node knows of the age of its configuration.
type freshness struct {
	// wanted says that the configuration holds keys, so that its age matters.
	needed bool
	// at is when version was proven to be the newest; zero before any proof.
	provenAt time.Time
	version  uint64
	// askedAt is when the question of the newest number was sent.
	queriedAt   time.Time
	queryNumber uint64
}

// noteProof takes in a proof of the driver's.
func (c *Core) stepFreshnessProven(event ProofNoted) {
	c.freshness.needed = true
	c.freshness.version = max(c.freshness.version, event.Version)
	if event.At.After(c.freshness.provenAt) {
		c.freshness.provenAt = event.At
	}
}

// proofWord is what this node can prove, for a peer.
func (c *Core) freshnessClaim(now time.Time, number uint64) *FreshnessMessage {
	claim := &FreshnessMessage{Number: number}
	if !c.freshness.provenAt.IsZero() {
		claim.Version, claim.Age = c.freshness.version, now.Sub(c.freshness.provenAt)
	}
	return claim
}

// tickProof asks a peer for a newer proof once this node's own is old.
func (c *Core) tickFreshness(now time.Time) {
	state := &c.freshness
	if !state.needed || now.Sub(state.provenAt) < freshnessQueryAge || now.Sub(state.queriedAt) < minFreshnessQueryInterval {
		return
	}
	peer, found := c.freshnessPeer(now)
	if !found {
		return
	}
	state.queryNumber++
	state.queriedAt = now
	c.ready.Messages = append(c.ready.Messages, Outbound{
		To: peer, Message: PeerMessage{From: c.self(), Proof: &FreshnessMessage{Number: state.queryNumber, Ask: true}},
	})
}

// proofPeer draws whom to ask: one of the nodes of this zone that read the
// configuration often, or any other, in turn.
func (c *Core) freshnessPeer(now time.Time) (machine.Machine, bool) {
	peers := c.Readers()
	if c.freshness.queryNumber%2 == 1 {
		peers = c.Peers(now)
	}
	if len(peers) == 0 {
		return machine.Machine{}, false
	}
	peer := peers[c.config.Random.IntN(len(peers))]
	return peer, peer.ID != c.self().ID
}

// stepProof answers a question, or takes an answer in.
func (c *Core) stepFreshness(now time.Time, from machine.Machine, message FreshnessMessage) {
	if message.Ask {
		c.ready.Messages = append(c.ready.Messages, Outbound{
			To: from, Message: PeerMessage{From: c.self(), Proof: c.freshnessClaim(now, message.Number)},
		})
		return
	}
	if message.Number > 0 && message.Number == c.freshness.queryNumber {
		c.acceptFreshness(from, message, c.freshness.queriedAt)
	}
}

// takeProof takes in what a peer proved at a time that lies the word's age before the
// question. It counts only where this node holds what was the newest then.
func (c *Core) acceptFreshness(from machine.Machine, claim FreshnessMessage, askedAt time.Time) {
	if claim.Version == 0 {
		return
	}
	if claim.Version > max(c.freshness.version, c.loads.Version) {
		c.ready.Newer = append(c.ready.Newer, PeerVersion{From: from, Version: claim.Version})
		return
	}
	if provenAt := askedAt.Add(-claim.Age); provenAt.After(c.freshness.provenAt) {
		c.freshness.provenAt = provenAt
		c.freshness.version = max(c.freshness.version, claim.Version)
		c.ready.Proven = provenAt
	}
}
