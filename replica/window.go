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
	// weighAll is how many replicas of a service are weighed without a window: a
	// choice among them takes some ten microseconds.
	weighAll = 128
	// windowLeast is the size of a window without load: enough that two nodes that
	// choose at the same moment seldom meet, and that the loss of some leaves others.
	windowLeast = 32
	// windowFull is the load, in requests by slots, from which on a window grows, and
	// windowEmpty the one below which it shrinks. Between them lies more than the
	// factor of two by which a step changes the load.
	windowFull  = 0.4
	windowEmpty = 0.1
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
	load     float64
	lookedAt time.Time
}

// weighable returns the replicas that a choice weighs: all of a service that is not
// large, else those of the window and the one that served the line before.
func (s *Set) weighable(now time.Time, request *Request) []*member {
	list := s.ranked[request.Service]
	if len(list) <= weighAll {
		return s.services[request.Service]
	}
	found := s.windows[request.Service]
	if found == nil {
		found = &window{size: windowLeast, lookedAt: now}
		s.windows[request.Service] = found
	}
	found.size = min(found.size, len(list))
	if now.Sub(found.lookedAt) >= windowPeriod {
		found.look(now, s.fullness(now, list[:found.size]), len(list))
	}
	weighed := list[:found.size:found.size]
	if last := s.byID[request.Preferred]; last != nil && last.entry.Service == request.Service && !slices.Contains(weighed, last) {
		weighed = append(weighed, last)
	}
	return weighed
}

// look takes in a window's load, and fits its size to it.
func (w *window) look(now time.Time, load float64, most int) {
	w.lookedAt = now
	w.load += windowWeight * (load - w.load)
	switch {
	case w.load > windowFull && w.size < most:
		w.resize(min(2*w.size, most))
	case w.load < windowEmpty && w.size > windowLeast:
		w.resize(max(w.size/2, windowLeast))
	}
}

// resize changes a window's size; the load spreads over as many more or fewer.
func (w *window) resize(size int) {
	w.load *= float64(w.size) / float64(size)
	w.size = size
}

// widen doubles the window of a service of which so many replicas were weighed in vain.
// It reports whether there are more to weigh.
func (s *Set) widen(service string, weighed int) bool {
	list := s.ranked[service]
	if weighed >= len(list) {
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
func (s *Set) fullness(now time.Time, members []*member) float64 {
	view := s.viewAt(now, members)
	load, slots := 0.0, 0
	for _, one := range members {
		load += view.load(one)
		slots += max(1, one.entry.Slots)
	}
	return load / float64(max(1, slots))
}

// link enters a replica into the lists of its service.
func (s *Set) link(added *member) {
	service := added.entry.Service
	added.place = len(s.services[service])
	s.services[service] = append(s.services[service], added)
	s.enrank(added)
}

// unlink takes a replica off the lists of its service. The last one takes its place.
func (s *Set) unlink(known *member) {
	service := known.entry.Service
	list := s.services[service]
	last := list[len(list)-1]
	list[known.place], last.place = last, known.place
	list[len(list)-1] = nil
	s.services[service] = list[:len(list)-1]
	s.unrank(known)
}

// enrank enters a replica into the ranking of its service.
func (s *Set) enrank(added *member) {
	s.zones[added.entry.Zone]++
	list := s.ranked[added.entry.Service]
	place, _ := slices.BinarySearchFunc(list, added, s.compare)
	s.ranked[added.entry.Service] = slices.Insert(list, place, added)
}

// unrank takes a replica off the ranking of its service.
func (s *Set) unrank(known *member) {
	if s.zones[known.entry.Zone]--; s.zones[known.entry.Zone] <= 0 {
		delete(s.zones, known.entry.Zone)
	}
	list := s.ranked[known.entry.Service]
	if place, found := slices.BinarySearchFunc(list, known, s.compare); found {
		s.ranked[known.entry.Service] = slices.Delete(list, place, place+1)
	}
}

// compare ranks the replicas of a service: those of this node's zone first.
func (s *Set) compare(left, right *member) int {
	leftHere, rightHere := left.entry.Zone == s.config.Zone, right.entry.Zone == s.config.Zone
	if leftHere != rightHere {
		if leftHere {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(left.rank, right.rank), cmp.Compare(left.entry.ID, right.entry.ID))
}

// rankIn orders a replica among others, alike for all nodes of a group in a zone.
func rankIn(zone string, group int, id ID) uint64 {
	digest := xxhash.New()
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], uint64(group))
	// Writes to a digest return no error.
	_, _ = digest.WriteString(zone)
	_, _ = digest.Write(number[:])
	_, _ = digest.WriteString(string(id))
	return digest.Sum64()
}
