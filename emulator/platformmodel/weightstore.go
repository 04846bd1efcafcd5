package platformmodel

import "time"

// WeightStore is the rate-limited store of model weights: transfers follow
// each other, each taking the model's size over the rate.
type WeightStore struct {
	transfer time.Duration
	free     time.Time
}

// NewWeightStore returns a store that needs transfer for the weights of one
// model.
func NewWeightStore(transfer time.Duration) *WeightStore {
	return &WeightStore{transfer: transfer}
}

// Reserve books the next transfer and returns how long it is until the
// weights have arrived.
func (w *WeightStore) Reserve(now time.Time, model string) time.Duration {
	start := now
	if w.free.After(now) {
		start = w.free
	}
	w.free = start.Add(w.transfer)
	return w.free.Sub(now)
}
