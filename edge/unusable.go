package edge

import (
	"sync"

	"birchwood.example/birchwood/replica"
)

// maximumUnusable bounds the invalid entries that are recorded. Log lines about further
// ones repeat with each heartbeat, within the log's own rate limit.
const maximumUnusable = 4096

// unusableEntries are the invalid entries of the replica list that have been logged. The
// zero value is empty. It is safe for concurrent use.
type unusableEntries struct {
	mutex sync.Mutex
	ids   map[replica.ID]bool
}

// note adds an entry, and reports whether it is new.
func (u *unusableEntries) note(id replica.ID) (added bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.ids[id] {
		return false
	}
	if u.ids == nil {
		u.ids = make(map[replica.ID]bool)
	}
	if len(u.ids) < maximumUnusable {
		u.ids[id] = true
	}
	return true
}

// forget removes an entry that has become valid or is gone.
func (u *unusableEntries) forget(id replica.ID) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	delete(u.ids, id)
}
