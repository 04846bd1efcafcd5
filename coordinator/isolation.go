package coordinator

import (
	"time"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// receiveTimes records when this node last received messages from other nodes.
type receiveTimes struct {
	// latest is the time of the last message from any other node, and byZone that of the
	// last message from each zone.
	latest time.Time
	byZone map[zone.Name]time.Time
}

// record notes the arrival of a message.
func (r *receiveTimes) record(now time.Time, sender machine.Machine) {
	r.latest = now
	if r.byZone == nil {
		r.byZone = make(map[zone.Name]time.Time)
	}
	r.byZone[sender.Zone] = now
}

// isolationTimeout is the time without messages after which this node considers itself
// partitioned off. The failure detector cannot decide this: it declares no deaths while
// nobody answers.
const isolationTimeout = 1500 * time.Millisecond

// failingIsolationTimeout replaces isolationTimeout if calls to the store have failed for
// as long. It is several times the interval between two messages of a zone, and short
// compared with the time that clients have left. Either sign alone has other causes.
const failingIsolationTimeout = 700 * time.Millisecond

// silenceTimeout returns the time without messages after which a zone is considered
// partitioned off, and whether this node cannot reach the store.
func (c *Core) silenceTimeout(now time.Time) (timeout time.Duration, storeUnreachable bool) {
	if c.storeCallsFailing && now.Sub(c.lastStoreAnswer) >= failingIsolationTimeout {
		return failingIsolationTimeout, true
	}
	return isolationTimeout, !c.storeReachable
}

// Isolated reports whether this node cannot serve programs that other nodes can: it cannot
// reach the store, and receives messages from no other node, or from less than half of the
// zones. If the store is unavailable to all nodes, the zones still reach each other and no
// node is isolated.
func (c *Core) Isolated(now time.Time) bool {
	timeout, storeUnreachable := c.silenceTimeout(now)
	if !storeUnreachable || len(c.directory) == 0 {
		return false
	}
	if now.Sub(c.receiveTimes.latest) > timeout {
		return true
	}
	known, active := c.countZones(now, timeout)
	return 2*active < known
}

// countZones counts the known zones, and those from which a message arrived within the
// timeout. This node's own zone always counts as one of the latter.
func (c *Core) countZones(now time.Time, timeout time.Duration) (known, active int) {
	seen := make(map[zone.Name]bool)
	for _, node := range c.sortedNodes {
		if seen[node.Zone] {
			continue
		}
		seen[node.Zone] = true
		if !c.zoneSilent(now, node.Zone, timeout) {
			active++
		}
	}
	return len(seen), active
}

// zoneSilent reports whether no message arrived from another zone within the timeout. A
// zone from which none ever arrived is silent, too.
func (c *Core) zoneSilent(now time.Time, name zone.Name, timeout time.Duration) bool {
	return name != c.self().Zone && now.Sub(c.receiveTimes.byZone[name]) > timeout
}

// zoneWentSilent reports whether a zone is silent from which messages arrived before.
func (c *Core) zoneWentSilent(now time.Time, name zone.Name, timeout time.Duration) bool {
	_, known := c.receiveTimes.byZone[name]
	return known && c.zoneSilent(now, name, timeout)
}
