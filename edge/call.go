package edge

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/dispatch"
	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/routing"
	"birchwood.example/birchwood/upstream"
)

// callRun runs one request whose answer is relayed whole, on as many replicas as it takes.
// A request that may run more than once is sent again (hedged) when its answer is late; the
// first answer counts. callRun is used by one goroutine.
type callRun struct {
	node    *Node
	request *requestState
	table   *routing.Table

	// inFlight are the attempts without a result, the newest last.
	inFlight []*callAttempt
	results  chan callResult
	// runs counts the attempts that may have run, attempts all of them.
	runs     int
	attempts int
	// repeats counts the attempts that were sent while another one was in flight.
	repeats int
}

// callAttempt is one attempt, at one replica.
type callAttempt struct {
	choice replica.Choice
	sentAt time.Time
	cancel *upstream.Cancel
	flight *flight
}

// callResult is how an attempt ended.
type callResult struct {
	attempt  *callAttempt
	response *upstream.Response
	body     []byte
	err      error
}

// maximumRepeats bounds how often a late call is sent again.
const maximumRepeats = 2

// serveCall serves a request whose answer is relayed whole.
func (n *Node) serveCall(r *requestState, table *routing.Table) {
	ctx, cancel := context.WithDeadline(n.ctx, r.deadline)
	defer cancel()
	n.beginCharge(ctx, r)
	if !n.endCharge(ctx, r) {
		return
	}
	run := &callRun{node: n, request: r, table: table, results: make(chan callResult, maximumRepeats+1)}
	run.perform()
}

// perform runs the call and answers the client.
func (c *callRun) perform() {
	defer c.cancelInFlight()
	defer c.recordRuns()
	for {
		if len(c.inFlight) == 0 {
			if err := c.startAttempt(); err != nil {
				c.node.failWithoutReplica(c.request, err, c.runs)
				return
			}
		}
		result, arrived := c.await()
		if !arrived {
			c.repeatLate()
			continue
		}
		if c.handleResult(result) {
			return
		}
	}
}

// recordRuns marks the request as run if a replica may have run it.
func (c *callRun) recordRuns() {
	if c.runs > 0 {
		c.request.markRun()
	}
}

// startAttempt sends the call to the currently best replica.
func (c *callRun) startAttempt() error {
	n, r := c.node, c.request
	if c.attempts >= maximumAttempts || r.timeLeft() <= 0 {
		return errAllRefused
	}
	r.attemptInFlight = len(c.inFlight) > 0
	entry, err := n.chooseReplica(r, c.table)
	if err != nil {
		return err
	}
	c.attempts++
	c.runs++
	attempt := &callAttempt{choice: r.choice, sentAt: r.sentAt, cancel: r.exchange.Cancel, flight: r.flight}
	c.inFlight = append(c.inFlight, attempt)
	request := n.replicaRequest(r, entry, r.exchange.Body, "")
	if !c.repeatable() {
		c.results <- n.performCall(attempt, request)
		return nil
	}
	attempt.cancel = r.exchange.Cancel.Child()
	go func() { c.results <- n.performCall(attempt, request) }()
	return nil
}

// performCall sends a call and reads the whole answer.
func (n *Node) performCall(attempt *callAttempt, request *upstream.Request) callResult {
	response, err := n.pool.Send(targetOf(attempt.choice.Entry), request, attempt.cancel)
	result := callResult{attempt: attempt, response: response, err: err}
	if err != nil {
		return result
	}
	n.observeColdStatus(attempt.choice.Entry.ID, response)
	n.replicaAnswered(attempt.choice.Entry, attempt.sentAt, response)
	if n.notExecuted(response) {
		response.Discard()
		return result
	}
	result.body, result.err = response.ReadAll()
	return result
}

// repeatable reports whether the call may be sent while an attempt is in flight.
func (c *callRun) repeatable() bool {
	return c.request.route.Repeatable() && c.node.settings.uses(RepeatLateCalls)
}

// await returns the next result, or false once the newest attempt is late.
func (c *callRun) await() (callResult, bool) {
	if !c.repeatable() || c.repeats >= maximumRepeats {
		return <-c.results, true
	}
	newest := c.inFlight[len(c.inFlight)-1]
	timer := time.NewTimer(time.Until(newest.sentAt.Add(c.node.lateAfter(c.request.route))))
	defer timer.Stop()
	select {
	case result := <-c.results:
		return result, true
	case <-timer.C:
		return callResult{}, false
	}
}

// repeatLate sends a late call once more: to another replica, or, once it is on as many
// replicas as its route permits, to the same one.
func (c *callRun) repeatLate() {
	c.repeats++
	r := c.request
	if c.node.isMarked(r) {
		// A second run beside the first might end another replica.
		return
	}
	retry := dispatch.DecideRepeat(c.lateCall())
	c.node.metrics.callLate(retry.String())
	if retry != dispatch.RepeatSent || !c.node.callStats.mayRepeat() {
		return
	}
	newest := c.inFlight[len(c.inFlight)-1]
	r.retry(newest.choice.Entry, c.runs)
	if err := c.startAttempt(); err == nil {
		r.repeats++
		c.node.metrics.callRepeated()
	}
}

// lateCall returns the inputs of the decision to repeat the call.
func (c *callRun) lateCall() *dispatch.LateCall {
	lateCall := &dispatch.LateCall{Left: c.request.timeLeft()}
	if c.node.settings.uses(RepeatWithCapacity) {
		lateCall.TypicalDuration = c.node.callStats.typicalDuration(c.request.route)
		lateCall.Utilisation = c.node.replicas.minUtilisation(c.node.selectionRequest(c.request))
	}
	return lateCall
}

// handleResult handles the end of an attempt. It reports whether the request is over.
func (c *callRun) handleResult(result callResult) (over bool) {
	n, r := c.node, c.request
	c.removeInFlight(result.attempt)
	n.noteBody(r, result.response)
	entry := result.attempt.choice.Entry
	if upstream.NotSent(result.err) {
		return c.attemptNotRun(result.attempt, replica.ResultFailed)
	}
	if result.err == nil && n.notExecuted(result.response) {
		return c.attemptNotRun(result.attempt, replica.ResultRejected)
	}
	if result.err == nil && n.mayRelay(result.response) {
		r.choice = result.attempt.choice
		status := result.response.Status()
		c.runAnswered(result.attempt, status)
		n.replicas.ended(entry.ID, resultForStatus(status))
		n.callStats.observeAnswer(r.route, time.Since(result.attempt.sentAt), status)
		r.status = status
		r.reason = "answered"
		r.exchange.Relay(&result.response.Header, result.body)
		return true
	}
	return c.attemptFailed(result)
}

// runAnswered ends the run of an attempt that was answered whole.
func (c *callRun) runAnswered(attempt *callAttempt, status int) {
	if status < fasthttp.StatusMultipleChoices {
		c.node.runServed(c.request, attempt.flight)
		return
	}
	c.node.runEnded(attempt.flight)
}

// attemptNotRun handles an attempt that certainly did not run.
func (c *callRun) attemptNotRun(attempt *callAttempt, result replica.Result) (over bool) {
	n, r := c.node, c.request
	n.runEnded(attempt.flight)
	c.runs--
	if len(c.inFlight) > 0 {
		// The other attempts continue; sending the call to a further replica might be one
		// too many.
		n.replicas.ended(attempt.choice.Entry.ID, result)
		c.repeats = maximumRepeats
		return false
	}
	if result == replica.ResultFailed && n.endIfAbandoned(r, attempt.choice.Entry) {
		return true
	}
	n.attemptRejected(r, attempt.choice.Entry, result)
	return false
}

// attemptFailed handles an attempt that may have run but has no complete answer.
func (c *callRun) attemptFailed(result callResult) (over bool) {
	n, r := c.node, c.request
	entry := result.attempt.choice.Entry
	n.runFailed(r, result.attempt.flight, n.newBrokenRun(r, entry, result.attempt.sentAt, result.err))
	if len(c.inFlight) > 0 && r.exchange.Cancel.Cause() == nil {
		n.replicas.ended(entry.ID, replica.ResultFailed)
		return false
	}
	if n.endIfAbandoned(r, entry) {
		return true
	}
	n.replicas.ended(entry.ID, replica.ResultFailed)
	if !r.route.Repeatable() || c.runs > r.route.Attempts()+c.repeats {
		r.fail(fasthttp.StatusBadGateway, failureReason(result.err), 0)
		return true
	}
	r.retry(entry, c.runs)
	return false
}

// removeInFlight removes an attempt that has ended from those in flight.
func (c *callRun) removeInFlight(attempt *callAttempt) {
	for index, inFlight := range c.inFlight {
		if inFlight == attempt {
			c.inFlight = append(c.inFlight[:index], c.inFlight[index+1:]...)
			return
		}
	}
}

// cancelInFlight cancels the attempts whose result is no longer needed. Their replicas
// notice the closed connections.
func (c *callRun) cancelInFlight() {
	clientGone := c.request.exchange.Cancel.Cause() != nil
	for _, attempt := range c.inFlight {
		attempt.cancel.Trigger(errSuperseded)
		c.node.runFailed(c.request, attempt.flight, c.node.newBrokenRun(c.request, attempt.choice.Entry, attempt.sentAt, errSuperseded))
		result := replica.ResultCancelled
		if !clientGone && time.Since(attempt.sentAt) >= c.node.lateAfter(c.request.route) {
			result = replica.ResultTimedOut
		}
		c.node.replicas.ended(attempt.choice.Entry.ID, result)
	}
}
