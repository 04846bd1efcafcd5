package coordinator

import (
	"time"

	"birchwood.example/birchwood/machine"
)

// FreshnessMessage states when the sender's configuration was last proven to be the newest,
// or requests such a proof. A node accepts a proof only in answer to a request of its own,
// and dates it from when it sent the request, since it is unknown how long the answer was
// in transit or waited unread at a node that was paused.
type FreshnessMessage struct {
	// Number correlates an answer with its request. A proof that accompanies the answer to
	// a charge is correlated by the charge's number and has none of its own.
	Number uint64 `json:"number,omitempty"`
	Ask    bool   `json:"ask,omitempty"`
	// Version is the newest configuration at the time Age before the answer, as far as the
	// sender can prove; 0 if it can prove nothing.
	Version uint64        `json:"version,omitempty"`
	Age     time.Duration `json:"age,omitempty"`
}

const (
	// freshnessQueryAge is the age of this node's proof after which it requests a newer one
	// from a peer. It is well below the least bound after which a revoked key must stop
	// working, and above the age that nodes with traffic reach through the answers to
	// charges.
	freshnessQueryAge = 1200 * time.Millisecond
	// minFreshnessQueryInterval is the least time between two such requests.
	minFreshnessQueryInterval = 150 * time.Millisecond
)

// freshness is what this node can prove about the age of its configuration.
type freshness struct {
	// needed reports that the configuration contains keys, so that its age matters.
	needed bool
	// provenAt is when version was proven to be the newest; zero before the first proof.
	provenAt time.Time
	version  uint64
	// queriedAt is when the request with queryNumber was sent.
	queriedAt   time.Time
	queryNumber uint64
}

// stepFreshnessProven stores a proof from the driver.
func (c *Core) stepFreshnessProven(event FreshnessProven) {
	c.freshness.needed = true
	c.freshness.version = max(c.freshness.version, event.Version)
	if event.At.After(c.freshness.provenAt) {
		c.freshness.provenAt = event.At
	}
}

// freshnessClaim returns this node's proof for a peer.
func (c *Core) freshnessClaim(now time.Time, number uint64) *FreshnessMessage {
	claim := &FreshnessMessage{Number: number}
	if !c.freshness.provenAt.IsZero() {
		claim.Version, claim.Age = c.freshness.version, now.Sub(c.freshness.provenAt)
	}
	return claim
}

// tickFreshness requests a newer proof from a peer once this node's own is old.
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

// freshnessPeer selects the peer to query. It alternates between a random reader of this
// zone, since those read the configuration often, and a random peer.
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

// stepFreshness answers a request for a proof, or processes an answer.
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

// acceptFreshness accepts a peer's proof, dated the claim's age before the request. The
// proof is valid only if this node holds the configuration that was the newest then.
func (c *Core) acceptFreshness(from machine.Machine, claim FreshnessMessage, requestedAt time.Time) {
	if claim.Version == 0 {
		return
	}
	if claim.Version > max(c.freshness.version, c.loads.Version) {
		c.ready.NewerPeers = append(c.ready.NewerPeers, PeerVersion{From: from, Version: claim.Version})
		return
	}
	if provenAt := requestedAt.Add(-claim.Age); provenAt.After(c.freshness.provenAt) {
		c.freshness.provenAt = provenAt
		c.freshness.version = max(c.freshness.version, claim.Version)
		c.ready.FreshAsOf = provenAt
	}
}
