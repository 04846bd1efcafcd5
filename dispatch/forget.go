package dispatch

import "time"

// ForgetOldest removes the least recently used entry of a bounded map.
func ForgetOldest[V any](known map[string]V, usedAt func(V) time.Time) {
	oldest, found := "", false
	for name, entry := range known {
		if !found || usedAt(entry).Before(usedAt(known[oldest])) {
			oldest, found = name, true
		}
	}
	delete(known, oldest)
}
