package edge

import (
	"sync"
	"time"

	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/routing"
	"birchwood.example/birchwood/upstream"
)

// replicas guards a replica.Set for the goroutines of traffic.
type replicas struct {
	mutex sync.Mutex
	set   *replica.Set
}

func newReplicas(zone string) *replicas {
	return &replicas{set: replica.NewSet(replica.DefaultConfig(zone))}
}

func (r *replicas) choose(request *replica.Request) (replica.Choice, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	choice, err := r.set.Select(now, request)
	if err == nil {
		r.set.Began(now, choice.Entry.ID, request.Prompt)
	}
	return choice, err
}

func (r *replicas) ended(id replica.ID, result replica.Result) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.set.Ended(time.Now(), id, result)
}

func (r *replicas) pressure(service string) float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.set.Pressure(service)
}

func (r *replicas) put(entry replica.Entry) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.set.Put(entry)
}

func (r *replicas) remove(id replica.ID) (replica.Entry, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.set.Remove(id)
}

func (r *replicas) entries() []replica.Entry {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.set.Entries()
}

func (r *replicas) setPeer(peer string, counts map[string]int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	loads := make(map[replica.ID]int, len(counts))
	for id, count := range counts {
		loads[replica.ID(id)] = count
	}
	r.set.SetPeer(time.Now(), peer, loads)
}

// own returns this node's requests under way, by replica.
func (r *replicas) own() map[string]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	counts := make(map[string]int)
	for id, count := range r.set.Own() {
		counts[string(id)] = count
	}
	return counts
}

// configure takes in what a configuration says of engines.
func (r *replicas) configure(table *routing.Table) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for name, service := range table.Services {
		r.set.SetCacheTokens(name, service.CacheTokens)
	}
}

func targetOf(entry replica.Entry) upstream.Target {
	return upstream.Target{Identity: string(entry.ID), Address: entry.Address}
}
