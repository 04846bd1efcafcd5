package replica

import "time"

// View is a part of a list of replicas as a group of nodes follows it: a feed of the
// changes of that part alone. It is not safe for concurrent use.
type View struct {
	group Group
	held  map[ID]bool
	feed  Feed
	// stale says that replicas came or went since the part was chosen.
	stale bool
}

// NewView returns the view of a group of a set. Its changes are numbered from first on: a
// follower may come back with a number of a former view, which must not be one of this.
func NewView(set *Set, group Group, first uint64) *View {
	return &View{group: group, held: set.Subset(group), feed: Feed{next: first}}
}

// Note takes in a change of the list.
func (v *View) Note(change Change) {
	switch {
	case change.Entry == nil:
		if v.held[change.Gone] {
			delete(v.held, change.Gone)
			v.feed.Add(change)
			v.stale = true
		}
	case v.held[change.Entry.ID]:
		v.feed.Add(change)
		// One that drains is replaced.
		v.stale = v.stale || change.Entry.Status != StatusReady
	default:
		v.stale = true
	}
}

// Refresh chooses the part anew where replicas came or went. Replicas that were in it
// and are no longer leave it, but for those that drain: nodes finish what they have
// under way there.
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

// Next returns the number of the view's next change.
func (v *View) Next() uint64 { return v.feed.Next() }

// Since returns the changes of the part from a number on, or all of it (whole) where
// they are not known, and the number to ask for next.
func (v *View) Since(now time.Time, set *Set, number uint64, known bool) (changes []Change, next uint64, whole bool) {
	if known {
		if kept, found := v.feed.Since(number); found {
			return kept, v.feed.Next(), false
		}
	}
	for id := range v.held {
		if entry, listed := set.EntryAt(now, id); listed {
			changes = append(changes, Change{Entry: &entry})
		}
	}
	return changes, v.feed.Next(), true
}
