package edge

import (
	"sync"

	"birchwood.example/birchwood/replica"
)

// maximumUnusable bounds the entries that are remembered as unusable. The lines about
// more than that repeat with their heartbeats, which the log's own bound holds.
const maximumUnusable = 4096

// unusableEntries are the entries of the list that name no replica to use, and of which a
// line was written. The zero value holds none. It is safe for concurrent use.
type unusableEntries struct {
	mutex sync.Mutex
	ids   map[replica.ID]bool
}

// note adds an entry. It reports whether it is news.
func (u *unusableEntries) note(id replica.ID) (news bool) {
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

// forget drops an entry that is usable now, or gone.
func (u *unusableEntries) forget(id replica.ID) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	delete(u.ids, id)
}
