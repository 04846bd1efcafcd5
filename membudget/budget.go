package membudget

import (
	"errors"
	"io"
	"sync"
)

// ErrExhausted means that a body would take more memory than is left for one.
var ErrExhausted = errors.New("bodies under way take up the memory")

// ErrTooLarge means that a body is larger than its own limit.
var ErrTooLarge = errors.New("the body is too large")

// Budget bounds the memory of bodies. It is safe for concurrent use.
type Budget struct {
	mutex sync.Mutex
	limit int64
	held  int64
}

// New returns a budget of some bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Held returns the number of bytes that are held.
func (b *Budget) Held() int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.held
}

// Holder returns a holder of the memory of one exchange.
func (b *Budget) Holder() *Holder { return &Holder{budget: b} }

// Holder holds the memory of one exchange's bodies. A nil Holder holds any number of bytes. It is
// safe for concurrent use.
type Holder struct {
	budget   *Budget
	held     int64
	released bool
}

// Add takes bytes from the budget, or returns ErrExhausted.
func (h *Holder) Add(bytes int) error {
	if h == nil {
		return nil
	}
	h.budget.mutex.Lock()
	defer h.budget.mutex.Unlock()
	free := h.budget.limit - h.budget.held
	if h.released || h.held+int64(bytes) > free {
		return ErrExhausted
	}
	h.held += int64(bytes)
	h.budget.held += int64(bytes)
	return nil
}

// Return gives bytes back that are no longer needed.
func (h *Holder) Return(bytes int) {
	if h == nil {
		return
	}
	h.budget.mutex.Lock()
	defer h.budget.mutex.Unlock()
	if !h.released {
		h.held -= int64(bytes)
		h.budget.held -= int64(bytes)
	}
}

// Release gives all bytes back. Nothing can be added afterwards.
func (h *Holder) Release() {
	if h == nil {
		return
	}
	h.budget.mutex.Lock()
	defer h.budget.mutex.Unlock()
	h.budget.held -= h.held
	h.held, h.released = 0, true
}

// firstBytes is the size of the first buffer of a body of unknown length.
const firstBytes = 512

// ReadAll reads a body to its end. It returns ErrTooLarge if the body has more than limit bytes,
// 0 for no limit, and ErrExhausted if the holder can't hold them. What was read is returned with
// every error.
func ReadAll(from io.Reader, limit int, holder *Holder) (body []byte, err error) {
	for {
		if len(body) == cap(body) {
			if body, err = grow(body, holder); err != nil {
				return body, err
			}
		}
		read, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+read]
		switch {
		case limit > 0 && len(body) > limit:
			return body, ErrTooLarge
		case err == io.EOF:
			return body, nil
		case err != nil:
			return body, err
		}
	}
}

// grow returns the bytes in a larger buffer.
func grow(body []byte, holder *Holder) ([]byte, error) {
	size := max(firstBytes, 2*cap(body))
	if err := holder.Add(size - cap(body)); err != nil {
		return body, err
	}
	return append(make([]byte, 0, size), body...), nil
}
