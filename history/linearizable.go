package history

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"birchwood.example/birchwood/api"
)

// linearizeTimeout bounds the search for one object. A history that needs
// longer is counted as undecided.
const linearizeTimeout = 10 * time.Second

// checkLinearizable verifies that requests take effect at one moment between
// their sending and their answer: create-by-key and submit-by-key are
// registers that are written once, a program's spent budget is a counter, and
// the settings are registers changed by compare-and-set.
func (c *checker) checkLinearizable() {
	c.checkKeys(OperationCreate)
	c.checkKeys(OperationSubmit)
	c.checkSpent()
	c.checkCompareAndSet()
}

// linearizable searches for an order of the operations that the model allows.
func (c *checker) linearizable(model porcupine.Model, operations []porcupine.Operation) bool {
	result := porcupine.CheckOperationsTimeout(model, operations, linearizeTimeout)
	if result == porcupine.Unknown {
		c.undecided++
	}
	return result != porcupine.Illegal
}

// keyState is the register behind one idempotency key.
type keyState struct {
	written bool
	body    string
	name    string
}

// keyAnswer is what a request by key was told.
type keyAnswer struct {
	// known is false when the caller got no answer that says what happened.
	known   bool
	refused bool
	reused  bool
	name    string
}

// keyModel: the first request writes the register, every later one with the
// same body is told the same name, and one with another body that the key is
// taken. A refusal leaves the register as it is.
var keyModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{keyState{}} },
	Step: func(state, input, output any) []any {
		current, body, answer := state.(keyState), input.(string), output.(keyAnswer)
		switch {
		case answer.refused && !answer.reused:
			return []any{current}
		case answer.reused:
			return keep(current, current.written && current.body != body)
		case !answer.known:
			return afterUnknown(current, body)
		case !current.written:
			return []any{keyState{written: true, body: body, name: answer.name}}
		}
		same := current.body == body && (current.name == answer.name || current.name == "")
		current.name = answer.name
		return keep(current, same)
	},
}).ToModel()

// afterUnknown: the request took effect, under a name nobody was told, or not.
func afterUnknown(current keyState, body string) []any {
	if current.written {
		return []any{current}
	}
	return []any{current, keyState{written: true, body: body}}
}

// keep returns the state when the step is allowed.
func keep(state keyState, allowed bool) []any {
	if !allowed {
		return nil
	}
	return []any{state}
}

// checkKeys checks one register for each key of an operation.
func (c *checker) checkKeys(operation Operation) {
	type register struct {
		scope string
		key   string
	}
	groups := map[register][]*exchange{}
	var order []register
	for _, each := range c.exchanges {
		sent := each.sent.Sent
		if sent.Operation != operation || sent.Key == "" {
			continue
		}
		key := register{sent.Branch, sent.Key}
		if operation == OperationSubmit {
			key.scope = string(sent.Program)
		}
		if groups[key] == nil {
			order = append(order, key)
		}
		groups[key] = append(groups[key], each)
	}
	for _, key := range order {
		group := groups[key]
		if len(group) > 1 && !c.linearizable(keyModel, c.keyOperations(group)) {
			c.report(InvariantHistory, sentRecords(group),
				"%s requests with key %q of %s were answered as if they were different ones",
				operation, key.key, key.scope)
		}
	}
}

// keyOperations translates requests for the key model.
func (c *checker) keyOperations(group []*exchange) []porcupine.Operation {
	operations := make([]porcupine.Operation, len(group))
	for i, each := range group {
		answer := keyAnswer{}
		if each.got != nil {
			got := each.got.Got
			answer.refused = got.Code != "" && got.Ran == api.RanNotRun
			answer.reused = got.Code == api.CodeKeyReused
			answer.name = each.name()
			answer.known = answer.name != ""
		}
		operations[i] = c.operation(i, each, bodyOf(each.sent.Sent), answer)
	}
	return operations
}

// name is what the answer says that the key names.
func (e *exchange) name() string {
	got := e.got.Got
	if e.sent.Sent.Operation == OperationCreate {
		return string(got.Program)
	}
	if got.Sequence == 0 {
		return ""
	}
	return strconv.FormatUint(got.Sequence, 10)
}

// bodyOf is what makes two requests of one key the same.
func bodyOf(sent *Sent) string {
	return strings.Join([]string{string(sent.Kind), sent.Input}, "\x00")
}

// operation gives a request its interval: one without an answer may take
// effect until the end of the history.
func (c *checker) operation(client int, each *exchange, input, output any) porcupine.Operation {
	end := c.end.Add(time.Nanosecond)
	if each.got != nil {
		end = each.got.At
	}
	return porcupine.Operation{
		ClientId: client, Input: input, Output: output,
		Call: each.sent.At.UnixNano(), Return: end.UnixNano(),
	}
}

// sentRecords are the sendings of the requests.
func sentRecords(group []*exchange) []*record {
	records := make([]*record, len(group))
	for i, each := range group {
		records[i] = each.sent
	}
	return records
}

// spentStep adds to a program's spent tokens, or reads them.
type spentStep struct {
	read   bool
	tokens int64
}

// spentModel is a counter.
var spentModel = porcupine.Model{
	Init: func() any { return int64(0) },
	Step: func(state, input, _ any) (bool, any) {
		spent, step := state.(int64), input.(spentStep)
		if step.read {
			return spent == step.tokens, spent
		}
		return true, spent + step.tokens
	},
}

// checkSpent: what describes a program's spent budget is the sum of the calls
// that had ended then. Programs with a call whose cost no caller was told, or
// with sub-agents, are left out.
func (c *checker) checkSpent() {
	describes := map[api.ProgramID][]*exchange{}
	for _, each := range c.exchanges {
		if each.sent.Sent.Operation == OperationDescribe && each.got != nil && each.got.Got.Code == "" {
			describes[each.sent.Sent.Program] = append(describes[each.sent.Sent.Program], each)
		}
	}
	parents := map[api.ProgramID]bool{}
	for _, program := range c.programs {
		for _, r := range program.opened {
			parents[r.Opened.Parent] = true
		}
	}
	for _, program := range c.programs {
		group := describes[program.id]
		if len(group) == 0 || parents[program.id] {
			continue
		}
		operations, known := c.spentOperations(program)
		if !known {
			continue
		}
		for _, each := range group {
			step := spentStep{read: true, tokens: each.got.Got.SpentTokens}
			operations = append(operations, c.operation(len(operations), each, step, nil))
		}
		if !c.linearizable(spentModel, operations) {
			c.report(InvariantBudget, sentRecords(group),
				"program %s was described with a spent budget that its calls do not add up to", program.id)
		}
	}
}

// spentOperations are the additions of a program's calls; known is false when
// the cost of a call is not.
func (c *checker) spentOperations(program *programFacts) ([]porcupine.Operation, bool) {
	var operations []porcupine.Operation
	for _, each := range program.calls {
		var answered *exchange
		for _, exchange := range each.exchanges {
			if exchange.succeeded() && (answered == nil || exchange.got.At.Before(answered.got.At)) {
				answered = exchange
			}
		}
		if answered == nil || len(each.finished) > 1 {
			return nil, false
		}
		usage := answered.got.Got.Usage
		step := spentStep{tokens: int64(usage.PromptTokens + usage.OutputTokens)}
		operation := c.operation(len(operations), answered, step, nil)
		operation.Call = each.exchanges[0].sent.At.UnixNano()
		operations = append(operations, operation)
	}
	return operations, true
}

// checkCompareAndSet: the accepted changes of the settings, in the order of
// their revisions, respect real time, and none overwrites a change of a
// related path that it was not based on.
func (c *checker) checkCompareAndSet() {
	accepted := slices.DeleteFunc(slices.Clone(c.changes), func(r *record) bool { return !r.Change.Accepted })
	slices.SortFunc(accepted, func(a, b *record) int {
		return cmp.Compare(a.Change.Revision, b.Change.Revision)
	})
	if len(accepted) == 0 {
		return
	}
	operations := make([]porcupine.Operation, len(accepted))
	for i, r := range accepted {
		operations[i] = porcupine.Operation{
			ClientId: i, Input: r.Change, Call: r.Change.SentAt.UnixNano(), Return: r.At.UnixNano(),
		}
	}
	if !c.linearizable(settingsModel(accepted), operations) {
		c.report(InvariantSettings, accepted,
			"the accepted changes of the settings cannot have been compare-and-set in the order of their revisions")
	}
}

// settingsModel steps from one revision to the next in the given order. The
// state is how many changes were applied, so the search has one way to go.
func settingsModel(accepted []*record) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return 0 },
		Step: func(state, input, _ any) (bool, any) {
			applied, change := state.(int), input.(*Change)
			if applied >= len(accepted) || accepted[applied].Change != change {
				return false, state
			}
			for _, earlier := range accepted[:applied] {
				if earlier.Change.Revision > change.Based && related(earlier.Change.Paths, change.Paths) {
					return false, state
				}
			}
			return true, applied + 1
		},
	}
}

// related reports whether a path of one list is an ancestor, a descendant or
// the same as one of the other.
func related(first, second []string) bool {
	for _, a := range first {
		for _, b := range second {
			if covers(a, b) || covers(b, a) {
				return true
			}
		}
	}
	return false
}

// covers reports whether the branch is the path or stands below it.
func covers(path, branch string) bool {
	return path == "" || path == branch || strings.HasPrefix(branch, path+"/")
}
