package history

import (
	"slices"
	"strings"
	"time"

	"birchwood.example/birchwood/api"
)

// checkCalls verifies the invariants of calls: order, at-most-once, not-run and
// answer.
func (c *checker) checkCalls() {
	for _, program := range c.programs {
		c.checkOrder(program)
		for _, each := range program.calls {
			c.checkAtMostOnce(each)
			c.checkNotRun(each)
			c.checkAnswers(each)
		}
	}
	c.checkAnswered()
}

// checkOrder verifies that a call starts only after every earlier call of the
// program has ended. It is enough to compare each started call with the
// started call before it.
func (c *checker) checkOrder(program *programRecords) {
	var previous *call
	for _, each := range program.calls {
		if len(each.started) == 0 {
			continue
		}
		if previous != nil {
			endRecord := previous.endRecord()
			start := each.started[0]
			if endRecord == nil || start.At.Before(endRecord.At) {
				c.report(InvariantOrder, []*record{start, previous.started[0], endRecord},
					"call %d of program %s started before call %d was over",
					each.ref.sequence, program.id, previous.ref.sequence)
			}
		}
		previous = each
	}
}

// checkAtMostOnce verifies that a call that may not be repeated starts at most
// once, over all back ends.
func (c *checker) checkAtMostOnce(each *call) {
	if len(each.started) < 2 {
		return
	}
	if each.repeatable() {
		return
	}
	c.report(InvariantAtMostOnce, each.started,
		"call %d of program %s may not be repeated and started %d times",
		each.ref.sequence, each.ref.program, len(each.started))
}

// repeatable reports whether the call may run more than once. The submit
// requests decide; without any recorded, the attempts' own flag does.
func (c *call) repeatable() bool {
	submitted := false
	for _, exchange := range c.exchanges {
		if sent := exchange.sent.Sent; sent.Operation == OperationSubmit {
			if !sent.Repeatable && sent.Kind != api.CallModel {
				return false
			}
			submitted = true
		}
	}
	if submitted {
		return true
	}
	return slices.ContainsFunc(c.started, func(r *record) bool {
		return r.AttemptStarted.Repeatable || r.AttemptStarted.Kind == api.CallModel
	})
}

// checkNotRun verifies that before each start of a call at a back end, a
// request was sent that was not refused as not run.
func (c *checker) checkNotRun(each *call) {
	if len(each.exchanges) == 0 {
		return
	}
	for _, start := range each.started {
		var refusals []*record
		allowed := false
		for _, exchange := range each.exchanges {
			if exchange.sent.Sent.Operation != OperationSubmit || exchange.sent.At.After(start.At) {
				continue
			}
			if !exchange.refused() {
				allowed = true
				break
			}
			refusals = append(refusals, exchange.got)
		}
		if !allowed && len(refusals) > 0 {
			c.report(InvariantNotRun, append(refusals, start),
				"call %d of program %s was refused as not run, and started at %s",
				each.ref.sequence, each.ref.program, start.AttemptStarted.Backend)
		}
	}
}

// checkAnswers verifies that a successful answer is, from its offset on, the
// complete output of an attempt at this call, and that every caller of the
// call gets the same output.
func (c *checker) checkAnswers(each *call) {
	var first *record
	for _, exchange := range each.exchanges {
		if !exchange.succeeded() {
			continue
		}
		got := exchange.got
		if !each.produced(got.Got) {
			c.report(InvariantAnswer, append([]*record{got}, each.finished...),
				"request %s got an answer that no attempt at call %d of program %s produced",
				got.Got.Request, each.ref.sequence, each.ref.program)
		}
		if first != nil && first.Got.Offset == 0 && !strings.HasSuffix(first.Got.Output, got.Got.Output) {
			c.report(InvariantAnswer, []*record{first, got},
				"two callers of call %d of program %s got different answers",
				each.ref.sequence, each.ref.program)
		}
		if first == nil {
			first = got
		}
	}
}

// produced reports whether a successful attempt at the call has the answer as
// its output. It also returns true if no successful attempt was recorded, as
// the end of an attempt may go unrecorded.
func (c *call) produced(got *Got) bool {
	complete := 0
	for _, r := range c.finished {
		if r.AttemptFinished.Outcome != OutcomeSucceeded {
			continue
		}
		complete++
		output := r.AttemptFinished.Output
		if got.Offset <= len(output) && output[got.Offset:] == got.Output {
			return true
		}
	}
	return complete == 0
}

// checkAnswered verifies that in a settled run every request has an answer,
// unless the caller hung up, or its connection was lost and an identical
// request was answered after that.
func (c *checker) checkAnswered() {
	if !c.settled {
		return
	}
	type operationKey struct {
		operation Operation
		program   api.ProgramID
		branch    string
		key       string
	}
	answered := map[operationKey]time.Time{}
	keyOf := func(each *exchange) operationKey {
		sent := each.sent.Sent
		return operationKey{sent.Operation, sent.Program, sent.Branch, sent.Key}
	}
	for _, each := range c.exchanges {
		if each.got != nil {
			answered[keyOf(each)] = each.got.At
		}
	}
	for _, each := range c.exchanges {
		if each.got != nil || each.lost != nil && each.lost.Lost.HungUp {
			continue
		}
		if at, found := answered[keyOf(each)]; found && each.lost != nil && at.After(each.lost.At) {
			continue
		}
		c.report(InvariantAnswer, []*record{each.sent, each.lost},
			"request %s (%s) was never answered", each.sent.Sent.Request, each.sent.Sent.Operation)
	}
}
