package node

import (
	"sync"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/partition"
	"birchwood.example/birchwood/program"
	"birchwood.example/birchwood/stream"
)

// streamTable holds the buffers of the answers that are being generated on this
// node.
type streamTable struct {
	mutex   sync.Mutex
	buffers map[program.CallRef]*stream.Buffer
}

func newStreamTable() *streamTable {
	return &streamTable{buffers: make(map[program.CallRef]*stream.Buffer)}
}

// ensure returns the call's buffer, creating it if there is none.
func (t *streamTable) ensure(call program.CallRef) *stream.Buffer {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	buffer, ok := t.buffers[call]
	if !ok {
		buffer = stream.NewBuffer()
		t.buffers[call] = buffer
	}
	return buffer
}

func (t *streamTable) get(call program.CallRef) (*stream.Buffer, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	buffer, ok := t.buffers[call]
	return buffer, ok
}

// finish closes and removes the buffer of a call whose end is durable. Readers
// that hold the buffer get its remaining text and the call; later ones are
// served from the call's record.
func (t *streamTable) finish(call api.Call) {
	ref := program.CallRef{Program: call.Program, Sequence: call.Sequence}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if buffer, ok := t.buffers[ref]; ok {
		buffer.Finish(call)
		delete(t.buffers, ref)
	}
}

// closePartition closes the buffers of a partition that the node no longer owns,
// so that their readers continue at the new owner.
func (t *streamTable) closePartition(id partition.ID) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for call, buffer := range t.buffers {
		if programPartition, err := partition.OfProgram(call.Program); err == nil && programPartition == id {
			buffer.Close()
			delete(t.buffers, call)
		}
	}
}
