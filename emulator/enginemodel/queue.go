package enginemodel

import (
	"container/heap"
	"time"
)

// sequence is one stream in the engine.
type sequence struct {
	Generate
	arrival uint64 // order of arrival
	index   int    // place in the waiting queue, -1 outside

	// cached is the prompt that needed no prefill.
	cached int
	// prefillLeft is the prompt that is not computed yet.
	prefillLeft int
	// chunk is the prefill of the iteration that runs.
	chunk        int
	produced     int
	target       int
	reserved     int
	firstTokenAt time.Time
}

// computed is how many tokens of the sequence have their KV in memory.
func (s *sequence) computed() int {
	return s.PromptTokens - s.prefillLeft + s.produced
}

// waiting is a heap of sequences by priority, then arrival.
type waiting []*sequence

func (w waiting) Len() int { return len(w) }

func (w waiting) Less(i, j int) bool { return before(w[i], w[j]) }

func (w waiting) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push implements heap.Interface.
func (w *waiting) Push(item any) {
	added := item.(*sequence)
	added.index = len(*w)
	*w = append(*w, added)
}

// Pop implements heap.Interface.
func (w *waiting) Pop() any {
	old := *w
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*w = old[:len(old)-1]
	last.index = -1
	return last
}

// before orders sequences: lower priority value first, then by arrival.
func before(a, b *sequence) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.arrival < b.arrival
}

// remove takes a sequence out of the queue.
func (w *waiting) remove(removed *sequence) {
	heap.Remove(w, removed.index)
}
