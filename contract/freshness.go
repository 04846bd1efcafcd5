package contract

import (
	"fmt"
	"slices"
	"time"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// FreshnessState describes whether a node has evidence that it holds the newest
// settings.
type FreshnessState string

// The states of freshness.
const (
	// FreshnessFresh: within the bound, this node or a peer with the same
	// settings saw the end of the stream.
	FreshnessFresh FreshnessState = "fresh"
	// FreshnessBehind: a record that this node has not read is known to exist.
	FreshnessBehind FreshnessState = "behind"
	// FreshnessOutage: within the bound, neither this node nor its peers saw
	// the end of the stream, and nodes in every zone reported so. The store is
	// down for all, so the settings cannot have changed since.
	FreshnessOutage FreshnessState = "outage"
	// FreshnessUnconfirmed: this node cannot see the end of the stream, and
	// cannot rule out that others can.
	FreshnessUnconfirmed FreshnessState = "unconfirmed"
)

// Freshness describes how current a node's settings are at one moment.
type Freshness struct {
	State FreshnessState `json:"state"`
	// Since is when the state began.
	Since time.Time `json:"since"`
	// MayPlace reports whether new work may start. If it is false, a dispatch
	// whose placement rule could have changed must wait or be refused.
	MayPlace bool `json:"may_place"`
	// Position is the number of records that this node has applied, Known the
	// number that it knows to exist, and Revision the last accepted one that
	// it holds.
	Position uint64   `json:"position"`
	Known    uint64   `json:"known"`
	Revision Revision `json:"revision"`
	// ConfirmedAt is the last time at which the settings held were known to be
	// the newest.
	ConfirmedAt time.Time `json:"confirmed"`
	Reason      string    `json:"reason"`
}

// Report describes a node's settings to its peers. Each membership message
// carries one.
type Report struct {
	Peer machine.ID `json:"peer"`
	Zone zone.Name  `json:"zone"`
	// Position is the number of records that the peer has applied. Known is
	// the highest position that it has read or received.
	Position uint64 `json:"position"`
	Known    uint64 `json:"known"`
	// ConfirmedAge is the time from when the peer's settings were last known
	// to be the newest until the report was sent, or negative if they never
	// were. It is an age rather than a time because clocks differ.
	ConfirmedAge time.Duration `json:"age"`
	// Digest is the chained digest of the records up to Position.
	Digest uint64 `json:"digest"`
	// ZoneAges holds, per zone, how long ago a node there was known to hold
	// Position and to know of no newer record. It is omitted until the
	// sender's last confirmation is older than half the freshness bound.
	ZoneAges map[zone.Name]time.Duration `json:"zones,omitempty"`
}

// neverConfirmedAge is the age in reports of a node whose settings were never
// known to be the newest, or are known not to be.
const neverConfirmedAge = time.Duration(-1)

// peerReport is the last report of a peer and the time of its receipt.
type peerReport struct {
	report     Report
	receivedAt time.Time
}

// peerConfirmedAt returns when the peer's settings were last known to be the
// newest, by this node's clock.
func (f *Follower) peerConfirmedAt(peer peerReport) time.Time {
	if peer.report.ConfirmedAge < 0 {
		return time.Time{}
	}
	return peer.receivedAt.Add(-f.config.MessageDelay - peer.report.ConfirmedAge)
}

// Freshness returns how current this node's settings are.
func (f *Follower) Freshness(now time.Time) Freshness {
	result := Freshness{
		Position: f.tree.Position(), Known: f.known, Revision: f.tree.Revision(), ConfirmedAt: f.confirmedAt,
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

// classifyOutage distinguishes a store that is down for all from a node or zone
// that is partitioned off. It requires recent agreement from every zone of the
// deployment, because network partitions separate whole zones. A node's report
// counts for its zone if the node holds the same settings and knows of no newer
// record; had it seen the end of the stream within the bound, its report would
// have confirmed the settings here too. A report with older settings, such as
// that of a node that has just started, does not count.
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

// recordAgreement records a report's evidence for the sender's zone and for the
// zones in ZoneAges. Each relay adds its delay to the age, so that evidence
// never appears more recent than it is.
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
	for name, age := range report.ZoneAges {
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

// zoneAgreementAges returns the zone ages for a report, or nil while this node's
// settings are fresh enough that peers do not need them.
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

// peerRetention is how long the last report of an unresponsive peer is kept, so
// that the settings status still lists it.
const peerRetention = 5 * time.Minute

// expirePeers drops old reports. It scans them at most once per
// FreshnessBound.
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
