package replica

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A node of a large fleet sends a small share of the requests of its zone. If each node
// selected from all replicas, nearly every request would open a connection and prefill a prompt
// that another replica has cached, and the cost of a selection would grow with the service.
// Instead, the nodes of a zone select from a window of the same replicas, sized to their load.
const (
	// windowThreshold is the largest service that is evaluated without a window. A selection
	// among this many replicas takes about ten microseconds.
	windowThreshold = 128
	// minimumWindow is the size of a window without load. It is large enough that two nodes
	// that select at the same time rarely choose the same replica, and that some replicas may
	// fail.
	minimumWindow = 32
	// A window grows when its load, in requests per slot, exceeds windowGrowLoad, and shrinks
	// when it is below windowShrinkLoad. They differ by more than the factor of two by which a
	// resize changes the load.
	windowGrowLoad   = 0.4
	windowShrinkLoad = 0.1
	// windowPeriod is the minimum time between two updates of a window's load. windowWeight is
	// the weight of the latest load in the moving average; a single load is noisy because the
	// reports of a few peers are extrapolated to all.
	windowPeriod = 250 * time.Millisecond
	windowWeight = 0.2
)

// window determines how many replicas of a large service are candidates: the first size
// replicas by rank.
type window struct {
	size int
	// load is the moving average of the load, in requests per slot.
	load      float64
	updatedAt time.Time
}

// selectCandidates returns the candidates for a request: all replicas of a small service, or
// those in the window and the replica that served the session's previous turn.
func (s *Set) selectCandidates(now time.Time, request *Request) []*member {
	list := s.ranked[request.Service]
	if len(list) <= windowThreshold {
		return s.services[request.Service]
	}
	found := s.windows[request.Service]
	if found == nil {
		found = &window{size: minimumWindow, updatedAt: now}
		s.windows[request.Service] = found
	}
	found.size = min(found.size, len(list))
	if now.Sub(found.updatedAt) >= windowPeriod {
		found.update(now, s.meanLoad(now, list[:found.size]), len(list))
	}
	selected := list[:found.size:found.size]
	if request.FixedVersion {
		selected = ofVersion(list, request.Version, found.size)
	}
	if previous := s.byID[request.Preferred]; previous != nil && previous.entry.Service == request.Service && !slices.Contains(selected, previous) {
		selected = append(selected, previous)
	}
	return selected
}

// ofVersion returns the first count replicas of a version, or all if there are fewer.
func ofVersion(list []*member, version string, count int) (selected []*member) {
	selected = make([]*member, 0, count)
	for _, m := range list {
		if len(selected) == count {
			break
		}
		if m.entry.Version == version {
			selected = append(selected, m)
		}
	}
	return selected
}

// update applies the current load of the window and adjusts its size. maximum is the number of
// replicas of the service.
func (w *window) update(now time.Time, load float64, maximum int) {
	w.updatedAt = now
	w.load += windowWeight * (load - w.load)
	switch {
	case w.load > windowGrowLoad && w.size < maximum:
		w.resize(min(2*w.size, maximum))
	case w.load < windowShrinkLoad && w.size > minimumWindow:
		w.resize(max(w.size/2, minimumWindow))
	}
}

// resize changes the size of the window and scales its load accordingly.
func (w *window) resize(size int) {
	w.load *= float64(w.size) / float64(size)
	w.size = size
}

// growWindow doubles the window of a service after evaluated replicas turned out to be
// insufficient. It reports whether there are more to evaluate.
func (s *Set) growWindow(request *Request, evaluated int) bool {
	list := s.ranked[request.Service]
	if evaluated >= len(list) {
		return false
	}
	found := s.windows[request.Service]
	if found == nil || found.size >= len(list) {
		return false
	}
	if request.FixedVersion && evaluated < found.size {
		// All replicas of the version were evaluated.
		return false
	}
	found.resize(min(2*found.size, len(list)))
	return true
}

// meanLoad returns the mean load of the given replicas, in requests per slot.
func (s *Set) meanLoad(now time.Time, members []*member) float64 {
	loads := s.estimateLoads(now, members)
	load, slots := 0.0, 0
	for _, m := range members {
		load += loads.load(m)
		slots += max(1, m.entry.Slots)
	}
	return load / float64(max(1, slots))
}

// addToService adds a replica to the lists of its service.
func (s *Set) addToService(added *member) {
	service := added.entry.Service
	added.index = len(s.services[service])
	s.services[service] = append(s.services[service], added)
	s.insertRanked(added)
}

// removeFromService removes a replica from the lists of its service. The last replica of the
// unordered list takes its position.
func (s *Set) removeFromService(known *member) {
	service := known.entry.Service
	list := s.services[service]
	last := list[len(list)-1]
	list[known.index], last.index = last, known.index
	list[len(list)-1] = nil
	s.services[service] = list[:len(list)-1]
	s.removeRanked(known)
}

// insertRanked inserts a replica into the ranked list of its service.
func (s *Set) insertRanked(added *member) {
	s.zoneCounts[added.entry.Zone]++
	list := s.ranked[added.entry.Service]
	place, _ := slices.BinarySearchFunc(list, added, s.compareRank)
	s.ranked[added.entry.Service] = slices.Insert(list, place, added)
}

// removeRanked removes a replica from the ranked list of its service.
func (s *Set) removeRanked(known *member) {
	if s.zoneCounts[known.entry.Zone]--; s.zoneCounts[known.entry.Zone] <= 0 {
		delete(s.zoneCounts, known.entry.Zone)
	}
	list := s.ranked[known.entry.Service]
	if place, found := slices.BinarySearchFunc(list, known, s.compareRank); found {
		s.ranked[known.entry.Service] = slices.Delete(list, place, place+1)
	}
}

// compareRank orders the replicas of a service, those of this node's zone first.
func (s *Set) compareRank(left, right *member) int {
	leftLocal, rightLocal := left.entry.Zone == s.config.Zone, right.entry.Zone == s.config.Zone
	if leftLocal != rightLocal {
		if leftLocal {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(left.rank, right.rank), cmp.Compare(left.entry.ID, right.entry.ID))
}

// rankHash returns a replica's rank, which is the same for all nodes of a group in a zone.
func rankHash(zone string, group int, id ID) uint64 {
	digest := xxhash.New()
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], uint64(group))
	// Writes to a digest never return an error.
	_, _ = digest.WriteString(zone)
	_, _ = digest.Write(number[:])
	_, _ = digest.WriteString(string(id))
	return digest.Sum64()
}
