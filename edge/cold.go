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
	// coldChargeTimeout is how long a request waits for a cold replica's counting node: two
	// round trips between zones. Another replica is selected after that.
	coldChargeTimeout = 100 * time.Millisecond
	// coldGrantLifetime is how long after the request for it a grant may be used. A grant
	// that is read later, for example after the process was suspended, would be used in
	// another second than the one it was counted in.
	coldGrantLifetime = 150 * time.Millisecond
	// coldUnresponsivePause is how long a cold replica is skipped whose counting node did
	// not answer, so that few requests wait in vain before the node's failure is detected.
	coldUnresponsivePause = 250 * time.Millisecond
	// minimumColdPause is the minimum time that a cold replica is skipped when it is at its
	// rate. It limits the load that many busy nodes put on the counting node, and still
	// allows far more requests for grants than there are grants.
	minimumColdPause = 100 * time.Millisecond
	// maximumColdRequests bounds the cold replicas for which a grant is requested in one
	// selection; after that, only warm ones are considered.
	maximumColdRequests = 3
	// coldWait is how long a request waits in total if every replica is cold and at its
	// rate, and coldWaitStep the time between two tries: about the time in which a
	// replica's rate grows by one request.
	coldWait     = 150 * time.Millisecond
	coldWaitStep = 40 * time.Millisecond
)

// chooseWithinColdRates selects the best replica within the rates of the cold ones.
func (n *Node) chooseWithinColdRates(r *requestState, request *replica.Request) (replica.Choice, error) {
	waitUntil := time.Now()
	if !r.attemptInFlight {
		waitUntil = waitUntil.Add(min(coldWait, r.timeLeft()/2))
	}
	for requested := 0; ; {
		request.WarmOnly = requested >= maximumColdRequests
		choice, err := n.replicas.choose(request)
		switch {
		case errors.Is(err, replica.ErrColdRate) && time.Now().Add(coldWaitStep).Before(waitUntil):
			if !wait.For(n.ctx, coldWaitStep) {
				return choice, err
			}
			requested = 0
		case err != nil || choice.ColdRate == 0:
			return choice, err
		case n.requestColdGrant(r, &choice):
			n.replicas.confirmReservation(choice.Entry.ID, request)
			return choice, nil
		default:
			n.replicas.releaseReservation(choice.Entry.ID)
			requested++
		}
	}
}

// requestColdGrant reports whether a cold replica may be sent the request now. If not, the
// replica is skipped for a while.
func (n *Node) requestColdGrant(r *requestState, choice *replica.Choice) bool {
	request := &charge{
		request: coordinator.Charge{Replica: string(choice.Entry.ID), Request: tenant.Request{
			ID:    n.nextColdChargeID(),
			Limit: tenant.Limit{Rate: choice.ColdRate}, Version: r.version,
		}},
		answer: make(chan coordinator.Charged, 1),
	}
	n.metrics.coldCharged(coldRequested)
	start := time.Now()
	n.awaitColdGrant(request)
	status, pause := string(request.outcome.Status), max(request.outcome.Decision.RetryAfter, minimumColdPause)
	granted := request.outcome.Status == coordinator.ChargeGranted
	switch {
	case granted && time.Since(start) > coldGrantLifetime:
		n.control.post(coordinator.ChargeRefunded{Charge: request.request})
		status, granted = coldStale, false
	case request.outcome.Status == coordinator.ChargeUnknown:
		pause = coldUnresponsivePause
	}
	n.metrics.coldCharged(status)
	if granted {
		r.coldGrant = &request.request
		return true
	}
	n.replicas.pauseCold(choice.Entry.ID, pause)
	n.logger.Debug().Str("request", r.id).Str("replica", string(choice.Entry.ID)).Str("status", status).
		Str("owner", string(request.outcome.Owner)).Dur("pause", pause).Msg("replicas: cold replica not granted")
	return false
}

// nextColdChargeID returns an id that is unique among the charges of all nodes and of all
// processes of this node. A client's id would not do: a repeated id is granted without
// being counted again.
func (n *Node) nextColdChargeID() string {
	return n.settings.Node + "/" + strconv.FormatUint(n.self.Incarnation, 36) + "/" + strconv.FormatUint(n.coldChargeCount.Add(1), 36)
}

// awaitColdGrant requests a charge and waits for the answer; without one in time, the
// status is ChargeUnknown.
func (n *Node) awaitColdGrant(request *charge) {
	ctx, cancel := context.WithTimeout(n.ctx, coldGrantLifetime)
	defer cancel()
	n.control.charge(ctx, request, coldChargeTimeout)
	select {
	case request.outcome = <-request.answer:
	case <-ctx.Done():
		request.outcome.Status = coordinator.ChargeUnknown
	}
}

// refundColdGrant refunds the grant of a request that a cold replica did not run.
func (n *Node) refundColdGrant(r *requestState, id replica.ID) {
	if r.coldGrant == nil || r.coldGrant.Replica != string(id) {
		return
	}
	n.metrics.coldCharged(coldRefunded)
	n.control.post(coordinator.ChargeRefunded{Charge: *r.coldGrant})
	r.coldGrant = nil
}

// observeColdStatus reads from an answer how long its replica stays cold.
func (n *Node) observeColdStatus(id replica.ID, response *upstream.Response) {
	if n.adapter.Names.ColdLeft == "" {
		return
	}
	value := response.Header.Peek(n.adapter.Names.ColdLeft)
	if len(value) == 0 {
		return
	}
	left, err := parseMilliseconds(string(value))
	if err != nil {
		n.logger.Warn().Str("replica", string(id)).Bytes("left", value).Err(err).Msg("replicas: invalid cold time")
		return
	}
	n.replicas.observeColdStatus(id, left)
}

// logColdTransitions logs which replicas turned cold or warm.
func (n *Node) logColdTransitions(now time.Time) {
	transitions, count := n.replicas.coldTransitions(now)
	n.metrics.replicasCold(count)
	for _, transition := range transitions {
		message := "replicas: turned warm"
		if transition.Cold {
			message = "replicas: turned cold"
		}
		n.logger.Info().Str("replica", string(transition.ID)).Time("until", transition.Until).Str("source", transition.Source).Msg(message)
	}
}

// confirmReservation turns the reservation at a cold replica into a request in progress.
func (r *replicas) confirmReservation(id replica.ID, request *replica.Request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.set.Release(id)
	r.set.Began(time.Now(), id, request)
}

// releaseReservation releases the reservation at a cold replica.
func (r *replicas) releaseReservation(id replica.ID) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.set.Release(id)
}

// pauseCold makes the selection skip a cold replica that is at its rate.
func (r *replicas) pauseCold(id replica.ID, pause time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.set.PauseCold(time.Now(), id, pause)
}

// observeColdStatus updates how long a replica stays cold.
func (r *replicas) observeColdStatus(id replica.ID, left time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	if !r.set.ExtendCold(now, id, left) {
		return
	}
	if entry, known := r.set.EntryAt(now, id); known {
		r.publish(replica.Change{Entry: &entry})
	}
}

// renewCold updates the remaining cold times in changes that are passed on. The caller must
// hold the mutex.
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

// coldTransitions returns the replicas that turned cold or warm, and the number of cold
// ones.
func (r *replicas) coldTransitions(now time.Time) ([]replica.ColdTransition, int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.set.ColdTransitions(now)
}

// RequestsAtReplicas returns the number of this node's requests that count as in progress at
// replicas.
func (n *Node) RequestsAtReplicas() (count int) {
	for _, requests := range n.replicas.ownRequests() {
		count += requests
	}
	return count
}

// ColdReplicas returns the number of replicas that this node considers cold.
func (n *Node) ColdReplicas() int {
	n.replicas.mutex.Lock()
	defer n.replicas.mutex.Unlock()
	return n.replicas.set.ColdCount(time.Now())
}
