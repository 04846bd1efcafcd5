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

// linearizeTimeout limits the search for one object. A search that takes
// longer is counted as undecided.
const linearizeTimeout = 10 * time.Second

// checkLinearizable verifies that each request takes effect atomically between
// its sending and its answer. Create-by-key and submit-by-key are modelled as
// write-once registers, a program's spent budget as a counter, and the
// settings as registers with compare-and-set.
func (c *checker) checkLinearizable() {
	c.checkKeys(OperationCreate)
	c.checkKeys(OperationSubmit)
	c.checkSpent()
	c.checkCompareAndSet()
}

// linearizable reports whether the operations have an order that the model
// allows. It returns true if the search timed out.
func (c *checker) linearizable(model porcupine.Model, operations []porcupine.Operation) bool {
	result := porcupine.CheckOperationsTimeout(model, operations, linearizeTimeout)
	if result == porcupine.Unknown {
		c.undecided++
	}
	return result != porcupine.Illegal
}

// keyState is the register of one idempotency key.
type keyState struct {
	written bool
	body    string
	name    string
}

// keyAnswer is the answer to a request with an idempotency key.
type keyAnswer struct {
	// known is false when the caller got no answer that shows the outcome.
	known   bool
	refused bool
	reused  bool
	name    string
}

// keyModel is a write-once register. The first request writes it. A later
// request with the same body gets the same name, and one with a different body
// is refused because the key is in use. A refusal does not change the register.
var keyModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{keyState{}} },
	Step: func(state, input, output any) []any {
		current, body, answer := state.(keyState), input.(string), output.(keyAnswer)
		switch {
		case answer.refused && !answer.reused:
			return []any{current}
		case answer.reused:
			return statesIf(current, current.written && current.body != body)
		case !answer.known:
			return afterUnknown(current, body)
		case !current.written:
			return []any{keyState{written: true, body: body, name: answer.name}}
		}
		same := current.body == body && (current.name == answer.name || current.name == "")
		current.name = answer.name
		return statesIf(current, same)
	},
}).ToModel()

// afterUnknown returns the possible states after a request without a known
// outcome: it had no effect, or it took effect under a name that no caller
// received.
func afterUnknown(current keyState, body string) []any {
	if current.written {
		return []any{current}
	}
	return []any{current, keyState{written: true, body: body}}
}

// statesIf returns the state if the step is allowed, and no state otherwise.
func statesIf(state keyState, allowed bool) []any {
	if !allowed {
		return nil
	}
	return []any{state}
}

// checkKeys checks the register of each key of an operation.
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
				"%s requests with key %q of %s got answers that do not refer to one program or call",
				operation, key.key, key.scope)
		}
	}
}

// keyOperations converts requests with one key to operations of keyModel.
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

// name returns the program or the call that the answer assigns to the key, or
// an empty string.
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

// bodyOf returns the content of a request that must be equal in all requests
// with one key.
func bodyOf(sent *Sent) string {
	return strings.Join([]string{string(sent.Kind), sent.Input}, "\x00")
}

// operation converts a request to an operation with its interval. A request
// without an answer may take effect until the end of the history.
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

// sentRecords returns the records of the sent requests.
func sentRecords(group []*exchange) []*record {
	records := make([]*record, len(group))
	for i, each := range group {
		records[i] = each.sent
	}
	return records
}

// spentStep adds to a program's spent tokens or reads them.
type spentStep struct {
	read   bool
	tokens int64
}

// spentModel is a counter of spent tokens.
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

// checkSpent verifies that a program's spent budget, as describe requests
// return it, is the sum of the costs of the calls that had ended by then.
// Programs with sub-agents or with a call of unknown cost are skipped.
func (c *checker) checkSpent() {
	describes := map[api.ProgramID][]*exchange{}
	for _, each := range c.exchanges {
		if each.sent.Sent.Operation == OperationDescribe && each.got != nil && each.got.Got.Code == "" {
			describes[each.sent.Sent.Program] = append(describes[each.sent.Sent.Program], each)
		}
	}
	parents := map[api.ProgramID]bool{}
	for _, program := range c.programs {
		for _, r := range program.created {
			parents[r.ProgramCreated.Parent] = true
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
				"reported spent budget of program %s is not the sum of the costs of its calls", program.id)
		}
	}
}

// spentOperations returns the additions by a program's calls. It returns false
// if the cost of a call is unknown.
func (c *checker) spentOperations(program *programRecords) ([]porcupine.Operation, bool) {
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

// checkCompareAndSet verifies that the order of the accepted settings changes
// by revision is consistent with real time, and that no change overwrites a
// change of a related path that is newer than its base revision.
func (c *checker) checkCompareAndSet() {
	accepted := slices.DeleteFunc(slices.Clone(c.changes), func(r *record) bool { return !r.SettingsChange.Accepted })
	slices.SortFunc(accepted, func(a, b *record) int {
		return cmp.Compare(a.SettingsChange.Revision, b.SettingsChange.Revision)
	})
	if len(accepted) == 0 {
		return
	}
	operations := make([]porcupine.Operation, len(accepted))
	for i, r := range accepted {
		operations[i] = porcupine.Operation{
			ClientId: i, Input: r.SettingsChange, Call: r.SettingsChange.SentAt.UnixNano(), Return: r.At.UnixNano(),
		}
	}
	if !c.linearizable(settingsModel(accepted), operations) {
		c.report(InvariantSettings, accepted,
			"accepted settings changes are not linearizable as compare-and-set in the order of their revisions")
	}
}

// settingsModel applies the changes in the given order. The state is the
// number of applied changes, so each state has only one possible next step and
// the search does not branch.
func settingsModel(accepted []*record) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return 0 },
		Step: func(state, input, _ any) (bool, any) {
			applied, change := state.(int), input.(*SettingsChange)
			if applied >= len(accepted) || accepted[applied].SettingsChange != change {
				return false, state
			}
			for _, earlier := range accepted[:applied] {
				if earlier.SettingsChange.Revision > change.BaseRevision && related(earlier.SettingsChange.Paths, change.Paths) {
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

// covers reports whether the branch is the path or a descendant of it.
func covers(path, branch string) bool {
	return path == "" || path == branch || strings.HasPrefix(branch, path+"/")
}
