package replica

import "time"

// View is the subset of a replica list that a group of nodes follows: a feed of the changes of
// that subset. It is not safe for concurrent use.
type View struct {
	group Group
	held  map[ID]bool
	feed  Feed
	// stale reports that replicas were added or removed since the subset was computed.
	stale bool
}

// NewView returns the view of a set for a group. Its changes are numbered from first on. The
// numbers must not overlap with those of an earlier view, since a follower may return with one
// of them.
func NewView(set *Set, group Group, first uint64) *View {
	return &View{group: group, held: set.Subset(group), feed: Feed{next: first}}
}

// Apply applies a change of the list.
func (v *View) Apply(change Change) {
	switch {
	case change.Entry == nil:
		if v.held[change.Gone] {
			delete(v.held, change.Gone)
			v.feed.Add(change)
			v.stale = true
		}
	case v.held[change.Entry.ID]:
		v.feed.Add(change)
		// A draining replica is replaced by another one.
		v.stale = v.stale || change.Entry.Status != StatusReady
	default:
		v.stale = true
	}
}

// Refresh recomputes the subset if replicas were added or removed. Replicas that are no longer
// in the subset are removed from the view, except draining ones, where nodes still finish their
// requests.
func (v *View) Refresh(now time.Time, set *Set) {
	if !v.stale {
		return
	}
	v.stale = false
	chosen := set.Subset(v.group)
	for id := range v.held {
		entry, known := set.Lookup(id)
		switch {
		case chosen[id]:
		case known && entry.Status != StatusReady:
			chosen[id] = true
		default:
			v.feed.Add(Change{Gone: id})
		}
	}
	for id := range chosen {
		if entry, known := set.EntryAt(now, id); known && !v.held[id] {
			v.feed.Add(Change{Entry: &entry})
		}
	}
	v.held = chosen
}

// Next returns the number of the next change.
func (v *View) Next() uint64 { return v.feed.Next() }

// Since returns the changes from the given number on, and the number to continue from. If known
// is false or the changes are no longer retained, it returns the whole subset and whole is
// true.
func (v *View) Since(now time.Time, set *Set, number uint64, known bool) (changes []Change, next uint64, whole bool) {
	if known {
		if retained, found := v.feed.Since(number); found {
			return retained, v.feed.Next(), false
		}
	}
	for id := range v.held {
		if entry, listed := set.EntryAt(now, id); listed {
			changes = append(changes, Change{Entry: &entry})
		}
	}
	return changes, v.feed.Next(), true
}
