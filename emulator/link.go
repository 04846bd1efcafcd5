package emulator

import (
	"time"

	"birchwood.example/birchwood/workload"
	"birchwood.example/birchwood/zone"
)

// links are the delays between zones, and the cuts in force.
type links struct {
	deployment workload.Deployment
	// cuts counts the cuts in force on each way.
	cuts map[way]int
	// extra slows every message between zones.
	extra time.Duration
}

// way is a direction between two zones.
type way struct{ from, to zone.Name }

// newLinks returns the deployment's links, all whole.
func newLinks(deployment workload.Deployment) *links {
	return &links{deployment: deployment, cuts: make(map[way]int)}
}

// delay is the one-way delay between two zones.
func (l *links) delay(from, to zone.Name) time.Duration {
	base := l.deployment.Delay(from, to)
	if from != to {
		base += l.extra
	}
	return base
}

// isCut reports whether messages on the way are lost.
func (l *links) isCut(from, to zone.Name) bool { return l.cuts[way{from, to}] > 0 }
