package promise

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// failedAttemptsPerBreach is the number of consecutive attempts of a program that must fail in a
// fault-free period for a breach: one more than a client's retries.
const failedAttemptsPerBreach = 4

// HTTP statuses that have a check of their own.
const (
	statusUnauthorized   = 401
	statusBudgetSpent    = 402
	statusNotFound       = 404
	statusTooMany        = 429
	statusBadGateway     = 502
	statusGatewayTimeout = 504
)

func (c *Checker) answer(at time.Time, event Answered) {
	sent := c.requests[event.ID]
	if sent == nil || sent.answered {
		return
	}
	sent.answered, sent.answeredAt, sent.status, sent.complete = true, at, event.Status, event.Complete
	if meansNotRun(event.Status) && sent.runs > 0 {
		c.addBreach(at, TrueRefusals, sent, "", fmt.Sprintf("answered %d after it ran on %v", event.Status, sent.replicas))
	}
	if succeeded(event.Status) {
		c.checkBody(at, sent, event)
		c.checkVersions(at, sent, event)
		c.checkConfigRollback(at, sent)
	}
	c.checkQuarantine(at, sent, event)
	c.checkBudget(at, sent, event)
	c.compareStreams(at, sent, event)
	switch event.Status {
	case statusUnauthorized:
		c.checkDenial(at, sent)
	case statusBudgetSpent:
		c.checkProgramEnd(at, sent)
	case statusNotFound:
		c.checkStoredTurn(at, sent)
	}
	c.checkServed(at, sent)
}

// checkBody checks an answer against the output of the runs of its request.
func (c *Checker) checkBody(at time.Time, sent *request, event Answered) {
	if sent.runs == 0 {
		c.addBreach(at, WholeAnswers, sent, "", fmt.Sprintf("answered %d, though no replica ran it", event.Status))
		return
	}
	if sent.Events == 0 {
		if event.Complete && !strings.HasSuffix(event.Body, " for "+sent.ID) {
			c.addBreach(at, WholeAnswers, sent, "", fmt.Sprintf("got %q", shorten(event.Body)))
		}
		return
	}
	matches := slices.ContainsFunc(c.allVersions, func(version string) bool {
		want := completeStream(sent.ID, version, sent.After, sent.Events)
		return event.Body == want || !event.Complete && strings.HasPrefix(want, event.Body)
	})
	switch {
	case matches:
	case event.Complete:
		c.addBreach(at, WholeAnswers, sent, "", fmt.Sprintf("got %q as whole", shorten(event.Body)))
	default:
		c.addBreach(at, WholeAnswers, sent, "", fmt.Sprintf("got %q before it broke off", shorten(event.Body)))
	}
}

// checkBudget checks that the tokens delivered to a program do not exceed its budget by more
// than one turn.
func (c *Checker) checkBudget(at time.Time, sent *request, event Answered) {
	prog := c.programs[sent.Program]
	if prog == nil || !succeeded(event.Status) {
		return
	}
	sent.tokens = strings.Count(event.Body, "\n\n") * c.config.TokensPerEvent
	prog.deliveredTokens += sent.tokens
	if sent.tokens > 0 && prog.deliveredTokens > sent.Budget+sent.MaxTokens {
		c.addBreach(at, Budget, sent, "", fmt.Sprintf("program %s got %d tokens of %d + %d", sent.Program, prog.deliveredTokens, sent.Budget, sent.MaxTokens))
	}
}

// checkProgramEnd checks that a program that is refused for its budget had less than one
// turn left. Turns that ran count with their maximum tokens, unless they ended completely
// more than Settle ago.
func (c *Checker) checkProgramEnd(at time.Time, ended *request) {
	prog := c.programs[ended.Program]
	if prog == nil {
		return
	}
	used := 0
	for _, turn := range prog.turns {
		switch {
		case turn == ended || turn.runs == 0:
		case turn.answered && turn.complete && turn.answeredAt.Before(at.Add(-c.config.Settle)):
			used += turn.tokens
		default:
			used += turn.MaxTokens
		}
	}
	if used+ended.MaxTokens <= ended.Budget {
		c.addBreach(at, NoEarlyEnd, ended, "", fmt.Sprintf("program %s used at most %d of %d, one turn being %d", ended.Program, used, ended.Budget, ended.MaxTokens))
	}
}

// checkStoredTurn checks an answer 404. A request without a previous turn that must be served
// has to find its route, and one with a previous turn has to find it while it is stored.
func (c *Checker) checkStoredTurn(at time.Time, sent *request) {
	previous := c.requests[sent.Previous]
	switch {
	case sent.Previous == "":
		if sent.MustServe {
			c.addBreach(at, StoredTurns, sent, "", "404 for a request on a route that all configurations have")
		}
	case previous == nil || previous.Tenant != sent.Tenant:
	case previous.complete && succeeded(previous.status) && sent.at.Before(previous.answeredAt.Add(c.config.Retention)):
		c.addBreach(at, StoredTurns, sent, "", fmt.Sprintf("turn %s was answered whole %s before, and is not found", previous.ID, sent.at.Sub(previous.answeredAt)))
	}
}

// checkDenial checks that a refused key was not valid for longer than ApplyBound. It records
// refusals of revoked keys for checkConfigRollback.
func (c *Checker) checkDenial(at time.Time, sent *request) {
	if _, revoked := c.revoked[sent.Key]; revoked {
		c.denied[denial{process{sent.Node, sent.Incarnation}, sent.Key}] = at
		return
	}
	since, valid := c.added[sent.Key]
	if valid && sent.at.After(since.Add(c.config.ApplyBound)) {
		c.addBreach(at, ValidKeys, sent, "", fmt.Sprintf("key %q was added %s before the request was sent, and is refused", sent.Key, sent.at.Sub(since)))
	}
}

// checkConfigRollback checks that a process does not accept a key that it has refused as
// revoked before.
func (c *Checker) checkConfigRollback(at time.Time, sent *request) {
	denied, before := c.denied[denial{process{sent.Node, sent.Incarnation}, sent.Key}]
	if before && sent.at.After(denied) {
		c.addBreach(at, NoConfigRollback, sent, "", fmt.Sprintf("key %q works again %s after the same process refused it as taken away", sent.Key, sent.at.Sub(denied)))
	}
}

// hasOpenTurn reports whether a turn of the program is unanswered, and so may hold the rest
// of its budget.
func (p *program) hasOpenTurn() bool {
	return slices.ContainsFunc(p.turns, func(turn *request) bool { return !turn.answered })
}

// checkServed counts consecutive failed attempts of a program in fault-free periods, except
// while another turn of it may hold the rest of its budget.
func (c *Checker) checkServed(at time.Time, sent *request) {
	prog := c.programs[sent.Program]
	if prog == nil || !sent.MustServe || sent.LeaveAfter > 0 && succeeded(sent.status) {
		return
	}
	if sent.complete && succeeded(sent.status) || sent.status == statusBudgetSpent || sent.status == statusTooMany {
		prog.failedAttempts = 0
		return
	}
	if !sent.faultFree || !c.disturbances.faultFree(at, c.config.Recovery) || prog.hasOpenTurn() {
		return
	}
	prog.failedAttempts++
	if prog.failedAttempts == failedAttemptsPerBreach {
		c.addBreach(at, ServedAgain, sent, "", fmt.Sprintf("%d attempts of program %s in a row failed (now with %d) though nothing was disturbed for %s",
			prog.failedAttempts, sent.Program, sent.status, c.config.Recovery))
	}
}
