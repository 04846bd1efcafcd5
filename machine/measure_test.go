package machine

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkFleet prints the figures of docs/measurements/membership.md. They
// are in virtual time and the same in every run; only ns/op depends on the
// machine.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []int{10, 50, 100, 200, 390} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			for b.Loop() {
				measureIdle(b, size)
				measureDeath(b, size)
				measureZoneLoss(b, size)
				measureLeaving(b, size)
				measureRevision(b, size)
			}
		})
	}
}

// BenchmarkFalseDeaths prints how often live nodes are declared dead when links
// lose messages.
func BenchmarkFalseDeaths(b *testing.B) {
	for _, percent := range []int{1, 5, 10, 20} {
		b.Run(fmt.Sprintf("loss=%d%%", percent), func(b *testing.B) {
			for b.Loop() {
				f := newFleet(100, 20)
				f.loss = float64(percent) / 100
				f.run(10 * time.Minute)
				b.ReportMetric(float64(f.falseDeaths), "false-deaths/10min")
				b.ReportMetric(float64(f.bytes)/100/600, "B/node/s")
			}
		})
	}
}

const measuredTime = time.Minute

func settledFleet(size int) *fleet {
	f := newFleet(size, 30)
	f.run(10 * time.Second)
	f.messages, f.bytes = 0, 0
	return f
}

// measureIdle counts each message once at its sender and once at its receiver,
// as network interfaces do.
func measureIdle(b *testing.B, size int) {
	f := settledFleet(size)
	f.run(measuredTime)
	perNode := float64(size) * measuredTime.Seconds()
	b.ReportMetric(float64(f.messages)/perNode, "messages-sent/node/s")
	b.ReportMetric(2*float64(f.bytes)/perNode, "idle-B/node/s")
}

func measureDeath(b *testing.B, size int) {
	f := settledFleet(size)
	f.members[size/2].down = true
	took, _ := f.runUntil(time.Minute, func() bool { return f.allHaveNodes(size - 1) })
	b.ReportMetric(took.Seconds(), "death-known-to-all-s")
}

func measureZoneLoss(b *testing.B, size int) {
	f := settledFleet(size)
	lost := 0
	for _, m := range f.members {
		if m.entry.Zone == zoneName(1) {
			m.down = true
			lost++
		}
	}
	took, _ := f.runUntil(2*time.Minute, func() bool { return f.allHaveNodes(size - lost) })
	b.ReportMetric(took.Seconds(), "zone-loss-known-to-all-s")
	b.ReportMetric(2*float64(f.bytes)/float64(size-lost)/took.Seconds(), "zone-loss-B/node/s")
}

func measureLeaving(b *testing.B, size int) {
	f := settledFleet(size)
	f.members[1].Leave(f.now)
	f.drain(f.members[1])
	took, _ := f.runUntil(time.Minute, func() bool { return f.allHaveNodes(size - 1) })
	b.ReportMetric(took.Seconds(), "leaving-known-to-all-s")
}

func measureRevision(b *testing.B, size int) {
	f := settledFleet(size)
	f.members[1].SetRevision(9)
	f.drain(f.members[1])
	took, _ := f.runUntil(time.Minute, func() bool {
		reached := 0
		for _, m := range f.members {
			if _, revision := m.PeerRevision(); revision == 9 {
				m.SetRevision(revision)
				f.drain(m)
				reached++
			}
		}
		return reached >= size-1
	})
	b.ReportMetric(took.Seconds(), "revision-known-to-all-s")
}
