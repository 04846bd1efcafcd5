package history

import (
	"bufio"
	"encoding/json"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// recorderBuffer is how many bytes a Recorder collects before it writes.
const recorderBuffer = 1 << 16

// Recorder writes events as JSON lines. It is safe for concurrent use, and a
// nil Recorder records nothing, so that callers need no condition.
type Recorder struct {
	mutex   sync.Mutex
	buffer  *bufio.Writer
	encoder *json.Encoder
	err     error
}

// NewRecorder returns a Recorder that writes to the writer. Flush it at the
// end.
func NewRecorder(writer io.Writer) *Recorder {
	buffer := bufio.NewWriterSize(writer, recorderBuffer)
	return &Recorder{buffer: buffer, encoder: json.NewEncoder(buffer)}
}

// Record writes one event. The first error is kept for Flush; events after it
// are dropped.
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

// Flush writes what is buffered and returns the first error so far.
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

// HashText is the hash of the parts joined together, for Started.PromptHash.
// It is never zero.
func HashText(parts ...string) uint64 {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.WriteString(part)
	}
	return max(1, digest.Sum64())
}
