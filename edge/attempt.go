package edge

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/dispatch"
	"birchwood.example/birchwood/ingress"
	"birchwood.example/birchwood/quarantine"
	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/routing"
	"birchwood.example/birchwood/upstream"
)

// maximumAttempts bounds the replicas that one request is sent to.
const maximumAttempts = 6

// suspectAfter is the minimum time that an attempt must have been unanswered for its
// replica to be counted as timed out when the request's deadline passes.
const suspectAfter = time.Second

// resultForStatus classifies a status as an answer or as an error of the replica itself.
func resultForStatus(status int) replica.Result {
	if status >= fasthttp.StatusInternalServerError {
		return replica.ResultErred
	}
	return replica.ResultAnswered
}

// retry decides where a request runs next after a run that broke off: on another replica,
// or, once it has run on as many replicas as its route permits, on the same one.
func (r *requestState) retry(entry replica.Entry, runs int) {
	if runs < r.route.Attempts() {
		r.excluded = append(r.excluded, entry.ID)
		return
	}
	r.onlyReplica, r.onlyIncarnation = entry.ID, entry.Incarnation
}

func failureReason(err error) string {
	if err == nil {
		return "the replica's answer is not signed"
	}
	return err.Error()
}

// chooseReplica selects the next replica for the request and counts the request there.
func (n *Node) chooseReplica(r *requestState, table *routing.Table) (replica.Entry, error) {
	if err := n.checkStop(r); err != nil {
		return replica.Entry{}, err
	}
	n.updateProgress(r)
	request := n.selectionRequest(r)
	request.MaxPerNode, request.Draw = n.maxPerNode(table, r.service), n.draw()
	request.Connected = func(entry replica.Entry) bool { return n.pool.HasIdle(targetOf(entry)) }
	choice, err := n.choosePermitted(r, request)
	if err != nil {
		n.metrics.choiceRefused(err)
		return replica.Entry{}, err
	}
	r.choice = choice
	if choice.LeftEvacuatedZone {
		n.metrics.sessionMoved()
	}
	r.attempts++
	r.sentAt = time.Now()
	return choice.Entry, nil
}

// choosePermitted selects a replica at which the request may run, and begins the run. A marked
// request passes over replicas that ended and those at which other marked requests run, as long
// as there are others.
func (n *Node) choosePermitted(r *requestState, request *replica.Request) (replica.Choice, error) {
	if n.isMarked(r) {
		request.Avoided = n.suspects.avoidedBy(r.fingerprint)
	}
	unsettledUntil := minTime(time.Now().Add(unsettledWait), r.deadline)
	for crowded := 0; ; crowded++ {
		choice, err := n.chooseWithinColdRates(r, request)
		if err != nil {
			return choice, err
		}
		verdict := n.beginRun(r, &choice, crowded >= maxCrowded)
		if verdict == quarantine.VerdictGranted {
			return choice, nil
		}
		n.replicas.ended(choice.Entry.ID, replica.ResultCancelled)
		n.refundColdGrant(r, choice.Entry.ID)
		switch verdict {
		case quarantine.VerdictCrowded:
			request.Avoided = append(append(request.Avoided, n.suspects.avoidedBy(r.fingerprint)...), choice.Entry.ID)
			n.awaitRestart(r)
		case quarantine.VerdictLimit:
			return choice, errQuarantined
		case quarantine.VerdictUnsettled:
			if !n.awaitSettled(r, unsettledUntil) {
				return choice, errUnsettled
			}
		default:
			return choice, errUnsettled
		}
	}
}

// isMarked reports whether replicas may have ended under the request.
func (n *Node) isMarked(r *requestState) bool {
	if n.suspects == nil {
		return false
	}
	_, marked := n.suspects.status(r.fingerprint)
	return marked
}

// selectionRequest describes the request for the selection of a replica.
func (n *Node) selectionRequest(r *requestState) *replica.Request {
	request := &replica.Request{
		Service: r.service, Program: r.program, Prompt: r.prompt, Preferred: r.preferred, PreferredCached: r.preferredCached,
		Only: r.onlyReplica, OnlyIncarnation: r.onlyIncarnation, Constraint: r.constraint, Excluded: r.excluded, ExpectedTokens: n.expectedTokens(r), SpeedBias: r.speedBias,
	}
	if r.origin != nil {
		request.FixedVersion, request.Version = true, r.origin.Version
	}
	return request
}

// attemptRejected records that a replica did not run the request.
func (n *Node) attemptRejected(r *requestState, entry replica.Entry, result replica.Result) {
	n.replicas.ended(entry.ID, result)
	n.refundColdGrant(r, entry.ID)
	if r.onlyReplica == entry.ID && result == replica.ResultFailed {
		// No connection: the replica has ended or cannot be reached.
		r.onlyReplica = ""
	}
	r.excluded = append(r.excluded, entry.ID)
}

// endIfAbandoned ends a request whose client has left or whose deadline has passed, and
// reports whether it did. The replica has already been notified by the closed connection.
func (n *Node) endIfAbandoned(r *requestState, entry replica.Entry) bool {
	if errors.Is(r.exchange.Cancel.Cause(), ingress.ErrClientGone) {
		n.replicas.ended(entry.ID, replica.ResultCancelled)
		r.abort("the client has left")
		return true
	}
	if r.timeLeft() > 0 {
		return false
	}
	result := replica.ResultCancelled
	if time.Since(r.sentAt) > suspectAfter {
		result = replica.ResultTimedOut
	}
	n.replicas.ended(entry.ID, result)
	r.fail(fasthttp.StatusGatewayTimeout, "the time of the request is up", 0)
	return true
}

// failWithoutReplica ends a request for which no replica is (left) available.
func (n *Node) failWithoutReplica(r *requestState, err error, runs int) {
	reason := err.Error()
	if runs > 0 {
		r.fail(fasthttp.StatusBadGateway, reason, 0)
		return
	}
	n.refuse(r, n.refusalFor(r, err), reason)
}

// refusalFor returns why there is no replica for a request that has not run.
func (n *Node) refusalFor(r *requestState, err error) dispatch.Refusal {
	switch {
	case errors.Is(err, errQuarantined):
		return n.quarantineRefusal(r)
	case errors.Is(err, errStopping):
		return dispatch.Refusal{Cause: dispatch.CauseStopping, EndsIn: retrySoon}
	case errors.Is(err, errUnsettled):
		return dispatch.Refusal{Cause: dispatch.CauseUnsettled}
	case errors.Is(err, replica.ErrEvacuated):
		return dispatch.Refusal{Cause: dispatch.CauseEvacuated}
	case !errors.Is(err, replica.ErrNoReplica) || len(r.excluded) > 0:
		return dispatch.Refusal{Cause: dispatch.CauseRejected}
	case !n.syncedReplicas.Load():
		return dispatch.Refusal{Cause: dispatch.CauseStarting, EndsIn: n.retryAfterStart()}
	default:
		return dispatch.Refusal{Cause: dispatch.CauseNoReplica}
	}
}

// notExecuted reports whether the answer guarantees that the request was not run.
func (n *Node) notExecuted(response *upstream.Response) bool {
	return n.misdirected(response) || len(response.Header.Peek(n.adapter.Names.NotExecuted)) > 0
}

// misdirected reports whether another process than the expected one rejected the request.
func (n *Node) misdirected(response *upstream.Response) bool {
	return response.Status() == fasthttp.StatusMisdirectedRequest
}

// mayRelay reports whether the answer may be relayed to the client: a successful one only
// if it is signed.
func (n *Node) mayRelay(response *upstream.Response) bool {
	status := response.Status()
	if status < fasthttp.StatusOK || status >= fasthttp.StatusMultipleChoices {
		return true
	}
	return len(response.Header.Peek(n.adapter.Names.Seal)) > 0
}
