package contract

import (
	"fmt"
	"slices"
	"time"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// FreshnessState says how sure a node is that it holds the newest settings.
type FreshnessState string

// The states of freshness.
const (
	// FreshnessFresh: within the bound, this node or a peer with the same
	// settings saw the end of the stream.
	FreshnessFresh FreshnessState = "fresh"
	// FreshnessBehind: a record that this node has not read is known to exist.
	FreshnessBehind FreshnessState = "behind"
	// FreshnessOutage: nobody saw the end of the stream within the bound,
	// and peers in every zone say the same: the store is down for all, so
	// that nobody can have changed the settings since.
	FreshnessOutage FreshnessState = "outage"
	// FreshnessUnconfirmed: this node cannot see the end of the stream, and
	// cannot rule out that others can.
	FreshnessUnconfirmed FreshnessState = "unconfirmed"
)

// Freshness is a node's knowledge about its settings at one moment.
type Freshness struct {
	State FreshnessState `json:"state"`
	// Since is when the state began.
	Since time.Time `json:"since"`
	// MayPlace says whether new work may be placed: a dispatch whose place
	// rule could have changed must wait or be refused when it is false.
	MayPlace bool `json:"may_place"`
	// Position is how many records this node folded, Known how many exist as
	// far as it knows, and Revision the last accepted one that it holds.
	Position uint64   `json:"position"`
	Known    uint64   `json:"known"`
	Revision Revision `json:"revision"`
	// Confirmed is the last moment at which the held settings were known to
	// be the newest.
	Confirmed time.Time `json:"confirmed"`
	Reason    string    `json:"reason"`
}

// Report is what a node tells its peers about the settings, with each
// message of the membership.
type Report struct {
	Peer machine.ID `json:"peer"`
	Zone zone.Name  `json:"zone"`
	// Position is how many records the peer folded; Known is the highest
	// position that it heard of or read.
	Position uint64 `json:"position"`
	Known    uint64 `json:"known"`
	// Age is how long before sending the peer's settings were last known to
	// be the newest. It is negative when they never were. An age and not a
	// time, since clocks differ.
	Age time.Duration `json:"age"`
	// Digest chains the records up to Position.
	Digest uint64 `json:"digest"`
	// Zones tells for other zones how long ago a node there was known to hold
	// Position and to know of no newer record. It is left out while the
	// sender's settings are fresh.
	Zones map[zone.Name]time.Duration `json:"zones,omitempty"`
}

// unconfirmedAge marks a report of a node that never saw the stream's end.
const neverConfirmedAge = time.Duration(-1)

// heard is the last report of one peer and when it arrived.
type peerReport struct {
	report     Report
	receivedAt time.Time
}

// peerConfirmed returns when the peer's settings were last known to be the
// newest, by this node's clock.
func (f *Follower) peerConfirmedAt(peer peerReport) time.Time {
	if peer.report.Age < 0 {
		return time.Time{}
	}
	return peer.receivedAt.Add(-f.config.MessageDelay - peer.report.Age)
}

// Freshness says how sure this node is of its settings.
func (f *Follower) Freshness(now time.Time) Freshness {
	result := Freshness{
		Position: f.tree.Position(), Known: f.known, Revision: f.tree.Revision(), Confirmed: f.confirmedAt,
	}
	freshUntil := f.confirmedAt.Add(f.config.FreshnessBound)
	switch {
	case f.known > result.Position:
		result.State = FreshnessBehind
		result.Since = f.behindSince
		result.Reason = fmt.Sprintf("%d records of the settings stream are known and not read", f.known-result.Position)
	case !f.confirmedAt.IsZero() && now.Before(freshUntil):
		result.State = FreshnessFresh
		result.Since = f.confirmedAt
		result.MayPlace = true
		result.Reason = "the end of the settings stream was seen within the bound"
	default:
		result.Since = freshUntil
		result.State, result.Reason = f.classifyOutage(now)
		result.MayPlace = result.State == FreshnessOutage
	}
	return result
}

// outage tells a store that is down for all from a node, or a zone, that is
// cut off. It needs a recent word from every zone of the deployment, because a
// zone is what the network cuts off as a whole. A node vouches for its zone
// when it holds the same settings and knows of no newer record; had it seen
// the stream's end within the bound, its report would have confirmed the
// settings here too. A node that holds older settings, such as one that just
// started, vouches for nothing.
func (f *Follower) classifyOutage(now time.Time) (FreshnessState, string) {
	if f.confirmedAt.IsZero() {
		return FreshnessUnconfirmed, "the end of the settings stream was never seen"
	}
	if now.Sub(f.peerAgreedAt) >= f.config.FreshnessBound {
		return FreshnessUnconfirmed, "the store is out of reach and no peer with the same settings was heard within the bound"
	}
	for _, name := range f.config.Zones {
		if name != f.config.Zone && now.Sub(f.zoneAgreedAt[name]) >= f.config.FreshnessBound {
			return FreshnessUnconfirmed, fmt.Sprintf("the store is out of reach and no node of zone %s with the same settings was heard of within the bound", name)
		}
	}
	return FreshnessOutage, "the store is out of reach for this node and, as far as its peers know, for every zone"
}

// vouch notes what a report says about the zones: its sender's own, and those
// that the sender heard of. Ages add up along the way, so that a word never
// looks younger than it is.
func (f *Follower) recordAgreement(now time.Time, report Report) {
	if held := f.tree.Position(); f.agreedPosition != held {
		f.agreedPosition = held
		f.peerAgreedAt = time.Time{}
		clear(f.zoneAgreedAt)
	}
	if report.Position != f.agreedPosition || report.Known > report.Position {
		return
	}
	sent := now.Add(-f.config.MessageDelay)
	f.peerAgreedAt = now
	f.recordZoneAgreement(report.Zone, sent)
	for name, age := range report.Zones {
		if age >= 0 {
			f.recordZoneAgreement(name, sent.Add(-age))
		}
	}
}

func (f *Follower) recordZoneAgreement(name zone.Name, at time.Time) {
	if slices.Contains(f.config.Zones, name) && at.After(f.zoneAgreedAt[name]) {
		f.zoneAgreedAt[name] = at
	}
}

// vouchedZones returns the ages for a report; nil while they are of no use.
func (f *Follower) zoneAgreementAges(now time.Time) map[zone.Name]time.Duration {
	if now.Before(f.confirmedAt.Add(f.config.FreshnessBound/2)) || f.agreedPosition != f.tree.Position() {
		return nil
	}
	ages := map[zone.Name]time.Duration{}
	for name, at := range f.zoneAgreedAt {
		if age := now.Sub(at); age < f.config.FreshnessBound {
			ages[name] = age
		}
	}
	return ages
}

// peerRetention is how long the report of a silent peer is kept, so that the
// status of the settings names it.
const peerRetention = 5 * time.Minute

// forgetPeers drops old reports, once within each bound.
func (f *Follower) expirePeers(now time.Time) {
	if now.Before(f.nextPeerExpiry) {
		return
	}
	f.nextPeerExpiry = now.Add(f.config.FreshnessBound)
	for id, peer := range f.peers {
		if now.Sub(peer.receivedAt) >= peerRetention {
			delete(f.peers, id)
		}
	}
}
