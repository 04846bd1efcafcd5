package control

import (
	"fmt"
	"time"
)

// NotReady returns the reasons why callers should not be sent to this node: it
// is stopping, its settings are not fresh, no back end is known, the machine
// list has not settled, or it is taking partitions over.
func (c *Core) NotReady(now time.Time) []string {
	var reasons []string
	if c.stopping {
		reasons = append(reasons, "leaving")
	}
	if freshness := c.follower.Freshness(now); !freshness.MayPlace {
		reasons = append(reasons, "settings: "+freshness.Reason)
	}
	if len(c.backendManager.backends) == 0 {
		reasons = append(reasons, "no back end is known")
	}
	if !c.listed {
		reasons = append(reasons, "the machine list has not settled")
	}
	opening := 0
	for _, owned := range c.partitions {
		if !owned.acquired {
			opening++
		}
	}
	if opening > 0 {
		reasons = append(reasons, fmt.Sprintf("%d partitions are being taken over", opening))
	}
	return reasons
}
