// Package stream holds the answers that are being generated, so that callers
// can attach at any byte offset while tokens arrive. Traffic goroutines write
// and read it; the control state machine does not.
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
	changed chan struct{}
}

// NewBuffer returns an empty buffer.
func NewBuffer() *Buffer {
	return &Buffer{changed: make(chan struct{})}
}

// Restart drops the text and begins the next attempt. Text of older attempts
// is refused from then on.
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

// Append adds the text that stands at the byte offset of the attempt's
// answer. Text that is already there is skipped, and text of another attempt,
// or after a gap, is dropped; Append reports whether it was taken.
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

// Close marks the answer as complete: readers get the rest and then stop.
func (b *Buffer) Close() { b.finish(nil) }

// Finish is Close with the call as it was recorded: its record must be durable.
// Readers that attached while it ran thus need not read it back.
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

// Part is what a reader gets: text of an attempt from Offset on.
type Part struct {
	Attempt int
	Offset  int
	Text    string
	Closed  bool
	// Final is the recorded call, which is not to be changed, once the buffer
	// is closed; nil if it must be asked for.
	Final *api.Call
}

// Next waits until there is text after the offset of the attempt, or a newer
// attempt, or the end. A reader whose attempt is older gets the newer one
// from its beginning. A reader whose attempt is newer than the buffer's (it
// was served by another node before) waits until the buffer catches up. Next
// returns the context's error when ctx ends first.
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

// Attempt returns the attempt that the text belongs to; zero before the first.
func (b *Buffer) Attempt() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.attempt
}

// poll returns what Next would return now, or the channel to wait on.
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

// wake tells every waiting reader to look again. The mutex is held.
func (b *Buffer) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}
