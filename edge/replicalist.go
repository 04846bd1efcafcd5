package edge

import (
	"context"
	"time"

	"birchwood.example/birchwood/recordstore"
	"birchwood.example/birchwood/replica"
)

// followReplicas keeps the replicas up to date, from the store or, in a large fleet,
// through other nodes.
func (n *Node) followReplicas(ctx context.Context) {
	n.awaitDirectory(ctx)
	n.fetchTotal(ctx)
	for ctx.Err() == nil {
		n.followReaders(ctx)
		start, changed := time.Now(), 0
		n.followStream(ctx, recordstore.Stream{Name: recordstore.StreamReplicas}, streamHandler{
			wait: func() time.Duration { return replicasWait }, pause: n.replicasPause, synced: &n.syncedReplicas,
			page: func(records []recordstore.Record) { changed += n.applyPage(records) },
			reset: func(records []recordstore.Record, end uint64) {
				n.resetReplicas(records, end, changed)
				changed = 0
			},
			change:   n.applyReplicaRecord,
			position: n.listPosition.current,
			current:  n.replicasCaughtUp,
			ended:    func() bool { return time.Since(start) > directReadPeriod && len(n.readersToFollow()) > 0 },
		})
	}
}

// replicasPause returns the minimum time between two reads of the replica stream.
func (n *Node) replicasPause() time.Duration {
	if n.role() == roleSource {
		return sourcePause
	}
	return replicasPause
}

// applyPage applies a page of the list before the others are read: a starting node can
// serve with the first few hundred of ten thousand replicas, a second earlier. It returns
// the number of replicas that changed.
func (n *Node) applyPage(records []recordstore.Record) (changed int) {
	n.listPosition.applying.Lock()
	defer n.listPosition.applying.Unlock()
	for _, record := range records {
		if entry, ok := n.decodeReplica(record.Key, record.Value); ok && n.replicas.put(entry) {
			changed++
		}
	}
	return changed
}

// resetReplicas drops the replicas that are in none of the pages of a whole list, after the
// pages were applied one by one. The list reflects all records before the offset end.
func (n *Node) resetReplicas(records []recordstore.Record, end uint64, changed int) {
	n.listPosition.applying.Lock()
	defer n.listPosition.applying.Unlock()
	n.replicas.setTotal(0)
	n.holdsAllReplicas.Store(true)
	listed := make(map[replica.ID]bool, len(records))
	for _, record := range records {
		if len(record.Value) > 0 {
			listed[replica.ID(record.Key)] = true
		}
	}
	removed := n.dropUnlisted(listed, n.handleUnlistedQuietly)
	n.logList("store", end, len(listed), changed, removed)
	n.listPosition.set(end)
}

// dropUnlisted drops the replicas that are missing in a list, and returns how many were
// removed.
func (n *Node) dropUnlisted(listed map[replica.ID]bool, drop func(replica.ID) (removed bool)) (removed int) {
	for _, id := range n.replicas.ids() {
		if !listed[id] && drop(id) {
			removed++
		}
	}
	return removed
}

// applyReplicaRecord applies a record of the replica stream, unless the list reflects it
// already.
func (n *Node) applyReplicaRecord(record recordstore.Record) {
	n.listPosition.applying.Lock()
	defer n.listPosition.applying.Unlock()
	if record.Offset < n.listPosition.current() {
		return
	}
	n.applyReplica(record.Key, record.Value)
	n.listPosition.set(record.Offset + 1)
}

// applyReplica applies the key and the value of a record.
func (n *Node) applyReplica(key string, value []byte) {
	if len(value) == 0 {
		n.unusable.forget(replica.ID(key))
		n.handleUnlisted(replica.ID(key), "gone from the list")
		return
	}
	if entry, ok := n.decodeReplica(key, value); ok {
		n.putReplica(entry)
	}
}

// decodeReplica decodes an entry of the list, and reports whether it is valid.
func (n *Node) decodeReplica(key string, value []byte) (entry replica.Entry, ok bool) {
	if len(value) == 0 {
		return replica.Entry{}, false
	}
	entry, err := n.adapter.Translator.Replica(key, value)
	if err != nil {
		n.rejectEntry(replica.ID(key), err)
		return replica.Entry{}, false
	}
	n.unusable.forget(entry.ID)
	return entry, true
}

// rejectEntry handles an invalid entry: the replica that it described before must not be
// used either. It is logged once, rather than with each of its heartbeats.
func (n *Node) rejectEntry(id replica.ID, reason error) {
	n.metrics.entryRejected()
	if n.unusable.note(id) {
		n.logger.Warn().Str("replica", string(id)).Err(reason).Msg("replicas: entry not understood")
	}
	n.removeReplica(id, "its entry is not understood")
}

func (n *Node) putReplica(entry replica.Entry) {
	if n.replicas.put(entry) {
		n.logger.Info().Str("replica", string(entry.ID)).Str("service", entry.Service).Str("address", entry.Address.String()).Str("version", entry.Version).
			Str("status", string(entry.Status)).Msg("replicas: changed")
	}
}

// handleUnlisted handles a replica that the store does not list. After an outage, this does
// not mean that the replica is gone.
func (n *Node) handleUnlisted(id replica.ID, reason string) {
	if n.mayDeferRemoval(id) {
		n.logger.Info().Str("replica", string(id)).Uint64("position", n.listPosition.current()).Str("reason", reason).Msg("replicas: removal deferred")
		return
	}
	n.removeReplica(id, reason)
}

// handleUnlistedQuietly is handleUnlisted without a log line. It reports whether the
// replica was removed.
func (n *Node) handleUnlistedQuietly(id replica.ID) (removed bool) {
	return !n.mayDeferRemoval(id) && n.removeQuietly(id)
}

// mayDeferRemoval keeps an unlisted replica for a while after an outage, and reports
// whether it did.
func (n *Node) mayDeferRemoval(id replica.ID) bool {
	until := n.store.deferRemovalsUntil()
	return n.settings.uses(DeferRemovals) && time.Now().Before(until) && n.replicas.deferRemoval(id, until)
}

// replicasCaughtUp is called each time the replica stream was read to its end.
func (n *Node) replicasCaughtUp(time.Time) {
	n.setListAge(0)
	for _, id := range n.replicas.dueRemovals() {
		n.removeReplica(id, "not listed again after an outage")
	}
}

func (n *Node) removeReplica(id replica.ID, reason string) {
	if n.removeQuietly(id) {
		n.logger.Info().Str("replica", string(id)).Uint64("position", n.listPosition.current()).Str("reason", reason).Msg("replicas: removed")
	}
}

// removeQuietly removes a replica without a log line.
func (n *Node) removeQuietly(id replica.ID) (known bool) {
	entry, known := n.replicas.remove(id)
	if known {
		n.replicaUnlisted(entry)
	}
	return known
}

// logList logs that a whole list of replicas was applied, with its position or 0.
func (n *Node) logList(source string, position uint64, listed, changed, removed int) {
	n.logger.Info().Str("source", source).Uint64("position", position).Uint64("own", n.listPosition.current()).Int("listed", listed).Int("changed", changed).Int("removed", removed).
		Msg("replicas: list taken over")
}
