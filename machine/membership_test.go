package machine

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/zone"
)

var _ = Describe("Membership", func() {
	const settle = 5 * time.Second

	DescribeTable("finds a failed node without anyone else declared dead",
		func(size int) {
			f := newFleet(size, 1)
			f.run(settle)
			Expect(f.allHaveNodes(size)).To(BeTrue())
			f.members[1].down = true
			_, found := f.runUntil(20*time.Second, func() bool { return f.allHaveNodes(size - 1) })
			Expect(found).To(BeTrue())
			Expect(f.falseDeaths).To(BeZero())
		},
		Entry("2 nodes", 2), Entry("3 nodes", 3), Entry("10 nodes", 10), Entry("100 nodes", 100),
	)

	It("takes a restarted node back with its higher incarnation", func() {
		f := newFleet(10, 2)
		f.run(settle)
		f.members[3].down = true
		_, found := f.runUntil(20*time.Second, func() bool { return f.allHaveNodes(9) })
		Expect(found).To(BeTrue())
		f.members[3].down = false
		f.list[3].Incarnation = 2
		f.push(event{at: f.now, to: f.members[3].entry.ID})
		_, back := f.runUntil(20*time.Second, func() bool { return f.allHaveNodes(10) })
		Expect(back).To(BeTrue())
	})

	It("takes a node back that was paused and declared dead, by refutation", func() {
		f := newFleet(10, 3)
		f.run(settle)
		f.pause(f.members[4])
		_, found := f.runUntil(30*time.Second, func() bool { return f.allHaveNodes(9) })
		Expect(found).To(BeTrue())
		f.run(20 * time.Second)
		f.resume(f.members[4])
		f.run(10 * time.Millisecond)
		Expect(f.members[4].Nodes()).To(HaveLen(10), "the paused node must blame itself")
		_, back := f.runUntil(20*time.Second, func() bool { return f.allHaveNodes(10) })
		Expect(back).To(BeTrue())
		Expect(f.falseDeaths).To(BeZero())
	})

	It("does not hold a pause of its own against a suspect that refuted meanwhile", func() {
		f := newFleet(10, 14)
		f.run(settle)
		f.partitioned = func(from, _ zone.Name) bool { return from == "zone-1" }
		paused := f.members[0]
		paused.Step(f.now, "node-002", Message{
			Kind: MessageGossip, Updates: []Update{{ID: "node-001", Incarnation: 1, Status: StatusSuspect}},
		})
		suspected := paused.records["node-001"].suspectSince
		_, answered := f.runUntil(2*time.Second, func() bool { return paused.health.answeredSince(suspected) })
		Expect(answered).To(BeTrue())
		Expect(paused.records["node-001"].status).To(Equal(StatusSuspect))
		paused.Tick(f.now.Add(20 * time.Second))
		Expect(paused.records["node-001"].status).To(Equal(StatusSuspect))
	})

	DescribeTable("declares nobody dead on a node that is itself partitioned off",
		func(outward, inward bool) {
			f := newFleet(12, 4)
			f.members[0].entry.Zone = "alone"
			f.run(settle)
			f.partitioned = func(from, to zone.Name) bool {
				return outward && from == "alone" || inward && to == "alone"
			}
			f.run(2 * time.Minute)
			Expect(f.members[0].Nodes()).To(HaveLen(12))
			Expect(f.members[1].hasNode("node-000")).To(Equal(false))
			f.partitioned = func(zone.Name, zone.Name) bool { return false }
			_, back := f.runUntil(time.Minute, func() bool { return f.allHaveNodes(12) })
			Expect(back).To(BeTrue())
		},
		Entry("both ways", true, true),
		Entry("only its outgoing messages are lost", true, false),
		Entry("only its incoming messages are lost", false, true),
	)

	It("declares a partitioned-off zone dead on both sides, and recovers", func() {
		f := newFleet(40, 5)
		f.run(settle)
		f.partitioned = func(from, to zone.Name) bool { return (from == "zone-0") != (to == "zone-0") }
		_, split := f.runUntil(time.Minute, func() bool {
			return f.allMembers(func(m *member) bool {
				if m.entry.Zone == "zone-0" {
					return len(m.Nodes()) == 4
				}
				return len(m.Nodes()) == 36
			})
		})
		Expect(split).To(BeTrue())
		f.partitioned = func(zone.Name, zone.Name) bool { return false }
		_, healed := f.runUntil(time.Minute, func() bool { return f.allHaveNodes(40) })
		Expect(healed).To(BeTrue())
	})

	DescribeTable("keeps nodes live that only some zones cannot reach",
		func(partitioned func(from, to zone.Name) bool) {
			f := newFleet(30, 6)
			f.run(settle)
			f.partitioned = partitioned
			f.run(2 * time.Minute)
			Expect(f.falseDeaths).To(BeZero())
			Expect(f.allHaveNodes(30)).To(BeTrue())
		},
		Entry("one pair of zones, both ways", func(from, to zone.Name) bool {
			return from == "zone-0" && to == "zone-1" || from == "zone-1" && to == "zone-0"
		}),
		Entry("one pair of zones, one way", func(from, to zone.Name) bool {
			return from == "zone-0" && to == "zone-1"
		}),
	)

	It("loses no node to lost messages", func() {
		f := newFleet(50, 7)
		f.loss = 0.05
		f.run(5 * time.Minute)
		Expect(f.falseDeaths).To(BeZero())
	})

	It("loses no node to datagrams lost on the way, however many", func() {
		f := newFleet(50, 17)
		f.datagramLoss = 0.4
		f.run(5 * time.Minute)
		Expect(f.falseDeaths).To(BeZero())
	})

	It("changes nothing when the list flaps, and drops what it misses for long", func() {
		f := newFleet(10, 8)
		f.run(settle)
		full := f.list
		f.changes = 0
		for range 5 {
			f.list = full[:5]
			f.run(4 * time.Second)
			f.list = nil
			f.run(15 * time.Second)
			f.list = full
			f.run(4 * time.Second)
		}
		Expect(f.changes).To(BeZero())
		f.list = full[:9]
		f.members[9].down = true
		_, dropped := f.runUntil(30*time.Second, func() bool {
			return f.allMembers(func(m *member) bool { return len(m.All()) == 9 })
		})
		Expect(dropped).To(BeTrue())
	})

	It("has a leaving back end out everywhere within 3 s, though most lists lag", func() {
		f := newFleet(100, 9)
		engine := Machine{ID: "engine-1", Kind: KindEngine, Zone: "zone-0", Address: "10.1.0.1:80", Status: StatusLive, Incarnation: 1}
		f.list = append(f.list, engine)
		f.run(settle)
		leaving := append([]Machine(nil), f.list...)
		leaving[100].Status = StatusLeaving
		f.members[7].Observe(f.now, leaving)
		f.drain(f.members[7])
		f.run(3 * time.Second)
		Expect(f.allMembers(func(m *member) bool {
			return m.Backends()[0].Status == StatusLeaving
		})).To(BeTrue())
		f.run(20 * time.Second)
		Expect(f.members[8].Backends()[0].Status).To(Equal(StatusLeaving), "lagging lists must not take it back")
	})

	It("has a node that leaves out of Nodes everywhere within 3 s", func() {
		f := newFleet(100, 10)
		f.run(settle)
		f.members[5].Leave(f.now)
		f.drain(f.members[5])
		took, _ := f.runUntil(30*time.Second, func() bool { return f.allHaveNodes(99) })
		Expect(took).To(BeNumerically("<=", 3*time.Second))
		Expect(f.allHaveNodes(99)).To(BeTrue())
		f.run(time.Minute)
		Expect(f.allHaveNodes(99)).To(BeTrue())
	})

	It("spreads a settings revision to every node", func() {
		f := newFleet(100, 11)
		f.run(settle)
		f.members[3].SetRevision(17)
		f.drain(f.members[3])
		_, spread := f.runUntil(3*time.Second, func() bool {
			reached := 0
			for _, m := range f.members {
				if _, revision := m.PeerRevision(); revision == 17 {
					m.SetRevision(revision)
					f.drain(m)
					reached++
				}
			}
			return reached == len(f.members)
		})
		Expect(spread).To(BeTrue())
	})

	It("costs a node no more messages in a larger fleet", func() {
		rate := func(size int) float64 {
			f := newFleet(size, 12)
			f.run(settle)
			f.messages = 0
			f.run(30 * time.Second)
			return float64(f.messages) / 30 / float64(size)
		}
		Expect(rate(200)).To(BeNumerically("<", 1.1*rate(10)))
	})

	It("gives the same messages for the same seed", func() {
		trace := func() string {
			f := newFleet(20, 13)
			f.loss = 0.2
			f.run(time.Minute)
			return fmt.Sprint(f.messages, f.bytes, f.falseDeaths)
		}
		Expect(trace()).To(Equal(trace()))
	})

	It("signals a burst of changes at most once a ViewPeriod, the last one included, and leaving at once", func() {
		f := newFleet(60, 15)
		f.run(settle)
		observer := f.members[0].Membership
		signals, now, shown := 0, f.now, 0
		stepUpdate := func(update Update) {
			observer.Step(now, "node-059", Message{Kind: MessageGossip, Updates: []Update{update}})
			if observer.Ready().Changed {
				signals++
				shown = len(observer.Nodes())
			}
		}
		for i := 1; i <= 50; i++ {
			now = now.Add(20 * time.Millisecond)
			stepUpdate(Update{ID: f.list[i].ID, Incarnation: 1, Status: StatusDead})
		}
		Expect(signals).To(BeNumerically("<=", 3))
		stepUpdate(Update{ID: f.list[51].ID, Incarnation: 1, Status: StatusLeaving})
		Expect(shown).To(Equal(9), "leaving must not wait")
		stepUpdate(Update{ID: f.list[52].ID, Incarnation: 1, Status: StatusDead})
		for shown > 8 {
			now = observer.NextWake()
			observer.Tick(now)
			if observer.Ready().Changed {
				shown = len(observer.Nodes())
			}
		}
		Expect(now.Sub(f.now)).To(BeNumerically("<", 2*time.Second))
	})

	It("names every finding of its settings", func() {
		_, err := NewMembership(Config{})
		Expect(err).To(MatchError(And(
			ContainSubstring("Self.ID"), ContainSubstring("ProbePeriod"),
			ContainSubstring("UpdatesPerMessage"), ContainSubstring("Random"))))
	})
})
