package tenant

import "time"

// windowSlots is into how many slots a window is cut. What came in the oldest slot
// counts until all of it lies before the window.
const windowSlots = 100

// window counts what came within a span of time.
type window struct {
	slot   time.Duration
	counts [windowSlots + 1]float64
	// newest is the number of the newest slot since startedAt.
	startedAt time.Time
	newest    int64
	total     float64
}

func newWindow(now time.Time, span time.Duration) *window {
	return &window{slot: span / windowSlots, startedAt: now}
}

// slotOf returns the number of the slot that a time lies in.
func (w *window) slotOf(at time.Time) int64 { return int64(at.Sub(w.startedAt) / w.slot) }

// advance drops what lies before the window that ends now.
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

// add counts one that comes now; the window was advanced.
func (w *window) add() {
	w.counts[w.newest%int64(len(w.counts))]++
	w.total++
}

// remove takes one back that came at a time, if it still counts.
func (w *window) remove(at time.Time) {
	slot := w.slotOf(at)
	if slot < 0 || w.newest-slot >= int64(len(w.counts)) {
		return
	}
	w.counts[slot%int64(len(w.counts))]--
	w.total--
}
