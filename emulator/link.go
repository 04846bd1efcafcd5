package emulator

import (
	"time"

	"birchwood.example/birchwood/workload"
	"birchwood.example/birchwood/zone"
)

// links are the delays between zones, and the cuts in force.
type links struct {
	deployment workload.Deployment
	// blocked counts the cuts in force on each way.
	blocked map[direction]int
	// extra slows every message between zones.
	extraDelay time.Duration
}

// direction is a direction between two zones.
type direction struct{ from, to zone.Name }

// newLinks returns the deployment's links, all whole.
func newLinks(deployment workload.Deployment) *links {
	return &links{deployment: deployment, blocked: make(map[direction]int)}
}

// delay is the one-way delay between two zones.
func (l *links) delay(from, to zone.Name) time.Duration {
	base := l.deployment.Delay(from, to)
	if from != to {
		base += l.extraDelay
	}
	return base
}

// isBlocked reports whether messages on the way are lost.
func (l *links) isBlocked(from, to zone.Name) bool { return l.blocked[direction{from, to}] > 0 }
