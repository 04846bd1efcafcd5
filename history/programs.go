package history

import (
	"github.com/cespare/xxhash/v2"

	"birchwood.example/birchwood/api"
)

// checkPrograms verifies the invariants of programs: history and budget.
func (c *checker) checkPrograms() {
	for _, program := range c.programs {
		c.checkReads(program)
		c.checkPrompts(program)
	}
	c.checkBudgets()
}

// checkReads verifies that each read of a history contains every call that was
// acknowledged before the read was sent, in order and with the call's own
// input and output, and that an ended call is the same in all later reads.
func (c *checker) checkReads(program *programRecords) {
	latest := map[uint64]ReadCall{}
	for _, read := range program.reads {
		readCalls := map[uint64]ReadCall{}
		last := uint64(0)
		for _, each := range read.Read.Calls {
			if each.Sequence <= last {
				c.report(InvariantHistory, []*record{read},
					"history of program %s shows call %d after call %d", program.id, each.Sequence, last)
			}
			last = each.Sequence
			readCalls[each.Sequence] = each
			before, found := latest[each.Sequence]
			if found && before.Status.Terminal() && before != each {
				c.report(InvariantHistory, []*record{read},
					"history of program %s changed at call %d", program.id, each.Sequence)
			}
			latest[each.Sequence] = each
		}
		c.checkReadAgainstCalls(program, read, readCalls)
	}
}

// checkReadAgainstCalls compares one read with the answers that callers had
// received before it.
func (c *checker) checkReadAgainstCalls(program *programRecords, read *record, readCalls map[uint64]ReadCall) {
	for _, each := range program.calls {
		for _, exchange := range each.exchanges {
			sent := exchange.sent.Sent
			if sent.Operation != OperationSubmit || !exchange.succeeded() || exchange.got.At.After(read.Read.SentAt) {
				continue
			}
			readCall, found := readCalls[each.ref.sequence]
			evidence := []*record{read, exchange.sent, exchange.got}
			switch {
			case !found:
				c.report(InvariantHistory, evidence,
					"history of program %s lost call %d", program.id, each.ref.sequence)
			case readCall.Key != sent.Key || readCall.Input != sent.Input || readCall.Output != fullOutput(exchange, readCall):
				c.report(InvariantHistory, evidence,
					"history of program %s has a different key, input or output at call %d than its caller sent and received",
					program.id, each.ref.sequence)
			}
		}
	}
}

// fullOutput completes an answer that begins at an offset with the preceding
// part of the output in the history.
func fullOutput(exchange *exchange, readCall ReadCall) string {
	got := exchange.got.Got
	beginning := min(got.Offset, len(readCall.Output))
	return readCall.Output[:beginning] + got.Output
}

// checkPrompts verifies that an engine's prompt consists of the inputs and
// outputs of the program's earlier successful calls, in order, and the new
// input. The comparison stops at a call whose outcome no caller received.
func (c *checker) checkPrompts(program *programRecords) {
	digest := xxhash.New()
	for _, each := range program.calls {
		if each.neverRan() {
			continue
		}
		sent, output, status := each.texts()
		if sent == nil {
			return
		}
		before := *digest
		_, _ = digest.WriteString(sent.Sent.Input)
		expected := max(1, digest.Sum64())
		for _, start := range each.started {
			if start.AttemptStarted.PromptHash != 0 && start.AttemptStarted.PromptHash != expected {
				c.report(InvariantHistory, []*record{start, sent},
					"engine %s got a prompt for call %d of program %s that is not the program's history",
					start.AttemptStarted.Backend, each.ref.sequence, program.id)
			}
		}
		switch {
		case status == api.StatusSucceeded:
			_, _ = digest.WriteString(output)
		case status.Terminal() && status != "":
			*digest = before
		default:
			return
		}
	}
}

// neverRan reports whether the call never started and every request for it was
// refused, so that it added nothing to the program's history.
func (c *call) neverRan() bool {
	for _, exchange := range c.exchanges {
		if !exchange.refused() {
			return false
		}
	}
	return len(c.started) == 0
}

// texts returns the request that carries the call's input, and the output and
// the terminal status that its callers received, if any.
func (c *call) texts() (sent *record, output string, status api.CallStatus) {
	for _, exchange := range c.exchanges {
		if exchange.sent.Sent.Operation != OperationSubmit || exchange.refused() {
			continue
		}
		sent = exchange.sent
		if exchange.got == nil {
			continue
		}
		if exchange.succeeded() && exchange.got.Got.Offset == 0 {
			return sent, exchange.got.Got.Output, api.StatusSucceeded
		}
		if terminal := exchange.got.Got.Status; terminal != "" && terminal.Terminal() && terminal != api.StatusSucceeded {
			status = terminal
		}
	}
	return sent, "", status
}

// checkBudgets verifies that the tokens that a program and its sub-agents used
// at engines are within the program's budget. Of several attempts at a call,
// only the most expensive one counts.
func (c *checker) checkBudgets() {
	used := map[api.ProgramID]int64{}
	parents := map[api.ProgramID]api.ProgramID{}
	for _, program := range c.programs {
		for _, r := range program.created {
			parents[program.id] = r.ProgramCreated.Parent
		}
	}
	for _, program := range c.programs {
		cost := program.cost()
		for id := program.id; id != ""; id = parents[id] {
			used[id] += cost
		}
	}
	for _, program := range c.programs {
		budget, created := program.budget()
		if created != nil && used[program.id] > budget {
			c.report(InvariantBudget, []*record{created},
				"program %s has a budget of %d tokens and used %d", program.id, budget, used[program.id])
		}
	}
	c.checkOutputCaps()
}

// checkOutputCaps verifies that no answer exceeds the output cap of its request.
func (c *checker) checkOutputCaps() {
	for _, exchange := range c.exchanges {
		if exchange.got == nil || exchange.sent.Sent.OutputCap == 0 {
			continue
		}
		if exchange.got.Got.Usage.OutputTokens > exchange.sent.Sent.OutputCap {
			c.report(InvariantBudget, []*record{exchange.sent, exchange.got},
				"request %s asked for %d output tokens at most and used %d",
				exchange.sent.Sent.Request, exchange.sent.Sent.OutputCap, exchange.got.Got.Usage.OutputTokens)
		}
	}
}

// cost returns the tokens that the program's calls used.
func (p *programRecords) cost() int64 {
	total := int64(0)
	for _, each := range p.calls {
		costliest := 0
		for _, r := range each.finished {
			costliest = max(costliest, r.AttemptFinished.Usage.PromptTokens+r.AttemptFinished.Usage.OutputTokens)
		}
		total += int64(costliest)
	}
	return total
}

// budget returns the largest recorded budget of the program and the record
// that shows it. The record is nil if none was recorded.
func (p *programRecords) budget() (int64, *record) {
	largest, largestRecord := int64(-1), (*record)(nil)
	for _, r := range p.created {
		if r.ProgramCreated.BudgetTokens > largest {
			largest, largestRecord = r.ProgramCreated.BudgetTokens, r
		}
	}
	return largest, largestRecord
}
