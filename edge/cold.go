package edge

import (
	"context"
	"errors"
	"strconv"
	"time"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/internal/wait"
	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/tenant"
	"birchwood.example/birchwood/upstream"
)

const (
	// coldPatience is how long a request waits for the node that counts what a cold
	// replica gets: a way across zones and back, asked twice. Another replica is chosen
	// then.
	coldPatience = 100 * time.Millisecond
	// coldFresh is within what time of its question a grant is used: one that a node
	// reads later, because it stood still, would be sent in another second than the one
	// it was counted in.
	coldFresh = 150 * time.Millisecond
	// coldSilence is how long a cold replica is passed over whose counting node did not
	// answer: so that only few requests wait in vain until its loss is noticed.
	coldSilence = 250 * time.Millisecond
	// leastColdPause is how long a cold replica is passed over at least that is at its
	// rate: it bounds what many nodes with much to send ask of the one that counts, and
	// still leaves them far more questions than there are grants.
	leastColdPause = 100 * time.Millisecond
	// maximumColdAsks bounds the cold replicas that are asked for in one choice; warm
	// ones alone are chosen from then on.
	maximumColdAsks = 3
	// coldWait is how long a request waits in all where every replica is cold and at
	// its rate, and coldWaitStep how long at once: about the time in which a replica's
	// rate grows by one request.
	coldWait     = 150 * time.Millisecond
	coldWaitStep = 40 * time.Millisecond
)

// chooseWithin picks the best replica, within the rates of those that are cold.
func (n *Node) chooseWithin(r *requestState, request *replica.Request) (replica.Choice, error) {
	waitUntil := time.Now()
	if !r.beside {
		waitUntil = waitUntil.Add(min(coldWait, r.left()/2))
	}
	for asked := 0; ; {
		request.WarmOnly = asked >= maximumColdAsks
		choice, err := n.replicas.choose(request)
		switch {
		case errors.Is(err, replica.ErrColdRate) && time.Now().Add(coldWaitStep).Before(waitUntil):
			if !wait.For(n.ctx, coldWaitStep) {
				return choice, err
			}
			asked = 0
		case err != nil || choice.ColdRate == 0:
			return choice, err
		case n.askCold(r, &choice):
			n.replicas.confirm(choice.Entry.ID, request)
			return choice, nil
		default:
			n.replicas.withdraw(choice.Entry.ID)
			asked++
		}
	}
}

// askCold asks whether a cold replica may get the request now. If not, the replica is
// passed over for a while.
func (n *Node) askCold(r *requestState, choice *replica.Choice) bool {
	asked := &charge{
		asked: coordinator.Charge{Replica: string(choice.Entry.ID), Request: tenant.Request{
			ID:    n.nextOffer(),
			Limit: tenant.Limit{Rate: choice.ColdRate}, Version: r.version,
		}},
		answer: make(chan coordinator.Charged, 1),
	}
	n.metrics.coldCharged(coldAsked)
	begun := time.Now()
	n.awaitCold(asked)
	status, pause := string(asked.outcome.Status), max(asked.outcome.Decision.RetryAfter, leastColdPause)
	granted := asked.outcome.Status == coordinator.ChargeGranted
	switch {
	case granted && time.Since(begun) > coldFresh:
		n.control.post(coordinator.ChargeRefunded{Charge: asked.asked})
		status, granted = coldStale, false
	case asked.outcome.Status == coordinator.ChargeUnknown:
		pause = coldSilence
	}
	n.metrics.coldCharged(status)
	if granted {
		r.coldGrant = &asked.asked
		return true
	}
	n.replicas.pauseCold(choice.Entry.ID, pause)
	n.logger.Debug().Str("request", r.id).Str("replica", string(choice.Entry.ID)).Str("status", status).
		Str("owner", string(asked.outcome.Owner)).Dur("pause", pause).Msg("replicas: cold, not granted")
	return false
}

// nextOffer returns an id that no other offer of any node has, also none before a new
// start. A client's id would not do: one that is used again is granted for nothing.
func (n *Node) nextOffer() string {
	return n.settings.Node + "/" + strconv.FormatUint(n.self.Incarnation, 36) + "/" + strconv.FormatUint(n.coldOffers.Add(1), 36)
}

// awaitCold asks a question and takes its answer, or that there is none in time.
func (n *Node) awaitCold(asked *charge) {
	ctx, cancel := context.WithTimeout(n.ctx, coldFresh)
	defer cancel()
	n.control.charge(ctx, asked, coldPatience)
	select {
	case asked.outcome = <-asked.answer:
	case <-ctx.Done():
		asked.outcome.Status = coordinator.ChargeUnknown
	}
}

// returnCold gives back the grant of a request that a cold replica did not run.
func (n *Node) returnCold(r *requestState, id replica.ID) {
	if r.coldGrant == nil || r.coldGrant.Replica != string(id) {
		return
	}
	n.metrics.coldCharged(coldReturned)
	n.control.post(coordinator.ChargeRefunded{Charge: *r.coldGrant})
	r.coldGrant = nil
}

// hearCold takes in what an answer says of how long its replica stays cold.
func (n *Node) hearCold(id replica.ID, response *upstream.Response) {
	if n.adapter.Names.ColdLeft == "" {
		return
	}
	value := response.Header.Peek(n.adapter.Names.ColdLeft)
	if len(value) == 0 {
		return
	}
	left, err := parseMilliseconds(string(value))
	if err != nil {
		n.logger.Warn().Str("replica", string(id)).Bytes("left", value).Err(err).Msg("replicas: cold time not understood")
		return
	}
	n.replicas.hearCold(id, left)
}

// noteColdTurns writes which replicas turned cold or warm.
func (n *Node) noteColdTurns(now time.Time) {
	turns, count := n.replicas.coldTurns(now)
	n.metrics.replicasCold(count)
	for _, turn := range turns {
		message := "replicas: turned warm"
		if turn.Cold {
			message = "replicas: turned cold"
		}
		n.logger.Info().Str("replica", string(turn.ID)).Time("until", turn.Until).Str("source", turn.Source).Msg(message)
	}
}

// confirm counts a request at a cold replica that was reserved there.
func (r *replicas) confirm(id replica.ID, request *replica.Request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.set.Release(id)
	r.set.Began(time.Now(), id, request)
}

// withdraw takes back what was reserved at a cold replica.
func (r *replicas) withdraw(id replica.ID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.set.Release(id)
}

// pauseCold has a cold replica passed over that is at its rate.
func (r *replicas) pauseCold(id replica.ID, pause time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.set.PauseCold(time.Now(), id, pause)
}

// hearCold takes in what an answer says of how long its replica stays cold.
func (r *replicas) hearCold(id replica.ID, left time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	if !r.set.ExtendCold(now, id, left) {
		return
	}
	if entry, known := r.set.EntryAt(now, id); known {
		r.tell(replica.Change{Entry: &entry})
	}
}

// renewCold has changes that are passed on tell how long replicas stay cold from now. The
// mutex is held.
func (r *replicas) renewCold(changes []replica.Change) []replica.Change {
	now := time.Now()
	for index, change := range changes {
		if change.Entry == nil {
			continue
		}
		if current, known := r.set.EntryAt(now, change.Entry.ID); known {
			entry := *change.Entry
			entry.Cold = current.Cold
			changes[index].Entry = &entry
		}
	}
	return changes
}

// coldTurns returns the replicas that turned cold or warm, and how many are cold.
func (r *replicas) coldTurns(now time.Time) ([]replica.ColdTransition, int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.set.ColdTransitions(now)
}

// ColdReplicas returns how many replicas this node holds cold.
func (n *Node) ColdReplicas() int {
	n.replicas.mutex.Lock()
	defer n.replicas.mutex.Unlock()
	return n.replicas.set.ColdCount(time.Now())
}
