package history

import (
	"slices"
	"strings"
	"time"

	"birchwood.example/birchwood/api"
)

// checkCalls verifies what must hold for each call: order, at most once, true
// refusals and whole answers.
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

// checkOrder: a call starts only after every earlier call that started is
// over. It is enough to compare neighbours among the calls that started.
func (c *checker) checkOrder(program *programFacts) {
	var previous *call
	for _, each := range program.calls {
		if len(each.started) == 0 {
			continue
		}
		if previous != nil {
			over := previous.over()
			start := each.started[0]
			if over == nil || start.At.Before(over.At) {
				c.report(InvariantOrder, []*record{start, previous.started[0], over},
					"call %d of program %s started before call %d was over",
					each.ref.sequence, program.id, previous.ref.sequence)
			}
		}
		previous = each
	}
}

// checkAtMostOnce: a call that may not be repeated starts at most once, at
// whichever back end.
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

// repeatable reports whether the call may run twice: as those who submitted it
// said, who know it, else as a back end was told.
func (c *call) repeatable() bool {
	asked := false
	for _, exchange := range c.exchanges {
		if sent := exchange.sent.Sent; sent.Operation == OperationSubmit {
			if !sent.Repeatable && sent.Kind != api.CallModel {
				return false
			}
			asked = true
		}
	}
	if asked {
		return true
	}
	return slices.ContainsFunc(c.started, func(r *record) bool {
		return r.Started.Repeatable || r.Started.Kind == api.CallModel
	})
}

// checkNotRun: a back end's start of a call needs a request, sent before it,
// that was not answered as not run.
func (c *checker) checkNotRun(each *call) {
	if len(each.exchanges) == 0 {
		return
	}
	for _, start := range each.started {
		var refusals []*record
		licensed := false
		for _, exchange := range each.exchanges {
			if exchange.sent.Sent.Operation != OperationSubmit || exchange.sent.At.After(start.At) {
				continue
			}
			if !exchange.refused() {
				licensed = true
				break
			}
			refusals = append(refusals, exchange.got)
		}
		if !licensed && len(refusals) > 0 {
			c.report(InvariantNotRun, append(refusals, start),
				"call %d of program %s was refused as not run, and started at %s",
				each.ref.sequence, each.ref.program, start.Started.Backend)
		}
	}
}

// checkAnswers: a successful answer is, from its offset on, the whole output
// of an attempt at this very call; every caller of the call gets the same.
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

// produced reports whether a back end's attempt at the call ended with the
// answer. A back end whose end was not seen proves nothing.
func (c *call) produced(got *Got) bool {
	complete := 0
	for _, r := range c.finished {
		if r.Finished.Outcome != OutcomeSucceeded {
			continue
		}
		complete++
		output := r.Finished.Output
		if got.Offset <= len(output) && output[got.Offset:] == got.Output {
			return true
		}
	}
	return complete == 0
}

// checkAnswered: in a settled run every request has an answer, unless its
// connection was lost and a later request asked for the same again.
func (c *checker) checkAnswered() {
	if !c.settled {
		return
	}
	type question struct {
		operation Operation
		program   api.ProgramID
		branch    string
		key       string
	}
	answered := map[question]time.Time{}
	about := func(each *exchange) question {
		sent := each.sent.Sent
		return question{sent.Operation, sent.Program, sent.Branch, sent.Key}
	}
	for _, each := range c.exchanges {
		if each.got != nil {
			answered[about(each)] = each.got.At
		}
	}
	for _, each := range c.exchanges {
		if each.got != nil || each.lost != nil && each.lost.Lost.HungUp {
			continue
		}
		if at, found := answered[about(each)]; found && each.lost != nil && at.After(each.lost.At) {
			continue
		}
		c.report(InvariantAnswer, []*record{each.sent, each.lost},
			"request %s (%s) was never answered", each.sent.Sent.Request, each.sent.Sent.Operation)
	}
}
