package replica

import "time"

// peerLoad is what another node has under way.
type peerLoad struct {
	at     time.Time
	counts map[ID]int
}

// SetPeer takes in the requests that a peer has under way.
func (s *Set) SetPeer(now time.Time, peer string, counts map[ID]int) {
	if s.config.Without.PeerLoads {
		return
	}
	s.dropPeer(peer)
	s.expirePeers(now)
	s.peers[peer] = peerLoad{at: now, counts: counts}
	s.countPeer(counts, 1)
}

// expirePeers drops reports that are too old to count.
func (s *Set) expirePeers(now time.Time) {
	for peer, load := range s.peers {
		if now.Sub(load.at) > s.config.PeerLoadLifetime {
			s.dropPeer(peer)
		}
	}
}

// dropPeer takes a peer's report back.
func (s *Set) dropPeer(peer string) {
	s.countPeer(s.peers[peer].counts, -1)
	delete(s.peers, peer)
}

// countPeer adds a report to the replicas' counts, or takes it off.
func (s *Set) countPeer(counts map[ID]int, sign int) {
	for id, count := range counts {
		if known := s.byID[id]; known != nil {
			known.peers += sign * count
		}
	}
}

// peersAt returns what the reports that count say of one replica.
func (s *Set) peersAt(id ID) (count int) {
	for _, load := range s.peers {
		count += load.counts[id]
	}
	return count
}

// peerView is what the reports of peers say of the loads of one service: in a large
// fleet, those of some peers for all.
type peerView struct {
	// heard is the share of the peers whose reports count, and mean the requests
	// of all peers at a replica, by those reports.
	heard float64
	mean  float64
	// word is what a collector told of the loads, or nil, and still the share of the
	// requests it told of that have not ended since.
	word  *heardWord
	still float64
	// level is the load up to which emptier replicas have been filled since the word.
	level float64
}

// loadShape is the shape of the gamma distribution that the loads of a service's
// replicas are taken to follow: with 2 the deviation is 0.7 of the mean, which is
// what lines of turns that stay at their replica make it.
const loadShape = 2

// viewAt sums up what is known of the loads of the replicas of a service that are
// weighed: a collector's word, or else the reports of peers.
func (s *Set) viewAt(now time.Time, weighed []*member) peerView {
	if s.worded(now) {
		return s.viewOfWord(now, weighed)
	}
	return s.viewOf(weighed)
}

// viewOf sums up the reports for the replicas of a service that are weighed.
func (s *Set) viewOf(weighed []*member) peerView {
	view := peerView{heard: 1}
	if others := s.nodes - 1; others > 0 && !s.config.Without.Estimates {
		view.heard = min(1, float64(len(s.peers))/float64(others))
	}
	if view.heard == 0 || len(weighed) == 0 {
		return view
	}
	seen := 0
	for _, one := range weighed {
		seen += one.peers
	}
	view.mean = float64(seen) / view.heard / float64(len(weighed))
	return view
}

// load estimates the requests at a replica: this node's own, those that peers told
// of, and what the silent peers add by a Poisson draw whose rate follows from both
// the service's mean and what was seen here.
func (v peerView) load(one *member) float64 {
	if v.word != nil {
		return float64(one.own) + max(v.kept(one), v.level)
	}
	known := float64(one.own + one.peers)
	if v.heard >= 1 || v.mean == 0 {
		return known
	}
	rate := (loadShape + float64(one.peers)) / (loadShape/v.mean + v.heard)
	return known + (1-v.heard)*rate
}
