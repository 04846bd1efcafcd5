// Package stream buffers answers while they are being generated, so that callers
// can attach at any byte offset while tokens arrive. The goroutines that serve
// requests and back ends use the buffers; the control state machine does not.
package stream

import (
	"context"
	"sync"

	"birchwood.example/birchwood/api"
)

// Buffer is the text of one attempt's answer so far. Any number of readers
// may attach while one writer appends. A Buffer is safe for concurrent use.
type Buffer struct {
	mutex   sync.Mutex
	text    []byte
	attempt int
	closed  bool
	final   *api.Call
	// changed is closed, and replaced, at each change.
	changed chan struct{}
}

// NewBuffer returns an empty buffer.
func NewBuffer() *Buffer {
	return &Buffer{changed: make(chan struct{})}
}

// Restart discards the text and begins the given attempt, unless it is not newer
// than the present one. From then on, Append rejects text of older attempts.
func (b *Buffer) Restart(attempt int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if attempt <= b.attempt {
		return
	}
	b.attempt = attempt
	b.text = nil
	b.wake()
}

// Append adds the text at the byte offset of the attempt's answer. It skips what
// the buffer already has, and rejects text of another attempt, text after a gap
// and text after Close. It reports whether the text was accepted.
func (b *Buffer) Append(attempt, offset int, text string) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.closed || attempt != b.attempt || offset > len(b.text) {
		return false
	}
	known := len(b.text) - offset
	if known >= len(text) {
		return true
	}
	b.text = append(b.text, text[known:]...)
	b.wake()
	return true
}

// Close marks the answer as complete: readers get the remaining text and the
// end.
func (b *Buffer) Close() { b.finish(nil) }

// Finish is like Close, and passes the terminal call to readers, so that they
// need not read it back from the log. The call's record must be durable.
func (b *Buffer) Finish(call api.Call) { b.finish(&call) }

func (b *Buffer) finish(final *api.Call) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.closed {
		return
	}
	b.closed = true
	b.final = final
	b.wake()
}

// Part is a piece of an attempt's answer, from the byte offset Offset on.
type Part struct {
	Attempt int
	Offset  int
	Text    string
	// Closed is set if the buffer is closed, so that Text ends the answer.
	Closed bool
	// Final is the terminal call once the buffer was closed by Finish, and nil
	// otherwise. It must not be modified.
	Final *api.Call
}

// Next waits for text after the offset of the attempt, for a newer attempt, or
// for the end. A reader of an older attempt gets the newer one from its
// beginning. A reader whose attempt is newer than the buffer's, because another
// node served it before, waits until the buffer reaches that attempt. Next
// returns the context's error if ctx ends first.
func (b *Buffer) Next(ctx context.Context, attempt, offset int) (Part, error) {
	for {
		part, changed, ready := b.poll(attempt, offset)
		if ready {
			return part, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Part{}, ctx.Err()
		}
	}
}

// Attempt returns the current attempt; zero before the first.
func (b *Buffer) Attempt() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.attempt
}

// poll returns the part for Next, or, if there is none yet, the channel that is
// closed at the next change.
func (b *Buffer) poll(attempt, offset int) (Part, <-chan struct{}, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if attempt < b.attempt {
		offset = 0
	}
	ahead := attempt > b.attempt
	if b.closed || attempt < b.attempt || (!ahead && offset < len(b.text)) {
		from := min(offset, len(b.text))
		return Part{Attempt: b.attempt, Offset: from, Text: string(b.text[from:]), Closed: b.closed, Final: b.final}, nil, true
	}
	return Part{}, b.changed, false
}

// wake wakes all waiting readers. The caller holds the mutex.
func (b *Buffer) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}
