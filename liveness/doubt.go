package liveness

import "time"

const (
	// SettleDelay is the time after which what a process does shows that it survived: longer than
	// the steps in which a process ends.
	SettleDelay = 100 * time.Millisecond
	// AttributionWindow is the time within which the end of a process counts as caused by the
	// exchange, whatever the process did in between.
	AttributionWindow = time.Second
	// SuccessorDelay is the time after which a process that started again under the ID of its
	// predecessor is known by its own entry: a few heartbeats.
	SuccessorDelay = 3 * time.Second
)

// Outcome is what is known of a process.
type Outcome int

const (
	// Unknown means that the process may have ended.
	Unknown Outcome = iota
	// Survived means that the process worked after SettleDelay. An end within AttributionWindow
	// still counts.
	Survived
	// Outlived means that the process worked after AttributionWindow.
	Outlived
	// Ended means that the process ended within AttributionWindow, as far as is known.
	Ended
	outcomes
)

// String returns the outcome as it is logged.
func (o Outcome) String() string {
	return [outcomes]string{"unknown", "survived", "outlived", "ended"}[o]
}

// Lives reports whether the process is shown to live.
func (o Outcome) Lives() bool { return o == Survived || o == Outlived }

// Sign is an answer to a request.
type Sign struct {
	// ConnectedAt is when the connection of the answer was opened.
	ConnectedAt time.Time
	// SentAt is when the request was sent: the process worked later than that.
	SentAt time.Time
	// Unique is set if no other process would have answered as this one. Otherwise, a successor
	// under the same ID would have.
	Unique bool
}

// Doubt is the question whether a process survived the end of an exchange.
type Doubt struct {
	// since is the time before which connections were opened to the process in question.
	since time.Time
	// at is when the exchange ended.
	at       time.Time
	workedAt time.Time
	gone     bool
}

// NewDoubt returns the question whether a process survived the end of an exchange at a time.
// Connections that were opened before since belong to that process.
func NewDoubt(since, at time.Time) Doubt { return Doubt{since: since, at: at} }

// At returns when the exchange ended.
func (d *Doubt) At() time.Time { return d.at }

// Observe takes a sign into account.
func (d *Doubt) Observe(sign Sign) {
	same := sign.Unique || sign.ConnectedAt.Before(d.since) || !sign.SentAt.Before(d.at.Add(SuccessorDelay))
	if same && sign.SentAt.After(d.workedAt) {
		d.workedAt = sign.SentAt
	}
}

// ObserveGone takes into account that the process is no longer there.
func (d *Doubt) ObserveGone() { d.gone = true }

// Outcome returns what the evidence shows.
func (d *Doubt) Outcome() Outcome {
	switch {
	case !d.workedAt.Before(d.at.Add(AttributionWindow)):
		return Outlived
	case d.gone:
		return Ended
	case !d.workedAt.Before(d.at.Add(SettleDelay)):
		return Survived
	default:
		return Unknown
	}
}

// DueAt returns when a sign would change the outcome next, or false if none would.
func (d *Doubt) DueAt() (time.Time, bool) {
	switch d.Outcome() {
	case Unknown:
		return d.at.Add(SettleDelay), true
	case Survived:
		return d.at.Add(AttributionWindow), true
	default:
		return time.Time{}, false
	}
}
