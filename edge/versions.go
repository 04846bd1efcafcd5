package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchwood.example/birchwood/internal/wait"
	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/recordstore"
	"birchwood.example/birchwood/replica"
)

// The versions that have served lately are recorded in the store, because they outlive all nodes: a
// node that starts after the loss of all nodes lists the versions that serve now, and not those that
// began the streams which its clients resume. A version is recorded once a node lists it, and its
// record is removed once a node has not listed it for as long as a stream can be resumed. The
// nodes' clocks do not matter.
const (
	// versionsPeriod is the time between two comparisons of the listed and the recorded versions.
	versionsPeriod = 500 * time.Millisecond
	// versionsSpread is the random delay before a change is recorded. Most nodes then find it
	// recorded by another one.
	versionsSpread = time.Second
	// versionsReadTimeout bounds a read of records or entries for requests, and versionsReadWait how
	// long a request waits for it: another read may be under way.
	versionsReadTimeout = 500 * time.Millisecond
	versionsReadWait    = 2 * versionsReadTimeout
)

// versionsStream holds the records.
var versionsStream = recordstore.Stream{Name: recordstore.StreamVersions}

// versionSet is a set of versions.
type versionSet map[replica.ServiceVersion]bool

// versionKeeper decides which records of versions to write and to remove.
type versionKeeper struct {
	// recorded are the versions that the store had when it was read last; nil before that.
	recorded versionSet
	// unlistedSince is since when this node has not listed a recorded version.
	unlistedSince map[replica.ServiceVersion]time.Time
}

// forgetUnlisted begins the times without a version anew, since this node may miss versions.
func (k *versionKeeper) forgetUnlisted() { clear(k.unlistedSince) }

// changes returns the versions to record and those whose records to remove.
func (k *versionKeeper) changes(now time.Time, listed versionSet) (add, remove []replica.ServiceVersion) {
	for version := range k.unlistedSince {
		if listed[version] {
			// Another node may have removed the record meanwhile.
			delete(k.recorded, version)
		}
	}
	for version := range listed {
		if !k.recorded[version] {
			add = append(add, version)
		}
	}
	since := make(map[replica.ServiceVersion]time.Time)
	for version := range k.recorded {
		if listed[version] {
			continue
		}
		first, known := k.unlistedSince[version]
		if !known {
			first = now
		}
		since[version] = first
		if now.Sub(first) > ledger.StreamLifetime {
			remove = append(remove, version)
		}
	}
	k.unlistedSince = since
	return add, remove
}

// keepVersions records the versions that serve, as far as this node lists all replicas.
func (n *Node) keepVersions(ctx context.Context) {
	var keeper versionKeeper
	for wait.For(ctx, versionsPeriod) {
		listed := n.replicas.listedVersions()
		n.recorded.retain(listed)
		if !n.seesAllReplicas() {
			keeper.forgetUnlisted()
			continue
		}
		if !keeper.differs(listed) {
			continue
		}
		if !wait.For(ctx, time.Duration(n.draw()*float64(versionsSpread))) {
			return
		}
		if err := n.recordVersions(ctx, &keeper); err != nil {
			n.logger.Warn().Err(err).Msg("versions: not recorded")
		}
	}
}

// differs reports whether records are to be written or removed, as far as is known.
func (k *versionKeeper) differs(listed versionSet) bool {
	add, remove := k.changes(time.Now(), listed)
	return k.recorded == nil || len(add)+len(remove) > 0
}

// recordVersions reads the records and writes those that differ from the versions that serve.
func (n *Node) recordVersions(ctx context.Context, keeper *versionKeeper) error {
	recorded, err := n.readVersions(ctx)
	if err != nil {
		return err
	}
	keeper.recorded = recorded
	add, remove := keeper.changes(time.Now(), n.replicas.listedVersions())
	if len(add)+len(remove) == 0 {
		return nil
	}
	records, err := versionRecords(add, remove)
	if err != nil {
		return err
	}
	if err := n.appendUnfenced(ctx, versionsStream, records); err != nil {
		return err
	}
	for _, version := range add {
		recorded[version] = true
	}
	for _, version := range remove {
		delete(recorded, version)
	}
	n.logger.Info().Any("added", add).Any("removed", remove).Int("recorded", len(recorded)).Msg("versions: recorded")
	return nil
}

// versionRecords returns the records that add and remove versions.
func versionRecords(add, remove []replica.ServiceVersion) (records []recordstore.Record, err error) {
	for _, version := range add {
		value, err := json.Marshal(version)
		if err != nil {
			return nil, err
		}
		records = append(records, recordstore.Record{Key: versionKey(version), Value: value})
	}
	for _, version := range remove {
		records = append(records, recordstore.Record{Key: versionKey(version)})
	}
	return records, nil
}

// versionKey returns the key of a version's record, whose length does not depend on the names.
func versionKey(version replica.ServiceVersion) string {
	return fmt.Sprintf("%016x%016x", xxhash.Sum64String(version.Service), xxhash.Sum64String(version.Version))
}

// readVersionsInTime is readVersions within versionsReadTimeout.
func (n *Node) readVersionsInTime() (versionSet, error) {
	ctx, cancel := context.WithTimeout(n.ctx, versionsReadTimeout)
	defer cancel()
	return n.readVersions(ctx)
}

// errOtherKey means that a record has a key that is not its version's, under which it would never be
// removed.
var errOtherKey = errors.New("its key is not that of its version")

// readVersions reads the recorded versions. A record that cannot be decoded is from another version
// of this system and is skipped.
func (n *Node) readVersions(ctx context.Context) (versionSet, error) {
	records, _, err := n.readNewest(ctx, versionsStream)
	if err != nil {
		return nil, err
	}
	recorded := make(versionSet)
	for _, record := range records {
		if len(record.Value) == 0 {
			continue
		}
		var version replica.ServiceVersion
		err := json.Unmarshal(record.Value, &version)
		if err == nil && record.Key != versionKey(version) {
			err = errOtherKey
		}
		if err != nil {
			n.logger.Warn().Str("record", record.Key).Err(err).Msg("versions: record could not be decoded")
			continue
		}
		recorded[version] = true
	}
	return recorded, nil
}

// servedAlone reports whether the store has no record of another version of the service. The records
// are read after the call, so that they are newer than any stream that a client can resume with it:
// a version is recorded before its first event. A list of any age, however short, is not.
func (n *Node) servedAlone(ctx context.Context, only replica.ServiceVersion) bool {
	readCtx, cancel := context.WithTimeout(ctx, versionsReadWait)
	defer cancel()
	recorded, err := n.versionsRead.get(readCtx)
	if err != nil {
		n.logger.Warn().Str("service", only.Service).Str("version", only.Version).Err(err).Msg("versions: not read for a stream that is resumed")
		return false
	}
	for version := range recorded {
		if version.Service == only.Service && version != only {
			return false
		}
	}
	return true
}

// listedVersions returns the versions that listed replicas have.
func (r *replicas) listedVersions() versionSet {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	listed := make(versionSet)
	for _, version := range r.set.ListedVersions() {
		listed[version] = true
	}
	return listed
}
