package edge

import (
	"time"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/gather"
	"birchwood.example/birchwood/replica"
)

// hearTotals takes in what all other nodes have under way, and writes which collectors
// were taken and lost.
func (n *Node) hearTotals(ready *coordinator.Ready) {
	for _, change := range ready.Collectors {
		if change.Silent != "" {
			n.logger.Warn().Str("collector", string(change.Silent)).Msg("loads: collector does not answer")
			continue
		}
		n.logger.Info().Str("collector", string(change.Collector)).Msg("loads: collector taken")
	}
	for _, unread := range ready.Unread {
		n.logger.Warn().Str("from", string(unread.From)).Err(unread.Err).Msg("loads: message not understood")
	}
	for _, outbound := range ready.Messages {
		if said := outbound.Message.Gather; said != nil {
			n.metrics.gatherSent(string(said.Kind), len(said.Counts)+len(said.Paces))
		}
	}
	if ready.Totals == nil {
		return
	}
	now := time.Now()
	n.metrics.gathered(now.Sub(ready.Totals.At))
	n.replicas.takeTotals(now, ready.Totals)
}

// report returns what this node has under way and measured, by replica.
func (r *replicas) report() map[replica.ID]replica.Report {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.set.Report(time.Now())
}

// takeTotals takes in what all other nodes have, of the replicas that this one knows. Two
// replicas that share a key are both left out.
func (r *replicas) takeTotals(now time.Time, totals *gather.Totals) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	word := replica.Word{Nodes: totals.Nodes, At: totals.At, Totals: make(map[replica.ID]replica.Total, len(totals.Counts))}
	named := make(map[gather.Key]replica.ID, r.set.Count())
	for _, id := range r.set.IDs() {
		key := gather.KeyOf(id)
		if other, twice := named[key]; twice {
			delete(word.Totals, other)
			continue
		}
		named[key] = id
		total := replica.Total{Requests: float64(totals.Counts[key])}
		if pace, told := totals.Paces[key]; told {
			total.TokenTime, total.Samples = pace.TokenTime, pace.Samples
		}
		word.Totals[id] = total
	}
	r.set.TakeWord(now, word)
}
