//go:build review

package standin

import (
	"fmt"
	"strings"
	"time"

	"birchwood.example/birchwood/recordstore"
)

// The case of entries that lack fields.
const (
	// foreignRounds is how often another writer overwrites the entry.
	foreignRounds = 3
	// nodesRead is the time in which the nodes have read an entry.
	nodesRead = 700 * time.Millisecond
)

// foreign: another writer overwrites the entry of a replica of a plain service by one that lacks
// fields and names the model service. It names no replica to use: no turn may run there.
func foreign(d *deployment) (held bool, err error) {
	for range 6 {
		if _, err := d.startReplica("model", oldVersion, "-events", fmt.Sprint(streamEvents), "-step", streamStep.String()); err != nil {
			return false, err
		}
	}
	plain, err := d.startReplica("plain", oldVersion)
	if err != nil {
		return false, err
	}
	d.configure(route(streamPath, "streaming", "model", streamRest), route(plainPath, "unsafe", "plain", plainRouteRest))
	if err := d.startNodes(3); err != nil {
		return false, err
	}
	for range foreignRounds {
		if d.trouble {
			d.overwriteEntry(plain, fmt.Sprintf(`{"service":"model","addr":%q,"zone":%q,"slots":8,"state":"ready"}`, plain.address, plain.zone))
		}
		time.Sleep(nodesRead)
		d.sendStreams(func() {})
	}
	return d.countForeignRuns(plain) == 0, nil
}

// overwriteEntry writes an entry under a replica's id, right after the replica's own heartbeat.
// The next heartbeat restores the replica's entry.
func (d *deployment) overwriteEntry(r *replica, entry string) {
	beat := d.lastBeat(r)
	_ = until(2*heartbeat, func() bool { return d.lastBeat(r) != beat })
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.entries[r.id] = entry
	d.write(recordstore.StreamReplicas, r.id, []byte(entry))
	d.note("another writer: entry of %s: %s", r.id, entry)
}

func (d *deployment) lastBeat(r *replica) time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.beats[r.id]
}

// countForeignRuns returns how many turns ran at a replica of another service.
func (d *deployment) countForeignRuns(r *replica) (count int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for id, at := range d.ranAt {
		if strings.HasPrefix(at, r.id+",") {
			count++
			d.note("ROUTE: request %s ran at %s of service %s: %s", id, r.id, r.service, at)
		}
	}
	d.note("%d turns ran at a replica of another service", count)
	return count
}
