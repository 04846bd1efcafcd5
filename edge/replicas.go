package edge

import (
	"context"
	"sync"
	"time"

	"birchwood.example/birchwood/gather"
	pause "birchwood.example/birchwood/internal/wait"
	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/routing"
	"birchwood.example/birchwood/upstream"
	"birchwood.example/birchwood/zone"
)

// replicas makes a replica.Set safe for concurrent use.
type replicas struct {
	mutex sync.Mutex
	set   *replica.Set
	feed  replica.Feed
	// views are the parts of the list that followers have requested recently.
	views map[replica.Group]*view
	// newestViewBase is the first change number of the newest view.
	newestViewBase uint64
	// forget drops what is kept of a replica's process in whose place another one is listed; nil in
	// tests of the list alone.
	forget func(replica.Entry)
	// totalListed is the number of replicas in the store, as reported by a reader; 0 if
	// this node holds all itself.
	totalListed int
	// changed is closed and replaced at each change of the list.
	changed chan struct{}
	// byKey are the replicas by the keys that refer to them in messages about loads.
	byKey map[gather.Key]replica.ID
}

// view is a part of the list, with the times of its last request and its last refresh.
type view struct {
	*replica.View
	requestedAt time.Time
	refreshedAt time.Time
}

// viewNumberRange is the size of the range of change numbers that each view has to itself,
// which it never exhausts.
const viewNumberRange = 1 << 32

// viewLifetime is how long a part is kept up to date after its last request.
const viewLifetime = 10 * time.Second

func newReplicas(settings *Settings) *replicas {
	config := replica.DefaultConfig(settings.Zone)
	config.Regions, config.LeaveWithin = settings.Regions, settings.LeaveWithin
	config.Disabled = disabledFactors(settings)
	return &replicas{set: replica.NewSet(config), views: make(map[replica.Group]*view), changed: make(chan struct{}),
		byKey: make(map[gather.Key]replica.ID)}
}

// disabledFactors returns the selection factors that are switched off.
func disabledFactors(settings *Settings) replica.SelectionFactors {
	return replica.SelectionFactors{
		CachedPrompts: !settings.uses(TrackCachedPrompts),
		SharedParts:   !settings.uses(EstimateSharedPrompts),
		LastReplica:   !settings.uses(KeepSessions),
		PeerLoads:     !settings.uses(CountPeerLoads),
		Estimates:     !settings.uses(EstimateLoads),
		Zones:         !settings.uses(PreferZone),
		Regions:       !settings.uses(PreferRegion),
		Connections:   !settings.uses(PreferConnections),
		Faults:        !settings.uses(AvoidFaultyReplicas),
		Suspicion:     !settings.uses(AvoidUnresponsiveReplicas),
		Cold:          !settings.uses(LimitColdReplicas),
		TokenTimes:    !settings.uses(WeighTokenTimes),
		Slack:         !settings.uses(WeighSlack),
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

// observe records a turn's measurements of its replica, and returns the range of token
// times of the replicas of its service, if known.
func (r *replicas) observe(entry replica.Entry, sample replica.Sample) (replica.TokenTimeRange, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.set.Observe(time.Now(), entry.ID, sample)
	return r.set.TokenTimeRange(entry.Service)
}

// lookup returns the entry of a replica.
func (r *replicas) lookup(id replica.ID) (replica.Entry, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.set.Lookup(id)
}

func (r *replicas) minUtilisation(request *replica.Request) float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.set.MinUtilisation(time.Now(), request)
}

// setEvacuated sets the evacuated zones, with the time since when each is.
func (r *replicas) setEvacuated(zones map[zone.Name]time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.set.SetEvacuated(zones)
}

// put applies a replica's entry. Connections to an earlier process or address of the
// replica are closed.
func (r *replicas) put(entry replica.Entry) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	before, known := r.set.Lookup(entry.ID)
	changed := r.set.Put(time.Now(), entry)
	r.key(entry.ID)
	if !changed {
		return false
	}
	after, _ := r.set.Lookup(entry.ID)
	if known && r.forget != nil && (after.Incarnation != before.Incarnation || after.Address != before.Address) {
		r.forget(before)
	}
	r.publish(replica.Change{Entry: &entry})
	return true
}

// publish passes a change on to the nodes that follow this node's list. The caller must
// hold the mutex.
func (r *replicas) publish(change replica.Change) {
	r.feed.Add(change)
	for _, view := range r.views {
		view.Apply(change)
	}
	r.wakeFollowers()
}

// wakeFollowers makes the waiting requests of followers check for changes. The caller must
// hold the mutex.
func (r *replicas) wakeFollowers() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// wake makes the waiting requests of followers check for changes other than those of
// replicas.
func (r *replicas) wake() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.wakeFollowers()
}

// await waits for changes of the list, or until the time is up. It reports whether there
// already were changes for the follower.
func (r *replicas) await(ctx context.Context, request *relayRequest, wait time.Duration) (available bool) {
	r.mutex.Lock()
	available = r.nextOf(request) != request.since
	changed := r.changed
	r.mutex.Unlock()
	if available {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
		pause.For(ctx, min(wait, changeBatchWindow))
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// nextOf returns the number of the next change to the list or part that a follower holds.
// The caller must hold the mutex.
func (r *replicas) nextOf(request *relayRequest) uint64 {
	if !request.part {
		return r.feed.Next()
	}
	return r.viewOf(request.group).Next()
}

// viewOf returns the part of a group, refreshed if replicas were added or removed. The
// caller must hold the mutex.
func (r *replicas) viewOf(group replica.Group) *view {
	now := time.Now()
	found := r.views[group]
	if found == nil {
		r.newestViewBase += viewNumberRange
		found = &view{View: replica.NewView(r.set, group, r.newestViewBase), refreshedAt: now}
		r.views[group] = found
	}
	found.requestedAt = now
	if now.Sub(found.refreshedAt) >= changeBatchWindow {
		found.refreshedAt = now
		found.Refresh(now, r.set)
	}
	for other, existing := range r.views {
		if now.Sub(existing.requestedAt) > viewLifetime {
			delete(r.views, other)
		}
	}
	return found
}

// since returns the changes since a follower's last request, or its whole list if they are
// not known, and the number for its next request.
func (r *replicas) since(request *relayRequest, known bool) (changes []replica.Change, next uint64, whole bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	if request.part {
		changes, next, whole = r.viewOf(request.group).Since(now, r.set, request.since, known)
		if !whole {
			changes = r.renewCold(changes)
		}
		return changes, next, whole
	}
	if known {
		if recent, found := r.feed.Since(request.since); found {
			return r.renewCold(recent), r.feed.Next(), false
		}
	}
	for _, entry := range r.set.Entries(now) {
		changes = append(changes, replica.Change{Entry: &entry})
	}
	return changes, r.feed.Next(), true
}

// setTotal sets the number of replicas in the store, as reported by a reader.
func (r *replicas) setTotal(total int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.totalListed = total
}

// total returns the number of replicas in the store, according to this node's view.
func (r *replicas) total() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return max(r.totalListed, r.set.Count())
}

// deferRemoval keeps an unlisted replica until a deadline, unless it is draining or
// unknown. It reports whether the replica is kept.
func (r *replicas) deferRemoval(id replica.ID, until time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.set.DeferRemoval(id, until)
}

// dueRemovals returns the replicas whose deferred removal is due.
func (r *replicas) dueRemovals() []replica.ID {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.set.DueRemovals(time.Now())
}

// count returns the number of replicas held.
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
		delete(r.byKey, gather.KeyOf(id))
		r.publish(replica.Change{Gone: id})
	}
	return entry, known
}

// ids returns the ids of all replicas, in no particular order.
func (r *replicas) ids() []replica.ID {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.set.IDs()
}

// entriesAndUnlisted returns the entries of all replicas, and those of them whose removal is
// deferred.
func (r *replicas) entriesAndUnlisted() (entries []replica.Entry, unlisted []replica.ID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.set.Entries(time.Now()), r.set.Unlisted()
}

func (r *replicas) setPeerLoads(peer string, counts map[string]int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	loads := make(map[replica.ID]int, len(counts))
	for id, count := range counts {
		loads[replica.ID(id)] = count
	}
	r.set.SetPeer(time.Now(), peer, loads)
}

// setNodes sets the number of live nodes.
func (r *replicas) setNodes(nodes int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.set.SetNodes(nodes)
}

// ownRequests returns this node's requests in progress, by replica.
func (r *replicas) ownRequests() map[string]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	counts := make(map[string]int)
	for id, count := range r.set.OwnRequests() {
		counts[string(id)] = count
	}
	return counts
}

// configure applies the engine settings of a configuration.
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
