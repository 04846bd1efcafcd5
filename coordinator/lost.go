package coordinator

import (
	"time"

	"birchwood.example/birchwood/ownership"
)

// TurnsLost reports, for logging, that open turns of a partition lapsed because the processes
// that ran them have ended.
type TurnsLost struct {
	Partition int
	Epoch     ownership.Epoch
	Lapsed    int
}

// lapseLostTurns lets the turns lapse that ran in earlier processes of nodes that have
// restarted. processes holds the incarnations of these nodes, by ID.
//
// A node that is only considered dead may be paused or partitioned off, and still settle its
// turns.
func (c *Core) lapseLostTurns(now time.Time, processes map[string]uint64) {
	if len(processes) == 0 {
		return
	}
	for _, p := range c.partitions {
		if p.state != stateServing {
			continue
		}
		if lapsed := p.ledger.LapseLost(now, processes); lapsed > 0 {
			c.ready.TurnsLost = append(c.ready.TurnsLost, TurnsLost{Partition: p.index, Epoch: p.epoch, Lapsed: lapsed})
		}
	}
}
