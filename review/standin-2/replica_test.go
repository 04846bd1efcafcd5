//go:build review

package standin2

import (
	"fmt"
	"math/rand/v2"
	"time"

	"birchwood.example/birchwood/platform/standin"
)

// The services of the stand-ins' configuration.
const (
	plainService = "plain"
	modelService = "model"
)

// replica is a stand-in of a replica, which keeps itself in the store.
type replica struct {
	*standin.Replica
	listed bool
}

// addReplica starts a replica, which writes its entry with each heartbeat while the store is up.
func (b *bed) addReplica(prepare func(*standin.Replica)) (*replica, error) {
	b.mutex.Lock()
	id := fmt.Sprintf("i-%08x", len(b.replicas)+1)
	b.mutex.Unlock()
	r := &replica{Replica: &standin.Replica{
		ID: id, Service: plainService, Zone: "zone-a", Version: "1", Born: uint64(time.Now().UnixMilli()), Echo: true,
	}, listed: true}
	prepare(r.Replica)
	if err := r.Start(); err != nil {
		return nil, err
	}
	b.mutex.Lock()
	b.replicas = append(b.replicas, r)
	b.mutex.Unlock()
	go b.keepListed(r)
	return r, nil
}

// keepListed writes the entry of a replica about every heartbeat, each replica at its own moments.
func (b *bed) keepListed(r *replica) {
	if b.writeEntry(r) {
		time.Sleep(time.Duration(rand.Float64() * float64(heartbeat)))
	}
	for b.writeEntry(r) {
		time.Sleep(time.Duration((0.95 + 0.1*rand.Float64()) * float64(heartbeat)))
	}
}

func (b *bed) writeEntry(r *replica) (again bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.closed || !r.listed {
		return false
	}
	if !b.gate.isShut() {
		b.system.PutEntry(r.Replica, "ready")
	}
	return true
}

// unlist removes the entry of a replica that leaves. The store has taken that when unlist returns.
func (b *bed) unlist(r *replica) time.Time {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	r.listed = false
	b.system.RemoveEntry(r.Replica)
	return time.Now()
}
