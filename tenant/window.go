package tenant

import "time"

// windowSlots is the number of slots that a window is divided into. Events of the oldest
// slot count until the whole slot has left the window.
const windowSlots = 100

// window counts events in a sliding time window.
type window struct {
	slot   time.Duration
	counts [windowSlots + 1]float64
	// startedAt is when slot 0 began, and newest the number of the newest slot.
	startedAt time.Time
	newest    int64
	total     float64
}

func newWindow(now time.Time, span time.Duration) *window {
	return &window{slot: span / windowSlots, startedAt: now}
}

// slotOf returns the number of the slot that a time lies in.
func (w *window) slotOf(at time.Time) int64 { return int64(at.Sub(w.startedAt) / w.slot) }

// advance drops the slots that lie before the window ending now.
func (w *window) advance(now time.Time) {
	to := w.slotOf(now)
	if to-w.newest > windowSlots {
		w.counts, w.total, w.newest = [windowSlots + 1]float64{}, 0, to
		return
	}
	for w.newest < to {
		w.newest++
		index := w.newest % int64(len(w.counts))
		w.total -= w.counts[index]
		w.counts[index] = 0
	}
}

// add counts an event in the newest slot; advance must have been called for the present
// time.
func (w *window) add() {
	w.counts[w.newest%int64(len(w.counts))]++
	w.total++
}

// remove takes back an event that was counted at the given time, if it is still in the
// window.
func (w *window) remove(at time.Time) {
	slot := w.slotOf(at)
	if slot < 0 || w.newest-slot >= int64(len(w.counts)) {
		return
	}
	w.counts[slot%int64(len(w.counts))]--
	w.total--
}
