package evacuation_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/evacuation"
	"birchwood.example/birchwood/zone"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// newCurrentState returns a state that was current at start.
func newCurrentState() *evacuation.State {
	state := &evacuation.State{}
	state.Reset(start.Add(-time.Second), 4, nil)
	state.MarkCurrent(start)
	return state
}

// TestApplyInStreamOrder applies the records of two zones; the evacuation of one
// ends after that of the other began.
func TestApplyInStreamOrder(t *testing.T) {
	g := NewWithT(t)
	state := newCurrentState()
	g.Expect(state.Apply(start, 5, "a", true)).To(Equal([]evacuation.Change{{Zone: "a", Evacuated: true, Since: start}}))
	g.Expect(state.Apply(start, 5, "a", true)).To(BeEmpty(), "the same record again")
	later := start.Add(time.Second)
	g.Expect(state.Apply(later, 6, "a", true)).To(BeEmpty(), "asked for twice")
	g.Expect(state.Apply(later, 7, "b", true)).To(HaveLen(1))
	g.Expect(state.Apply(later, 8, "a", false)).To(Equal([]evacuation.Change{{Zone: "a", Since: start}}))
	g.Expect(state.Apply(later, 9, "c", false)).To(BeEmpty(), "never evacuated")
	g.Expect(state.Apply(later, 3, "b", false)).To(BeEmpty(), "an older record")
	g.Expect(state.Zones()).To(Equal(map[zone.Name]time.Time{"b": later}))
	g.Expect(state.Version()).To(Equal(uint64(9)))
}

// TestReset checks that a complete read ends evacuations that are no longer in the
// stream, and that an older read changes nothing.
func TestReset(t *testing.T) {
	g := NewWithT(t)
	state := newCurrentState()
	state.Apply(start, 5, "a", true)
	g.Expect(state.Reset(start, 4, nil)).To(BeEmpty(), "a read that was overtaken")
	g.Expect(state.Reset(start, 5, []zone.Name{"a"})).To(BeEmpty())
	changes := state.Reset(start.Add(time.Second), 6, []zone.Name{"c", "b"})
	g.Expect(changes).To(HaveLen(3))
	g.Expect(changes[0]).To(Equal(evacuation.Change{Zone: "a", Since: start}))
	g.Expect(state.Reset(start.Add(time.Minute), 6, []zone.Name{"b", "c"})).To(BeEmpty())
	g.Expect(state.Zones()).To(HaveLen(2))
}

// TestLateChange checks that the time limit counts from when the zone was last known not
// to be evacuated, if the change is received after a long interval.
func TestLateChange(t *testing.T) {
	g := NewWithT(t)
	fresh := &evacuation.State{}
	fresh.Reset(start, 5, []zone.Name{"a"})
	g.Expect(fresh.Zones()["a"]).To(BeTemporally("<", start.Add(-time.Hour)), "a first read")
	late := newCurrentState()
	late.Apply(start.Add(10*time.Second), 5, "a", true)
	g.Expect(late.Zones()["a"]).To(Equal(start), "after a silence")
	usual := newCurrentState()
	usual.Apply(start.Add(2*time.Second), 5, "a", true)
	g.Expect(usual.Zones()["a"]).To(Equal(start.Add(2 * time.Second)))
}

// TestAdopt checks that a peer's newer state is adopted as a whole with its ages, and an
// older one is ignored.
func TestAdopt(t *testing.T) {
	g := NewWithT(t)
	peer := newCurrentState()
	peer.Apply(start, 6, "b", true)
	snapshot := peer.Snapshot(start.Add(3 * time.Second))
	requestedAt := start.Add(2900 * time.Millisecond)

	state := newCurrentState()
	state.Apply(start, 5, "a", true)
	changes := state.Adopt(requestedAt, snapshot)
	g.Expect(changes).To(HaveLen(2))
	g.Expect(state.Zones()).To(Equal(map[zone.Name]time.Time{"b": start.Add(-100 * time.Millisecond)}))
	g.Expect(state.Adopt(requestedAt, snapshot)).To(BeEmpty(), "the same state again")
	state.Apply(requestedAt, 7, "b", false)
	g.Expect(state.Adopt(requestedAt, snapshot)).To(BeEmpty(), "an older state")
	g.Expect(state.Zones()).To(BeEmpty())
	never := &evacuation.State{}
	g.Expect(state.Adopt(requestedAt, never.Snapshot(requestedAt))).To(BeEmpty(), "a peer that knows nothing")
}

// TestAdvanceKeepsZones checks that zones stay evacuated when the stream
// advances without a change.
func TestAdvanceKeepsZones(t *testing.T) {
	g := NewWithT(t)
	state := newCurrentState()
	state.Apply(start, 5, "a", true)
	state.Advance(9)
	state.Advance(7)
	g.Expect(state.Version()).To(Equal(uint64(9)))
	g.Expect(state.Zones()).To(HaveKey(zone.Name("a")))
}

// TestDepartureTimes checks that departures are spread over a part of the operator's time
// limit.
func TestDepartureTimes(t *testing.T) {
	g := NewWithT(t)
	const sessions, within = 3000, 5 * time.Second
	thirds := [3]int{}
	for session := range sessions {
		until := evacuation.DepartureTime(start, within, fmt.Sprint("program-", session)).Sub(start)
		g.Expect(until).To(And(BeNumerically(">=", 0), BeNumerically("<", 3*time.Second)))
		thirds[until/time.Second]++
	}
	for _, count := range thirds {
		g.Expect(count).To(BeNumerically("~", sessions/3, sessions/15))
	}
	g.Expect(evacuation.DepartureTime(start, within, "x")).To(Equal(evacuation.DepartureTime(start, within, "x")))
	g.Expect(evacuation.DepartureTime(start, 0, "x")).To(Equal(start), "no time is given")
}
