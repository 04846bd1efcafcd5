package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"birchwood.example/birchwood/platform/standin"
	"birchwood.example/birchwood/soak/promise"
)

// Parameters of the answers that replicas end early.
const (
	// cutShare is the share of a schedule's faults that come with replicas that end answers
	// early, and cutReplicas the number of these.
	cutShare    = 0.5
	cutReplicas = 3
	// cutsPerReplica is the number of answers that one of them ends early.
	cutsPerReplica = 8
	// maxStreamCutBytes and maxPlainCutBytes bound the part of a body that is sent; the
	// bodies are about as long.
	maxStreamCutBytes = 140
	maxPlainCutBytes  = 16
	// killedEntryTime is how long the entry of a killed replica stays in the store.
	killedEntryTime = time.Second
	// brokenShare is the probability that a turn is sent that continues a broken one.
	brokenShare = 0.5
	// cutSalt makes the cuts independent of the other faults of the seed.
	cutSalt = 3 << 32
)

// framings are those of the replicas' answers, in rotation.
var framings = []standin.Framing{
	standin.Library, standin.UntilClose, standin.Library, standin.AnnouncedClose, standin.Chunked, standin.Sized,
}

// cutFramings are those of answers that end early.
var cutFramings = []standin.Framing{standin.Chunked, standin.Sized, standin.UntilClose, standin.AnnouncedClose}

// Cuts draws replicas that end answers early, beside the faults of a schedule. It is
// deterministic for a given scenario.
func Cuts(scenario Scenario, faults []Fault) (cuts []Fault) {
	random := rand.New(rand.NewPCG(scenario.Seed, cutSalt+uint64(scenario.Nodes)))
	for _, fault := range faults {
		if fault.Kind == ReplicaDrain || random.Float64() >= cutShare {
			continue
		}
		cuts = append(cuts, Fault{Kind: ReplicaCut, AtMS: fault.AtMS, ForMS: fault.ForMS, Targets: draw(random, scenario.Replicas, cutReplicas)})
	}
	return cuts
}

// drawCuts draws answers that a replica ends early. Each of them shows, or its replica's end
// does, that it was broken off: a stream that ends in order does so inside an event, and a
// plain body only short of the length or chunks that it has.
func (s *soak) drawCuts(replica *standin.Replica) (cuts []standin.Cut) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for range cutsPerReplica {
		cut := standin.Cut{
			Framing: cutFramings[s.cutRandom.IntN(len(cutFramings))],
			Ending:  standin.Ending(s.cutRandom.IntN(standin.Endings)),
		}
		inOrder := cut.Ending == standin.Orderly || cut.Ending == standin.Delimited
		if replica.Events > 0 {
			cut.InsideEvent = inOrder
			cut.After = s.cutRandom.IntN(maxStreamCutBytes)
		} else {
			cut.After = s.cutRandom.IntN(maxPlainCutBytes)
			if cut.Ending == standin.Delimited || inOrder && cut.Framing.EndsByClose() {
				cut.Ending = standin.Reset
			}
		}
		cuts = append(cuts, cut)
	}
	return cuts
}

// replicaKilled replaces a replica that was killed. Until its entry goes, nodes still try it.
func (s *soak) replicaKilled(replica *standin.Replica) {
	s.mutex.Lock()
	stopped := s.proxies[replica.ID]
	s.mutex.Unlock()
	stopped.stopAccepting()
	s.record(promise.Disturbance{Scope: replica.ID, Begin: true})
	s.replacing.Go(func() {
		time.Sleep(killedEntryTime)
		s.replaceOrReport(replica)
		s.record(promise.Disturbance{Scope: replica.ID})
	})
}

// continueBroken occasionally sends a turn that continues one that broke off for its client.
// Nodes may refuse it, or have stored the whole turn; nothing is built on a part of it.
func (s *soak) continueBroken(ctx context.Context, broken promise.Sent) {
	if ctx.Err() != nil || !broken.Stored || !s.chance(brokenShare) {
		return
	}
	next := broken
	next.ID, next.Previous, next.MustServe = s.nextID("b"), broken.ID, false
	next.Program, next.Body = s.nextID("p"), fmt.Sprintf("input of %s;", next.ID)
	s.send(s.pickNode(), http.MethodPost, next)
}
