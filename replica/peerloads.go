package replica

import "time"

// peerReport holds the requests in flight that a peer reported, by replica.
type peerReport struct {
	receivedAt time.Time
	counts     map[ID]int
}

// SetPeer replaces the reported requests in flight of a peer.
func (s *Set) SetPeer(now time.Time, peer string, counts map[ID]int) {
	if s.config.Disabled.PeerLoads {
		return
	}
	s.dropPeerReport(peer)
	s.expirePeerReports(now)
	s.peerRequests[peer] = peerReport{receivedAt: now, counts: counts}
	s.addPeerCounts(counts, 1)
}

// expirePeerReports drops reports that are older than PeerLoadLifetime.
func (s *Set) expirePeerReports(now time.Time) {
	for peer, report := range s.peerRequests {
		if now.Sub(report.receivedAt) > s.config.PeerLoadLifetime {
			s.dropPeerReport(peer)
		}
	}
}

// dropPeerReport removes a peer's report and subtracts it from the replicas' counts.
func (s *Set) dropPeerReport(peer string) {
	s.addPeerCounts(s.peerRequests[peer].counts, -1)
	delete(s.peerRequests, peer)
}

// addPeerCounts adds the counts of a report to the replicas, or subtracts them with sign -1.
func (s *Set) addPeerCounts(counts map[ID]int, sign int) {
	for id, count := range counts {
		if known := s.byID[id]; known != nil {
			known.peerRequests += sign * count
		}
	}
}

// peerRequestsAt returns the requests at one replica according to the reports of peers.
func (s *Set) peerRequestsAt(id ID) (count int) {
	for _, report := range s.peerRequests {
		count += report.counts[id]
	}
	return count
}

// loadEstimate estimates the loads of one service's replicas. In a large fleet it extrapolates
// from the reports of some peers.
type loadEstimate struct {
	// coverage is the share of the other nodes that the reports or the load summary cover.
	// meanRequests is the estimated mean number of requests of all other nodes per replica.
	coverage     float64
	meanRequests float64
	// summary is the load summary, or nil if the estimate is based on the reports of peers.
	// remainingShare is the share of the summary's requests that have not ended since.
	summary        *receivedSummary
	remainingShare float64
	// fillLevel is the load up to which the less loaded replicas have been filled since the
	// load summary.
	fillLevel float64
}

// loadShape is the shape parameter of the gamma distribution that the loads of a service's
// replicas are assumed to follow. With 2, the standard deviation is 0.7 of the mean, which
// results from sessions that stay at their replica.
const loadShape = 2

// estimateLoads estimates the loads of the candidates, from a recent load summary if there is
// one, else from the reports of peers.
func (s *Set) estimateLoads(now time.Time, candidates []*member) loadEstimate {
	if s.summaryIsRecent(now) {
		return s.estimateFromSummary(now, candidates)
	}
	return s.estimateFromReports(candidates)
}

// estimateFromReports estimates the loads of the candidates from the reports of peers.
func (s *Set) estimateFromReports(candidates []*member) loadEstimate {
	estimate := loadEstimate{coverage: 1}
	if others := s.nodeCount - 1; others > 0 && !s.config.Disabled.Estimates {
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

// load estimates the requests at a replica. Without a load summary, these are the requests of
// this node, those that peers reported, and the expected requests of the remaining peers: the
// mean of a Poisson distribution whose rate combines the service's mean (as a gamma prior) with
// the requests reported for this replica.
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
