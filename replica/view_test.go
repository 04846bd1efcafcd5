package replica_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/replica"
)

// follow applies the changes of a view to a follower's copy.
func follow(held map[replica.ID]replica.Entry, changes []replica.Change, whole bool) {
	if whole {
		clear(held)
	}
	for _, change := range changes {
		if change.Entry == nil {
			delete(held, change.Gone)
			continue
		}
		held[change.Entry.ID] = *change.Entry
	}
}

// TestViewSizeDoesNotGrow checks that a node holds as many of 20,000 replicas as of 10,000,
// enough of each zone, and all replicas of a small service.
func TestViewSizeDoesNotGrow(t *testing.T) {
	g := NewWithT(t)
	sizes := make(map[int]int)
	for _, count := range []int{10_000, 20_000} {
		set := scaleSet(count)
		for index := range 200 {
			entry := scaleEntry(count + index)
			entry.Service = "small"
			set.Put(time.Unix(1000, 0), entry)
		}
		byZone := make(map[string]int)
		for id := range set.Subset(replica.Group{Zone: "a"}) {
			entry, _ := set.Lookup(id)
			byZone[entry.Service+"/"+entry.Zone]++
			sizes[count]++
		}
		g.Expect(byZone["model/a"]).To(Equal(256))
		g.Expect(byZone["model/b"]).To(Equal(32))
		g.Expect(byZone["small/b"]).To(Equal(40))
	}
	g.Expect(sizes[20_000]).To(Equal(sizes[10_000]))
}

// TestViewFollowsList checks that a follower's copy matches the subset while replicas are
// added, drain, restart and are removed.
func TestViewFollowsList(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	set := scaleSet(2_000)
	group := replica.Group{Zone: "b", Number: 1}
	view := replica.NewView(set, group, 7)
	held := make(map[replica.ID]replica.Entry)
	changes, next, whole := view.Since(now, set, 0, false)
	g.Expect(whole).To(BeTrue())
	follow(held, changes, whole)
	for step := range 400 {
		entry := scaleEntry(step * 37 % 2_000)
		switch step % 4 {
		case 0:
			entry.Status = replica.StatusDraining
		case 1:
			entry = scaleEntry(2_000 + step)
		case 2:
			entry.Incarnation = uint64(step)
		}
		if step%4 == 3 {
			if _, known := set.Remove(entry.ID); known {
				view.Apply(replica.Change{Gone: entry.ID})
			}
		} else if set.Put(now, entry) {
			view.Apply(replica.Change{Entry: &entry})
		}
		if step%7 != 0 {
			continue
		}
		view.Refresh(now, set)
		changes, next, whole = view.Since(now, set, next, true)
		g.Expect(whole).To(BeFalse())
		follow(held, changes, whole)
		for id := range set.Subset(group) {
			g.Expect(held).To(HaveKey(id), fmt.Sprint(step))
		}
		for id, entry := range held {
			listed, known := set.Lookup(id)
			g.Expect(known).To(BeTrue(), fmt.Sprint(step))
			g.Expect(entry.Status).To(Equal(listed.Status))
			g.Expect(entry.Incarnation).To(Equal(listed.Incarnation))
		}
	}
}

// TestNumberOfPreviousView checks that a follower that returns with a number of an earlier view
// gets the whole subset.
func TestNumberOfPreviousView(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	set := scaleSet(100)
	view := replica.NewView(set, replica.Group{Zone: "a"}, 1_000)
	gone := scaleEntry(0).ID
	set.Remove(gone)
	view.Apply(replica.Change{Gone: gone})
	for _, number := range []uint64{0, 999, 1_002} {
		_, _, whole := view.Since(now, set, number, true)
		g.Expect(whole).To(BeTrue(), fmt.Sprint(number))
	}
	changes, next, whole := view.Since(now, set, 1_000, true)
	g.Expect(whole).To(BeFalse())
	g.Expect(changes).To(HaveLen(1))
	g.Expect(next).To(Equal(uint64(1_001)))
}
