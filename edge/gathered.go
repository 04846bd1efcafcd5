package edge

import (
	"time"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/gather"
	"birchwood.example/birchwood/replica"
)

// applyTotals applies the requests in progress of all other nodes, and logs changes of the
// collectors.
func (n *Node) applyTotals(ready *coordinator.Ready) {
	for _, change := range ready.Collectors {
		if change.Unresponsive != "" {
			n.logger.Warn().Str("collector", string(change.Unresponsive)).Msg("loads: collector does not answer")
			continue
		}
		n.logger.Info().Str("collector", string(change.Collector)).Msg("loads: collector taken")
	}
	for _, rejected := range ready.Rejected {
		n.logger.Warn().Str("from", string(rejected.From)).Err(rejected.Err).Msg("loads: invalid message")
	}
	for _, outbound := range ready.Messages {
		if loads := outbound.Message.Gather; loads != nil {
			n.metrics.gatherSent(string(loads.Kind), len(loads.Counts)+len(loads.TokenTimes))
		}
	}
	if ready.Totals == nil {
		return
	}
	now := time.Now()
	n.metrics.gathered(now.Sub(ready.Totals.At))
	n.replicas.applyLoadTotals(now, ready.Totals)
}

// report returns this node's requests in progress and its measurements, by replica.
func (r *replicas) report() map[replica.ID]replica.Report {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.set.Report(time.Now())
}

// applyLoadTotals applies the totals of all other nodes to the replicas that this node
// holds.
func (r *replicas) applyLoadTotals(now time.Time, totals *gather.Totals) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	summary := replica.LoadSummary{Nodes: totals.Nodes, At: totals.At, Partial: totals.Partial}
	summary.Totals = make(map[replica.ID]replica.Total, len(totals.Counts))
	for key, count := range totals.Counts {
		if id := r.byKey[key]; id != "" {
			summary.Totals[id] = replica.Total{Requests: float64(count)}
		}
	}
	for key, tokenTime := range totals.TokenTimes {
		_, counted := totals.Counts[key]
		if id := r.byKey[key]; id != "" && (counted || !totals.Partial) {
			summary.Totals[id] = replica.Total{Requests: float64(totals.Counts[key]), TokenTime: tokenTime.TokenTime, Samples: tokenTime.Samples}
		}
	}
	r.set.ApplyLoadSummary(now, summary)
}

// key records the key under which messages refer to a replica. If two replicas share a key,
// messages about it are ignored. The caller must hold the mutex.
func (r *replicas) key(id replica.ID) {
	key := gather.KeyOf(id)
	if other, known := r.byKey[key]; known && other != id {
		id = ""
	}
	r.byKey[key] = id
}
