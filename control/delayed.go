package control

import (
	"slices"
	"time"

	"birchwood.example/birchwood/partition"
	"birchwood.example/birchwood/program"
)

// delayedEffect is a call to schedule or a key lookup that waits for its
// backoff.
type delayedEffect struct {
	due    time.Time
	id     partition.ID
	effect program.Effect
}

// delayedEffects is a queue ordered by due time, and by insertion for equal
// times.
type delayedEffects struct {
	entries []delayedEffect
}

func (d *delayedEffects) push(due time.Time, id partition.ID, effect program.Effect) {
	at, _ := slices.BinarySearchFunc(d.entries, due, func(entry delayedEffect, due time.Time) int {
		if entry.due.After(due) {
			return 1
		}
		return -1
	})
	d.entries = slices.Insert(d.entries, at, delayedEffect{due: due, id: id, effect: effect})
}

// remove removes the effects of the call.
func (d *delayedEffects) remove(call program.CallRef) {
	d.entries = slices.DeleteFunc(d.entries, func(entry delayedEffect) bool {
		return entry.effect.Attempt.CallRef == call
	})
}

// removePartition removes the effects of all calls of the partition.
func (d *delayedEffects) removePartition(id partition.ID) {
	d.entries = slices.DeleteFunc(d.entries, func(entry delayedEffect) bool { return entry.id == id })
}

func (d *delayedEffects) nextDue() time.Time {
	if len(d.entries) == 0 {
		return time.Time{}
	}
	return d.entries[0].due
}

// releaseDelayed performs the effects that are due.
func (c *Core) releaseDelayed(now time.Time) {
	for len(c.delayed.entries) > 0 && !c.delayed.entries[0].due.After(now) {
		entry := c.delayed.entries[0]
		c.delayed.entries = c.delayed.entries[1:]
		if owned, ok := c.partitions[entry.id]; ok && owned.serving() {
			c.perform(now, owned, entry.effect)
		}
	}
}
