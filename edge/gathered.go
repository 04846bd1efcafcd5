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
		if change.Unresponsive != "" {
			n.logger.Warn().Str("collector", string(change.Unresponsive)).Msg("loads: collector does not answer")
			continue
		}
		n.logger.Info().Str("collector", string(change.Collector)).Msg("loads: collector taken")
	}
	for _, unread := range ready.Rejected {
		n.logger.Warn().Str("from", string(unread.From)).Err(unread.Err).Msg("loads: message not understood")
	}
	for _, outbound := range ready.Messages {
		if said := outbound.Message.Gather; said != nil {
			n.metrics.gatherSent(string(said.Kind), len(said.Counts)+len(said.TokenTimes))
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

// takeTotals takes in what all other nodes have, of the replicas that this one knows.
func (r *replicas) takeTotals(now time.Time, totals *gather.Totals) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	word := replica.LoadSummary{Nodes: totals.Nodes, At: totals.At, Partial: totals.Partial}
	word.Totals = make(map[replica.ID]replica.Total, len(totals.Counts))
	for key, count := range totals.Counts {
		if id := r.keyed[key]; id != "" {
			word.Totals[id] = replica.Total{Requests: float64(count)}
		}
	}
	for key, pace := range totals.TokenTimes {
		_, counted := totals.Counts[key]
		if id := r.keyed[key]; id != "" && (counted || !totals.Partial) {
			word.Totals[id] = replica.Total{Requests: float64(totals.Counts[key]), TokenTime: pace.TokenTime, Samples: pace.Samples}
		}
	}
	r.set.ApplyLoadSummary(now, word)
}

// key notes under which key messages name a replica. Two that share one are not heard of.
// The mutex is held.
func (r *replicas) key(id replica.ID) {
	key := gather.KeyOf(id)
	if other, known := r.keyed[key]; known && other != id {
		id = ""
	}
	r.keyed[key] = id
}
