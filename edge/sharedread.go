package edge

import (
	"context"
	"sync"
)

// sharedRead is a read whose result callers share that ask at about the same time. Each caller gets
// the result of a read that began after it asked, so that the result is newer than whatever the
// caller knows. At most one read is under way. It is safe for concurrent use.
type sharedRead[T any] struct {
	read  func() (T, error)
	mutex sync.Mutex
	// running is the read under way, and next the one that begins after it; nil if there is none.
	running, next *readCall[T]
}

// readCall is one read. value and err are set once done is closed.
type readCall[T any] struct {
	done  chan struct{}
	value T
	err   error
}

func newSharedRead[T any](read func() (T, error)) *sharedRead[T] { return &sharedRead[T]{read: read} }

// get returns the result of a read that begins after the call, or the error of the context.
func (s *sharedRead[T]) get(ctx context.Context) (T, error) {
	call := s.join()
	select {
	case <-call.done:
		return call.value, call.err
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// join returns the next read that begins.
func (s *sharedRead[T]) join() *readCall[T] {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.running == nil {
		s.running = &readCall[T]{done: make(chan struct{})}
		go s.run(s.running)
		return s.running
	}
	if s.next == nil {
		s.next = &readCall[T]{done: make(chan struct{})}
	}
	return s.next
}

// run performs a read, and those that callers asked for meanwhile.
func (s *sharedRead[T]) run(call *readCall[T]) {
	for call != nil {
		call.value, call.err = s.read()
		close(call.done)
		call = s.advance()
	}
}

// advance makes the next read the one under way, and returns it.
func (s *sharedRead[T]) advance() *readCall[T] {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.running, s.next = s.next, nil
	return s.running
}
