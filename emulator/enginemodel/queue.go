package enginemodel

import (
	"container/heap"
	"time"
)

// sequence is the state of one unfinished stream.
type sequence struct {
	Generate
	arrival uint64 // order of arrival
	index   int    // index in the waiting queue, -1 if not queued

	// cached is the number of prompt tokens that needed no prefill.
	cached int
	// prefillLeft is the number of prompt tokens that are not computed yet.
	prefillLeft int
	// chunk is the number of prompt tokens that the current iteration prefills.
	chunk int
	// produced is the number of output tokens so far, and target that of the
	// complete output.
	produced int
	target   int
	// reserved is the KV memory in tokens, zero unless the sequence is running.
	reserved     int
	firstTokenAt time.Time
}

// computed returns how many tokens of the sequence are in the KV cache.
func (s *sequence) computed() int {
	return s.PromptTokens - s.prefillLeft + s.produced
}

// waiting is a heap of sequences, ordered by priority, then by arrival.
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

// before reports whether a is ahead of b: a lower priority value first, then the
// earlier arrival.
func before(a, b *sequence) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return a.arrival < b.arrival
}

// remove removes a sequence from the queue.
func (w *waiting) remove(removed *sequence) {
	heap.Remove(w, removed.index)
}
