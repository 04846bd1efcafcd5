package standin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"birchwood.example/birchwood/zone"
)

// FaultKind is the kind of a fault.
type FaultKind string

// The kinds of fault.
const (
	// FaultDown closes the connection before the action.
	FaultDown FaultKind = "down"
	// FaultUnavailable answers 503 without the action.
	FaultUnavailable FaultKind = "unavailable"
	// FaultSlow waits DelayMilliseconds before the action.
	FaultSlow FaultKind = "slow"
	// FaultAnswerLost closes the connection after the action took effect.
	FaultAnswerLost FaultKind = "answer_lost"
	// FaultHung holds the request, without action or answer, until the fault
	// is removed, at most hungLimit; then it closes the connection.
	FaultHung FaultKind = "hung"
	// FaultLagging sets the delay of the machine list, or of an engine's load
	// reports and cache events, to DelayMilliseconds.
	FaultLagging FaultKind = "lagging"
	// FaultNetworkPartition blocks the link from zone From to zone To: requests
	// hang as with FaultHung, and answers in progress are interrupted.
	FaultNetworkPartition FaultKind = "cut"
)

// The targets of the platform's own services. Other targets are machine IDs;
// TargetAll is every service.
const (
	TargetLog      = "log"
	TargetMachines = "machines"
	TargetWeights  = "weights"
	TargetAll      = "*"
)

// Fault is an injected fault, active until it is removed or expires.
type Fault struct {
	// Name identifies the fault; adding a fault of the same name replaces it.
	Name   string    `json:"name"`
	Kind   FaultKind `json:"kind"`
	Target string    `json:"target,omitempty"`
	// From and To are the zones of FaultNetworkPartition. To may also be a
	// target's name.
	From zone.Name `json:"from,omitempty"`
	To   zone.Name `json:"to,omitempty"`
	// TwoWay blocks the link from To to From as well.
	TwoWay            bool  `json:"two_way,omitempty"`
	DelayMilliseconds int64 `json:"delay_ms,omitempty"`
	// Probability is the share of requests that are affected; zero means all.
	Probability float64 `json:"probability,omitempty"`
	// ForMilliseconds is the time after which the fault expires; zero means
	// never.
	ForMilliseconds int64 `json:"for_ms,omitempty"`
}

// delay returns DelayMilliseconds as a duration.
func (f Fault) delay() time.Duration { return time.Duration(f.DelayMilliseconds) * time.Millisecond }

// validate reports all invalid fields.
func (f Fault) validate() error {
	var findings []error
	if f.Name == "" {
		findings = append(findings, errors.New("name: missing"))
	}
	kinds := []FaultKind{FaultDown, FaultUnavailable, FaultSlow, FaultAnswerLost, FaultHung, FaultLagging, FaultNetworkPartition}
	if !slices.Contains(kinds, f.Kind) {
		findings = append(findings, fmt.Errorf("kind: unknown %q", f.Kind))
	}
	if f.Kind == FaultNetworkPartition && (f.From == "" || f.To == "") {
		findings = append(findings, errors.New("from, to: missing"))
	}
	if f.Kind != FaultNetworkPartition && f.Target == "" {
		findings = append(findings, errors.New("target: missing"))
	}
	if f.Probability < 0 || f.Probability > 1 {
		findings = append(findings, fmt.Errorf("probability: want 0 to 1, got %g", f.Probability))
	}
	if f.DelayMilliseconds < 0 || f.ForMilliseconds < 0 {
		findings = append(findings, errors.New("delay_ms, for_ms: must not be negative"))
	}
	return errors.Join(findings...)
}

// Faults holds the active faults. It is safe for concurrent use.
type Faults struct {
	mutex  sync.Mutex
	random *rand.Rand
	active map[string]activeFault
	// changed is closed and replaced when a fault is added or removed.
	changed chan struct{}
	now     func() time.Time
}

// activeFault is a fault and its time of expiry; zero means never.
type activeFault struct {
	Fault
	expiresAt time.Time
}

// newFaults returns an empty set of faults.
func newFaults(random *rand.Rand, now func() time.Time) *Faults {
	return &Faults{random: random, active: make(map[string]activeFault), changed: make(chan struct{}), now: now}
}

// Add activates a fault and replaces an active one of the same name.
func (f *Faults) Add(fault Fault) error {
	if err := fault.validate(); err != nil {
		return err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	added := activeFault{Fault: fault}
	if fault.ForMilliseconds > 0 {
		added.expiresAt = f.now().Add(time.Duration(fault.ForMilliseconds) * time.Millisecond)
	}
	f.active[fault.Name] = added
	f.notify()
	return nil
}

// Remove removes a fault, or all of them if the name is empty.
func (f *Faults) Remove(name string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if name == "" {
		clear(f.active)
	} else {
		delete(f.active, name)
	}
	f.notify()
}

// List returns the active faults, sorted by name.
func (f *Faults) List() []Fault {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	listed := []Fault{}
	for _, fault := range f.unexpired() {
		listed = append(listed, fault.Fault)
	}
	return listed
}

// unexpired returns the faults that have not expired, sorted by name, and removes
// the others. The mutex must be held.
func (f *Faults) unexpired() []activeFault {
	var unexpired []activeFault
	now := f.now()
	for name, fault := range f.active {
		if !fault.expiresAt.IsZero() && !fault.expiresAt.After(now) {
			delete(f.active, name)
			continue
		}
		unexpired = append(unexpired, fault)
	}
	slices.SortFunc(unexpired, func(a, b activeFault) int { return strings.Compare(a.Name, b.Name) })
	return unexpired
}

// notify makes every waiting request re-evaluate the faults. The mutex must be
// held.
func (f *Faults) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// service is the name and zone of a stand-in.
type service struct {
	name string
	zone zone.Name
}

// effects are the combined effects of the active faults on one request.
type effects struct {
	down        bool
	unavailable bool
	hung        bool
	answerLost  bool
	delay       time.Duration
}

// effectsOn returns the effects on a request from the caller's zone, and the
// channel that is closed when the faults change.
func (f *Faults) effectsOn(target service, caller zone.Name) (effects, <-chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var found effects
	for _, fault := range f.unexpired() {
		if !fault.matches(target, caller) || !f.draw(fault.Fault) {
			continue
		}
		switch fault.Kind {
		case FaultDown:
			found.down = true
		case FaultUnavailable:
			found.unavailable = true
		case FaultSlow:
			found.delay += fault.delay()
		case FaultAnswerLost:
			found.answerLost = true
		case FaultHung, FaultNetworkPartition:
			found.hung = true
		}
	}
	return found, f.changed
}

// matches reports whether the fault affects requests from the caller's zone to
// the target.
func (f Fault) matches(target service, caller zone.Name) bool {
	if f.Kind != FaultNetworkPartition {
		return f.Target == TargetAll || f.Target == target.name
	}
	return f.blocks(caller, target) || f.TwoWay && f.blocksReverse(caller, target)
}

// blocks reports whether the link from the caller's zone to the target is
// blocked.
func (f Fault) blocks(caller zone.Name, target service) bool {
	return caller == f.From && (target.zone == f.To || target.name == string(f.To))
}

// blocksReverse reports whether From and To match in the reverse direction, which
// TwoWay blocks too.
func (f Fault) blocksReverse(caller zone.Name, target service) bool {
	return caller == f.To && target.zone == f.From
}

// draw decides at random, by the fault's probability, whether it affects a
// request.
func (f *Faults) draw(fault Fault) bool {
	return fault.Probability == 0 || f.random.Float64() < fault.Probability
}

// isUnreachable reports whether an answer from the target can no longer reach the
// caller's zone: a link between them is blocked or the target is down.
func (f *Faults) isUnreachable(target service, caller zone.Name) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, fault := range f.unexpired() {
		answerBlocked := fault.Kind == FaultNetworkPartition && (fault.matches(target, caller) || fault.blocksAnswer(target, caller))
		isDown := fault.Kind == FaultDown && fault.Probability == 0 && fault.matches(target, caller)
		if answerBlocked || isDown {
			return true
		}
	}
	return false
}

// blocksAnswer reports whether the link from the target to the caller's zone is
// blocked.
func (f Fault) blocksAnswer(target service, caller zone.Name) bool {
	return target.zone == f.From && caller == f.To
}

// lag returns the delay of the target's reports by the active faults, and whether
// there is such a fault.
func (f *Faults) lag(target string) (time.Duration, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, fault := range f.unexpired() {
		if fault.Kind == FaultLagging && (fault.Target == target || fault.Target == TargetAll) {
			return fault.delay(), true
		}
	}
	return 0, false
}
