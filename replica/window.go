package replica

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A node of a large fleet sends a small share of the requests of its zone. If each
// node chose among all replicas, nearly every request would open a connection and
// have an engine read a prompt that another one keeps, and a choice would cost what
// the service has replicas. The nodes of a zone weigh a window of the same replicas
// instead, as many as their load needs.
const (
	// windowThreshold is how many replicas of a service are weighed without a window: a
	// choice among them takes some ten microseconds.
	windowThreshold = 128
	// minimumWindow is the size of a window without load: enough that two nodes that
	// choose at the same moment seldom meet, and that the loss of some leaves others.
	minimumWindow = 32
	// windowGrowLoad is the load, in requests by slots, from which on a window grows, and
	// windowShrinkLoad the one below which it shrinks. Between them lies more than the
	// factor of two by which a step changes the load.
	windowGrowLoad   = 0.4
	windowShrinkLoad = 0.1
	// windowPeriod is the least time between two looks at a window's load, and
	// windowWeight the share of a look in the mean of the last ones: reports of a few
	// peers stand for all, and one look is noisy.
	windowPeriod = 250 * time.Millisecond
	windowWeight = 0.2
)

// window is how many replicas of a large service are weighed: the first of those ranked.
type window struct {
	size int
	// load is the mean load of late, in requests by slots.
	load      float64
	updatedAt time.Time
}

// weighable returns the replicas that a choice weighs: all of a service that is not
// large, else those of the window and the one that served the line before.
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
	if previous := s.byID[request.Preferred]; previous != nil && previous.entry.Service == request.Service && !slices.Contains(selected, previous) {
		selected = append(selected, previous)
	}
	return selected
}

// look takes in a window's load, and fits its size to it.
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

// resize changes a window's size; the load spreads over as many more or fewer.
func (w *window) resize(size int) {
	w.load *= float64(w.size) / float64(size)
	w.size = size
}

// widen doubles the window of a service of which so many replicas were weighed in vain.
// It reports whether there are more to weigh.
func (s *Set) growWindow(service string, evaluated int) bool {
	list := s.ranked[service]
	if evaluated >= len(list) {
		return false
	}
	found := s.windows[service]
	if found == nil || found.size >= len(list) {
		return false
	}
	found.resize(min(2*found.size, len(list)))
	return true
}

// fullness returns the mean load of some replicas, in requests by slots.
func (s *Set) meanLoad(now time.Time, members []*member) float64 {
	loads := s.estimateLoads(now, members)
	load, slots := 0.0, 0
	for _, m := range members {
		load += loads.load(m)
		slots += max(1, m.entry.Slots)
	}
	return load / float64(max(1, slots))
}

// link enters a replica into the lists of its service.
func (s *Set) addToService(added *member) {
	service := added.entry.Service
	added.index = len(s.services[service])
	s.services[service] = append(s.services[service], added)
	s.insertRanked(added)
}

// unlink takes a replica off the lists of its service. The last one takes its place.
func (s *Set) removeFromService(known *member) {
	service := known.entry.Service
	list := s.services[service]
	last := list[len(list)-1]
	list[known.index], last.index = last, known.index
	list[len(list)-1] = nil
	s.services[service] = list[:len(list)-1]
	s.removeRanked(known)
}

// enrank enters a replica into the ranking of its service.
func (s *Set) insertRanked(added *member) {
	s.zoneCounts[added.entry.Zone]++
	list := s.ranked[added.entry.Service]
	place, _ := slices.BinarySearchFunc(list, added, s.compareRank)
	s.ranked[added.entry.Service] = slices.Insert(list, place, added)
}

// unrank takes a replica off the ranking of its service.
func (s *Set) removeRanked(known *member) {
	if s.zoneCounts[known.entry.Zone]--; s.zoneCounts[known.entry.Zone] <= 0 {
		delete(s.zoneCounts, known.entry.Zone)
	}
	list := s.ranked[known.entry.Service]
	if place, found := slices.BinarySearchFunc(list, known, s.compareRank); found {
		s.ranked[known.entry.Service] = slices.Delete(list, place, place+1)
	}
}

// compare ranks the replicas of a service: those of this node's zone first.
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

// rankHash orders a replica among others, alike for all nodes of a group in a zone.
func rankHash(zone string, group int, id ID) uint64 {
	digest := xxhash.New()
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], uint64(group))
	// Writes to a digest return no error.
	_, _ = digest.WriteString(zone)
	_, _ = digest.Write(number[:])
	_, _ = digest.WriteString(string(id))
	return digest.Sum64()
}
