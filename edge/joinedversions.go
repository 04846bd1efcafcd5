package edge

import (
	"context"
	"time"

	"birchwood.example/birchwood/recordstore"
	"birchwood.example/birchwood/replica"
)

// versionGone reports whether a version that began a stream, and that this node does not list, has
// left. A node that holds all replicas asks for the entries that are newer than its list: without
// an answer the version may have joined since. Others know that from the age of their part alone.
func (n *Node) versionGone(ctx context.Context, version replica.ServiceVersion) bool {
	if !n.holdsAllReplicas.Load() {
		return n.syncedReplicas.Load() && n.listAge() <= freshListAge
	}
	readCtx, cancel := context.WithTimeout(ctx, versionsReadWait)
	defer cancel()
	joined, err := n.joinedRead.get(readCtx)
	if err != nil {
		n.logger.Warn().Str("service", version.Service).Str("version", version.Version).Err(err).Msg("versions: newer entries not read for a stream that is resumed")
		return false
	}
	return !joined[version]
}

// readJoinedVersions reads the versions of the ready replicas whose entries are newer than this
// node's list.
func (n *Node) readJoinedVersions() (versionSet, error) {
	ctx, cancel := context.WithTimeout(n.ctx, versionsReadTimeout)
	defer cancel()
	joined := make(versionSet)
	stream, next := recordstore.Stream{Name: recordstore.StreamReplicas}, n.listPosition.current()
	for {
		sentAt := time.Now()
		tail, err := n.adapter.Store.Tail(ctx, stream, next, 0)
		n.recordRead(storeRead{stream: stream, kind: kindTail, attempt: 1, sentAt: sentAt}, err)
		if err != nil {
			return nil, err
		}
		if len(tail.Records) == 0 {
			return joined, nil
		}
		n.addReady(joined, tail.Records)
		next = tail.Next
	}
}

// addReady adds the versions of ready replicas to a set. Invalid entries are skipped; they are logged
// when they are applied to the list.
func (n *Node) addReady(versions versionSet, entries []recordstore.Record) {
	for _, record := range entries {
		if len(record.Value) == 0 {
			continue
		}
		entry, err := n.adapter.Translator.Replica(record.Key, record.Value)
		if err == nil && entry.Status == replica.StatusReady {
			versions[replica.ServiceVersion{Service: entry.Service, Version: entry.Version}] = true
		}
	}
}
