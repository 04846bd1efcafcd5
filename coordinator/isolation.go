package coordinator

import (
	"time"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// hearing is when this node heard other nodes last.
type receiveTimes struct {
	// last is when a message of any other node came, and byZone when one of each zone
	// did.
	latest time.Time
	byZone map[zone.Name]time.Time
}

// note takes in that a message of a node came.
func (h *receiveTimes) record(now time.Time, sender machine.Machine) {
	h.latest = now
	if h.byZone == nil {
		h.byZone = make(map[zone.Name]time.Time)
	}
	h.byZone[sender.Zone] = now
}

// silenceLimit is how long nothing has been heard before this node counts as cut off.
// The failure detector does not tell: it declares no deaths while nobody answers.
const isolationTimeout = 1500 * time.Millisecond

// cutLimit is that time where calls to the store have failed for as long: several times
// what passes between two messages of a zone, and short against what clients have left.
// Either sign alone has other causes.
const failingIsolationTimeout = 700 * time.Millisecond

// silence returns how long a zone is silent that counts as cut off, and whether this node
// does not reach the store.
func (c *Core) silenceTimeout(now time.Time) (timeout time.Duration, storeUnreachable bool) {
	if c.storeCallsFailing && now.Sub(c.lastStoreAnswer) >= failingIsolationTimeout {
		return failingIsolationTimeout, true
	}
	return isolationTimeout, !c.storeReachable
}

// Isolated reports whether this node cannot serve programs that others can: it does not
// reach the store, and hears no other node, or nodes of less than half of the zones. A
// store that is away from all leaves the zones in touch, so that no node is isolated
// then.
func (c *Core) Isolated(now time.Time) bool {
	timeout, storeUnreachable := c.silenceTimeout(now)
	if !storeUnreachable || len(c.directory) == 0 {
		return false
	}
	if now.Sub(c.receiveTimes.latest) > timeout {
		return true
	}
	known, heard := c.countZones(now, timeout)
	return 2*heard < known
}

// zonesHeard counts the zones that this node knows of, and those of which it heard a
// node lately. Its own counts as heard.
func (c *Core) countZones(now time.Time, timeout time.Duration) (known, heard int) {
	seen := make(map[zone.Name]bool)
	for _, node := range c.sortedNodes {
		if seen[node.Zone] {
			continue
		}
		seen[node.Zone] = true
		if !c.zoneSilent(now, node.Zone, timeout) {
			heard++
		}
	}
	return len(seen), heard
}

// zoneSilent reports whether no node of another zone has been heard for some time. One
// of which none ever was is silent, too.
func (c *Core) zoneSilent(now time.Time, name zone.Name, timeout time.Duration) bool {
	return name != c.self().Zone && now.Sub(c.receiveTimes.byZone[name]) > timeout
}

// zoneLost reports whether a zone is silent of which nodes were heard before.
func (c *Core) zoneWentSilent(now time.Time, name zone.Name, timeout time.Duration) bool {
	_, known := c.receiveTimes.byZone[name]
	return known && c.zoneSilent(now, name, timeout)
}
