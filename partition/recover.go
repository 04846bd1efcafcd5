package partition

import "time"

// recovery follows this node from its claim to the opening of its epoch.
type recovery struct{}

// startRecovering begins what is left to do after the claim won.
func (r *Replica) startRecovering() {
	r.claim.backoff.Reset()
	r.state = StateRecovering
	r.advanceRecovering()
}

// advanceRecovering opens the epoch.
func (r *Replica) advanceRecovering() {
	r.state = StateOwning
	r.ready.Acquired = true
}

func (r *Replica) recoveringTimers() []time.Time {
	return nil
}
