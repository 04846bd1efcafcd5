package operator

import (
	"sync"
	"time"

	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/gateway"
)

// RefusalLog stores the last refusals of this node, so that operators can look
// up why a caller was refused. It is safe for concurrent use.
type RefusalLog struct {
	mutex     sync.Mutex
	ring      []gateway.Refusal
	nextIndex int
	byID      map[string]int
}

// NewRefusalLog returns a log that stores the last size refusals, at least one.
func NewRefusalLog(size int) *RefusalLog {
	return &RefusalLog{ring: make([]gateway.Refusal, max(1, size)), byID: make(map[string]int)}
}

// Add stores a refusal, in place of the oldest one if the log is full.
func (l *RefusalLog) Add(refusal gateway.Refusal) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.byID, l.ring[l.nextIndex].Error.ID)
	l.ring[l.nextIndex] = refusal
	l.byID[refusal.Error.ID] = l.nextIndex
	l.nextIndex = (l.nextIndex + 1) % len(l.ring)
}

// Find returns the refusal with the ID, if it is still stored.
func (l *RefusalLog) Find(id string) (gateway.Refusal, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	index, known := l.byID[id]
	if !known || id == "" {
		return gateway.Refusal{}, false
	}
	return l.ring[index], true
}

// Observer records the gateway's measurements in Metrics and its refusals in
// Refusals.
type Observer struct {
	Metrics  *Metrics
	Refusals *RefusalLog
}

var _ gateway.Observer = Observer{}

// Answered implements gateway.Observer.
func (o Observer) Answered(operation control.Operation, status int, took time.Duration) {
	o.Metrics.Answered(operation, status, took)
}

// Refused implements gateway.Observer.
func (o Observer) Refused(refusal gateway.Refusal) {
	o.Metrics.RequestRefused(refusal.Error.Code)
	o.Refusals.Add(refusal)
}

// FirstText implements gateway.Observer.
func (o Observer) FirstText(took time.Duration) { o.Metrics.firstText.Observe(took.Seconds()) }

// Relayed implements gateway.Observer.
func (o Observer) Relayed(failed bool) { o.Metrics.Relayed(failed) }

// InFlight implements gateway.Observer.
func (o Observer) InFlight(change int) { o.Metrics.InFlight(change) }
