package node

import (
	"container/list"
	"context"
	"strings"
	"sync"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/partition"
	"birchwood.example/birchwood/program"
)

// transcript is a program's history as text, up to a call.
type transcript struct {
	program api.ProgramID
	text    string
	last    uint64
	calls   int
}

// transcripts caches the histories of the programs that ran lately, so that
// the next turn's prompt need not be read back from the log. Its size in
// bytes is bounded; the least recently used go first.
type transcripts struct {
	mutex   sync.Mutex
	limit   int
	size    int
	order   *list.List // of *transcript, most recently used first
	entries map[api.ProgramID]*list.Element
	read    historyReader
}

// historyReader reads calls back from a partition's stream.
type historyReader func(ctx context.Context, id partition.ID, program api.ProgramID, locations []program.CallLocation) ([]api.Call, error)

func newTranscripts(limit int, read historyReader) *transcripts {
	return &transcripts{limit: limit, order: list.New(), entries: make(map[api.ProgramID]*list.Element), read: read}
}

// prompt returns the text of the located calls, inputs and outputs in order.
func (t *transcripts) prompt(ctx context.Context, id partition.ID, owner api.ProgramID, locations []program.CallLocation) (string, error) {
	if len(locations) == 0 {
		return "", nil
	}
	last := locations[len(locations)-1].Sequence
	known, missing := t.lookUp(owner, locations)
	if len(missing) == 0 {
		return known, nil
	}
	calls, err := t.read(ctx, id, owner, missing)
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

// lookUp returns the cached text that begins the history, and the locations
// that it does not cover.
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
	t.drop(entry.program)
	t.entries[entry.program] = t.order.PushFront(entry)
	t.size += len(entry.text)
	for t.size > t.limit && t.order.Len() > 0 {
		t.drop(t.order.Back().Value.(*transcript).program)
	}
}

// forget drops a program that is gone.
func (t *transcripts) forget(owner api.ProgramID) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.drop(owner)
}

// drop removes an entry. The mutex is held.
func (t *transcripts) drop(owner api.ProgramID) {
	element, ok := t.entries[owner]
	if !ok {
		return
	}
	t.size -= len(element.Value.(*transcript).text)
	t.order.Remove(element)
	delete(t.entries, owner)
}
