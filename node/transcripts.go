package node

import (
	"container/list"
	"context"
	"strings"
	"sync"

	"github.com/cenkalti/backoff/v5"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/partition"
	"birchwood.example/birchwood/program"
)

// transcript is the text of a program's history up to a call.
type transcript struct {
	program api.ProgramID
	text    string
	// last is the sequence number of the last call in text, and calls is the
	// number of calls in it.
	last  uint64
	calls int
}

// transcripts caches the histories of recently active programs, so that the
// prompt of a program's next turn need not be read from the log. The size in
// bytes is bounded; the least recently used entries are evicted first.
type transcripts struct {
	mutex sync.Mutex
	// limit and size are in bytes of text.
	limit   int
	size    int
	order   *list.List // of *transcript, most recently used first
	entries map[api.ProgramID]*list.Element
	// running holds each program's last sent call with the history up to and
	// including its input, which finish extends without reading the log.
	running map[api.ProgramID]runningCall
	read    historyReader
}

// runningCall is a call that was sent and has not finished.
type runningCall struct {
	sequence uint64
	text     string
	calls    int
}

// historyReader reads calls from a partition's stream.
type historyReader func(ctx context.Context, id partition.ID, program api.ProgramID, locations []program.CallLocation) ([]api.Call, error)

func newTranscripts(limit int, read historyReader) *transcripts {
	return &transcripts{limit: limit, order: list.New(), entries: make(map[api.ProgramID]*list.Element), running: make(map[api.ProgramID]runningCall), read: read}
}

// prompt returns the inputs and outputs of the calls at the given locations, in
// order, followed by the input of the call that is about to be sent. If the log
// cannot be read, it retries until the context ends.
func (t *transcripts) prompt(ctx context.Context, id partition.ID, call program.CallRef, input string, locations []program.CallLocation) (string, error) {
	history, err := t.history(ctx, id, call.Program, locations)
	if err != nil {
		return "", err
	}
	text := history + input
	t.begin(call, text, len(locations))
	return text, nil
}

// history returns the text of the calls at the given locations.
func (t *transcripts) history(ctx context.Context, id partition.ID, owner api.ProgramID, locations []program.CallLocation) (string, error) {
	if len(locations) == 0 {
		return "", nil
	}
	last := locations[len(locations)-1].Sequence
	known, missing := t.lookUp(owner, locations)
	if len(missing) == 0 {
		return known, nil
	}
	calls, err := backoff.Retry(ctx, func() ([]api.Call, error) {
		return t.read(ctx, id, owner, missing)
	}, backoff.WithBackOff(backoff.NewExponentialBackOff()), backoff.WithMaxElapsedTime(0))
	if err != nil {
		return "", err
	}
	var text strings.Builder
	text.WriteString(known)
	for _, call := range calls {
		text.WriteString(call.Input)
		text.WriteString(call.Output)
	}
	t.store(&transcript{program: owner, text: text.String(), last: last, calls: len(locations)})
	return text.String(), nil
}

// begin records the history, including its input, of a call that is about to be
// sent.
func (t *transcripts) begin(call program.CallRef, text string, calls int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.running[call.Program] = runningCall{sequence: call.Sequence, text: text, calls: calls}
}

// beginIfCached is begin for a call that needs no prompt. It records the call only
// if the preceding history is cached.
func (t *transcripts) beginIfCached(call program.CallRef, input string, locations []program.CallLocation) {
	known := ""
	if len(locations) > 0 {
		cached, missing := t.lookUp(call.Program, locations)
		if len(missing) > 0 {
			return
		}
		known = cached
	}
	t.begin(call, known+input, len(locations))
}

// finish extends a program's transcript by a call whose success has been
// recorded, so that the next prompt needs no read of the log.
func (t *transcripts) finish(call api.Call) {
	t.mutex.Lock()
	running, ok := t.running[call.Program]
	delete(t.running, call.Program)
	t.mutex.Unlock()
	if !ok || running.sequence != call.Sequence || call.Status != api.StatusSucceeded {
		return
	}
	t.store(&transcript{program: call.Program, text: running.text + call.Output, last: call.Sequence, calls: running.calls + 1})
}

// lookUp returns the cached prefix of the history and the locations that it does
// not cover.
func (t *transcripts) lookUp(owner api.ProgramID, locations []program.CallLocation) (string, []program.CallLocation) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	element, ok := t.entries[owner]
	if !ok {
		return "", locations
	}
	cached := element.Value.(*transcript)
	if cached.calls > len(locations) || locations[cached.calls-1].Sequence != cached.last {
		return "", locations
	}
	t.order.MoveToFront(element)
	return cached.text, locations[cached.calls:]
}

func (t *transcripts) store(entry *transcript) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.removeLocked(entry.program)
	t.entries[entry.program] = t.order.PushFront(entry)
	t.size += len(entry.text)
	for t.size > t.limit && t.order.Len() > 0 {
		t.removeLocked(t.order.Back().Value.(*transcript).program)
	}
}

// evict removes a program that has ended.
func (t *transcripts) evict(owner api.ProgramID) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.removeLocked(owner)
	delete(t.running, owner)
}

// evictPartition removes the programs of a partition that the node no longer
// owns, because the new owner may record a different history.
func (t *transcripts) evictPartition(id partition.ID) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for owner := range t.entries {
		if programPartition, err := partition.OfProgram(owner); err == nil && programPartition == id {
			t.removeLocked(owner)
		}
	}
	for owner := range t.running {
		if programPartition, err := partition.OfProgram(owner); err == nil && programPartition == id {
			delete(t.running, owner)
		}
	}
}

// removeLocked removes an entry. The caller holds the mutex.
func (t *transcripts) removeLocked(owner api.ProgramID) {
	element, ok := t.entries[owner]
	if !ok {
		return
	}
	t.size -= len(element.Value.(*transcript).text)
	t.order.Remove(element)
	delete(t.entries, owner)
}
