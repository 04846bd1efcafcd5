package replica

import "time"

// peerReport is what another node has under way.
type peerReport struct {
	receivedAt time.Time
	counts     map[ID]int
}

// SetPeer takes in the requests that a peer has under way.
func (s *Set) SetPeer(now time.Time, peer string, counts map[ID]int) {
	if s.config.Without.PeerLoads {
		return
	}
	s.dropPeerReport(peer)
	s.expirePeerReports(now)
	s.peerRequests[peer] = peerReport{receivedAt: now, counts: counts}
	s.addPeerCounts(counts, 1)
}

// expirePeerReports drops reports that are too old to count.
func (s *Set) expirePeerReports(now time.Time) {
	for peer, load := range s.peerRequests {
		if now.Sub(load.receivedAt) > s.config.PeerLoadLifetime {
			s.dropPeerReport(peer)
		}
	}
}

// dropPeerReport takes a peer's report back.
func (s *Set) dropPeerReport(peer string) {
	s.addPeerCounts(s.peerRequests[peer].counts, -1)
	delete(s.peerRequests, peer)
}

// addPeerCounts adds a report to the replicas' counts, or takes it off.
func (s *Set) addPeerCounts(counts map[ID]int, sign int) {
	for id, count := range counts {
		if known := s.byID[id]; known != nil {
			known.peerRequests += sign * count
		}
	}
}

// peerRequestsAt returns what the reports that count say of one replica.
func (s *Set) peerRequestsAt(id ID) (count int) {
	for _, load := range s.peerRequests {
		count += load.counts[id]
	}
	return count
}

// loadEstimate is what the reports of peers say of the loads of one service: in a large
// fleet, those of some peers for all.
type loadEstimate struct {
	// heard is the share of the peers whose reports count, and mean the requests
	// of all peers at a replica, by those reports.
	coverage     float64
	meanRequests float64
	// word is what a collector told of the loads, or nil, and still the share of the
	// requests it told of that have not ended since.
	summary        *receivedSummary
	remainingShare float64
	// level is the load up to which emptier replicas have been filled since the word.
	fillLevel float64
}

// loadShape is the shape of the gamma distribution that the loads of a service's
// replicas are taken to follow: with 2 the deviation is 0.7 of the mean, which is
// what lines of turns that stay at their replica make it.
const loadShape = 2

// estimateLoads sums up what is known of the loads of the replicas of a service that are
// weighed: a collector's word, or else the reports of peers.
func (s *Set) estimateLoads(now time.Time, candidates []*member) loadEstimate {
	if s.summaryIsRecent(now) {
		return s.estimateFromSummary(now, candidates)
	}
	return s.estimateFromReports(candidates)
}

// estimateFromReports sums up the reports for the replicas of a service that are weighed.
func (s *Set) estimateFromReports(candidates []*member) loadEstimate {
	estimate := loadEstimate{coverage: 1}
	if others := s.nodeCount - 1; others > 0 && !s.config.Without.Estimates {
		estimate.coverage = min(1, float64(len(s.peerRequests))/float64(others))
	}
	if estimate.coverage == 0 || len(candidates) == 0 {
		return estimate
	}
	sum := 0
	for _, m := range candidates {
		sum += m.peerRequests
	}
	estimate.meanRequests = float64(sum) / estimate.coverage / float64(len(candidates))
	return estimate
}

// load estimates the requests at a replica: this node's own, those that peers told
// of, and what the silent peers add by a Poisson draw whose rate follows from both
// the service's mean and what was seen here.
func (e loadEstimate) load(m *member) float64 {
	if e.summary != nil {
		return float64(m.ownRequests) + max(e.remaining(m), e.fillLevel)
	}
	known := float64(m.ownRequests + m.peerRequests)
	if e.coverage >= 1 || e.meanRequests == 0 {
		return known
	}
	rate := (loadShape + float64(m.peerRequests)) / (loadShape/e.meanRequests + e.coverage)
	return known + (1-e.coverage)*rate
}
