package dispatch

import "time"

// ForgetOldest drops the entry of a bounded map that was used the longest ago.
func ForgetOldest[V any](known map[string]V, usedAt func(V) time.Time) {
	oldest, found := "", false
	for name, entry := range known {
		if !found || usedAt(entry).Before(usedAt(known[oldest])) {
			oldest, found = name, true
		}
	}
	delete(known, oldest)
}
