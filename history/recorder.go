package history

import (
	"bufio"
	"encoding/json"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// recorderBuffer is the size of a Recorder's write buffer, in bytes.
const recorderBuffer = 1 << 16

// Recorder writes events as JSON lines. It is safe for concurrent use. A nil
// Recorder discards all events, so callers need no nil check.
type Recorder struct {
	mutex   sync.Mutex
	buffer  *bufio.Writer
	encoder *json.Encoder
	err     error
}

// NewRecorder returns a Recorder that writes to the writer. The caller must
// call Flush after the last event.
func NewRecorder(writer io.Writer) *Recorder {
	buffer := bufio.NewWriterSize(writer, recorderBuffer)
	return &Recorder{buffer: buffer, encoder: json.NewEncoder(buffer)}
}

// Record writes one event. After the first error it drops all events; Flush
// returns that error.
func (r *Recorder) Record(event Event) {
	if r == nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.err == nil {
		r.err = r.encoder.Encode(event)
	}
}

// Flush writes the buffered events and returns the first error so far.
func (r *Recorder) Flush() error {
	if r == nil {
		return nil
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.err == nil {
		r.err = r.buffer.Flush()
	}
	return r.err
}

// HashText returns the hash of the concatenated parts, as used in
// AttemptStarted.PromptHash. It is never zero.
func HashText(parts ...string) uint64 {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
	}
	return max(1, digest.Sum64())
}
