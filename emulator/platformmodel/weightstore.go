package platformmodel

import "time"

// WeightStore is the rate-limited store of model weights. It performs one transfer
// at a time, and all transfers take equally long.
type WeightStore struct {
	transfer time.Duration
	// free is when the last reserved transfer ends.
	free time.Time
}

// NewWeightStore returns a store that takes the duration transfer to deliver the
// weights of one model.
func NewWeightStore(transfer time.Duration) *WeightStore {
	return &WeightStore{transfer: transfer}
}

// Reserve reserves the next transfer and returns the time until the weights are
// delivered.
func (w *WeightStore) Reserve(now time.Time, model string) time.Duration {
	start := now
	if w.free.After(now) {
		start = w.free
	}
	w.free = start.Add(w.transfer)
	return w.free.Sub(now)
}
