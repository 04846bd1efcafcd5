//go:build review

package standin

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the record.txt of a case: what was sent, answered and run, and what was done to
// the processes. Its times are in seconds since its start.
type record struct {
	start time.Time

	mutex sync.Mutex
	file  *os.File
}

func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	return &record{start: time.Now(), file: file}, err
}

// note writes one line.
func (r *record) note(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, values...))
}

func (r *record) close() { _ = r.file.Close() }
