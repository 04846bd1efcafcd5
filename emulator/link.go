package emulator

import (
	"time"

	"birchwood.example/birchwood/workload"
	"birchwood.example/birchwood/zone"
)

// links holds the delays between zones and the current network partitions.
type links struct {
	deployment workload.Deployment
	// blocked counts, for each direction, the faults that currently block it.
	blocked map[direction]int
	// extraDelay is added to every message between different zones.
	extraDelay time.Duration
}

// direction is an ordered pair of zones: messages go from one to the other.
type direction struct{ from, to zone.Name }

// newLinks returns the deployment's links, none of them blocked.
func newLinks(deployment workload.Deployment) *links {
	return &links{deployment: deployment, blocked: make(map[direction]int)}
}

// delay returns the one-way delay between two zones.
func (l *links) delay(from, to zone.Name) time.Duration {
	base := l.deployment.Delay(from, to)
	if from != to {
		base += l.extraDelay
	}
	return base
}

// isBlocked reports whether messages in this direction are lost.
func (l *links) isBlocked(from, to zone.Name) bool { return l.blocked[direction{from, to}] > 0 }
