package edge

import (
	"context"
	"sync"
	"time"

	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/routing"
	"birchwood.example/birchwood/upstream"
	"birchwood.example/birchwood/zone"
)

// replicas guards a replica.Set for the goroutines of traffic.
type replicas struct {
	mutex sync.Mutex
	set   *replica.Set
	feed  replica.Feed
	// changed is closed and replaced at each change of the list.
	changed chan struct{}
}

func newReplicas(settings *Settings) *replicas {
	config := replica.DefaultConfig(settings.Zone)
	config.Regions, config.LeaveWithin = settings.Regions, settings.LeaveWithin
	config.Without = partsWithout(settings)
	return &replicas{set: replica.NewSet(config), changed: make(chan struct{})}
}

// partsWithout returns the parts of the choice that are switched off.
func partsWithout(settings *Settings) replica.Parts {
	return replica.Parts{
		KeptPrompts: !settings.uses(FollowPrompts),
		SharedParts: !settings.uses(AssumeShared),
		LastReplica: !settings.uses(FollowLines),
		PeerLoads:   !settings.uses(CountPeers),
		Estimates:   !settings.uses(EstimateLoads),
		Zones:       !settings.uses(PreferZone),
		Regions:     !settings.uses(PreferRegion),
		Connections: !settings.uses(PreferConnections),
		Faults:      !settings.uses(RememberFaults),
		Suspicion:   !settings.uses(SuspectSilent),
		Cold:        !settings.uses(LimitCold),
	}
}

func (r *replicas) choose(request *replica.Request) (replica.Choice, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	choice, err := r.set.Select(now, request)
	switch {
	case err != nil:
	case choice.ColdRate > 0:
		r.set.Reserve(choice.Entry.ID)
	default:
		r.set.Began(now, choice.Entry.ID, request)
	}
	return choice, err
}

func (r *replicas) ended(id replica.ID, result replica.Result) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.set.Ended(time.Now(), id, result)
}

func (r *replicas) pressure(request *replica.Request) float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.set.Pressure(time.Now(), request)
}

// setEvacuated tells which zones are to get no requests, and since when.
func (r *replicas) setEvacuated(zones map[zone.Name]time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.set.SetEvacuated(zones)
}

func (r *replicas) put(entry replica.Entry) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	changed := r.set.Put(time.Now(), entry)
	if changed {
		r.tell(replica.Change{Entry: &entry})
	}
	return changed
}

// tell has those that follow this node's list hear of a change. The mutex is
// held.
func (r *replicas) tell(change replica.Change) {
	r.feed.Add(change)
	close(r.changed)
	r.changed = make(chan struct{})
}

// await returns once there are changes from a number on, or the time is up.
func (r *replicas) await(ctx context.Context, since uint64, wait time.Duration) {
	r.mutex.Lock()
	waiting, changed := r.feed.Next() == since, r.changed
	r.mutex.Unlock()
	if !waiting {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// since returns the changes from a number on, or the whole list where they are
// not known, and the number to ask for next.
func (r *replicas) since(number uint64, known bool) (changes []replica.Change, next uint64, whole bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known {
		if kept, found := r.feed.Since(number); found {
			return r.renewCold(kept), r.feed.Next(), false
		}
	}
	for _, entry := range r.set.Entries(time.Now()) {
		changes = append(changes, replica.Change{Entry: &entry})
	}
	return changes, r.feed.Next(), true
}

// doubt keeps a replica that is not listed for a while, if it may live.
func (r *replicas) doubt(id replica.ID, until time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.set.Doubt(id, until)
}

// doubted returns the replicas whose doubt is over.
func (r *replicas) doubted() []replica.ID {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.set.Doubted(time.Now())
}

// count returns how many replicas are listed.
func (r *replicas) count() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.set.Count()
}

func (r *replicas) remove(id replica.ID) (replica.Entry, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	entry, known := r.set.Remove(id)
	if known {
		r.tell(replica.Change{Gone: id})
	}
	return entry, known
}

func (r *replicas) entries() []replica.Entry {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.set.Entries(time.Now())
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

// setNodes tells how many nodes are live.
func (r *replicas) setNodes(nodes int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.set.SetNodes(nodes)
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
		r.set.SetColdRate(name, service.ColdRate)
	}
}

func targetOf(entry replica.Entry) upstream.Target {
	return upstream.Target{Identity: string(entry.ID), Address: entry.Address}
}
