package contract

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"birchwood.example/birchwood/zone"
)

// Names of the values, as in JSON and YAML.
const (
	fieldZones           = "zones"
	fieldModels          = "models"
	fieldTools           = "tools"
	fieldPriority        = "priority"
	fieldBudgetTokens    = "budget_tokens"
	fieldMaxTurns        = "max_turns"
	fieldMaxOutputTokens = "max_output_tokens"
	fieldAttempts        = "attempts"
	fieldMaxDuration     = "max_duration"
	fieldIdleTimeout     = "idle_timeout"
	fieldCallTimeout     = "call_timeout"
	fieldToolTimeout     = "tool_timeout"
	fieldRetention       = "retention"
	fieldDrainedBackends = "drained_backends"
	fieldCallerTokens    = "caller_tokens"
	fieldOperatorTokens  = "operator_tokens"
)

// Bounds of the values.
const (
	MaximumPriority     = 9
	maximumBudgetTokens = 1_000_000_000_000
	maximumTurns        = 1_000_000
	maximumOutputTokens = 1_000_000
	maximumAttempts     = 20
	minimumTimeout      = 10 * time.Millisecond
	maximumDuration     = 366 * 24 * time.Hour
	// MaximumListLength bounds each list of one branch.
	MaximumListLength = 256
	maximumNameLength = 128
)

// field describes one value of a branch for validation, inheritance,
// explanation and the reference page.
type field struct {
	name        string
	kind        string
	description string
	// inherited is false for token lists, which belong to the branch that
	// lists them.
	inherited bool
	isSet     func(*Values) bool
	// assign copies the value from source to target.
	assign func(target, source *Values)
	// value returns the value in its JSON form.
	value func(*Values) any
	// check validates a value that is set; location is its path in findings.
	check func(values *Values, location string) []Finding
}

// listField describes a list value. A nil list is not set.
func listField[T ~string](name, kind, description string, at func(*Values) *[]T, check func(T) error) field {
	return field{
		name: name, kind: kind, description: description, inherited: true,
		isSet:  func(values *Values) bool { return *at(values) != nil },
		assign: func(target, source *Values) { *at(target) = slices.Clone(*at(source)) },
		value:  func(values *Values) any { return *at(values) },
		check: func(values *Values, location string) []Finding {
			return checkList(*at(values), location, check)
		},
	}
}

// numberField describes a number or a duration within bounds.
func numberField[T int | int64 | time.Duration](name, description string, at func(*Values) **T, minimum, maximum T) field {
	kind := "integer"
	if _, isDuration := any(minimum).(time.Duration); isDuration {
		kind = "duration"
	}
	return field{
		name: name, inherited: true, description: description,
		kind:   fmt.Sprintf("%s from %v to %v", kind, minimum, maximum),
		isSet:  func(values *Values) bool { return *at(values) != nil },
		assign: func(target, source *Values) { *at(target) = clonePointer(*at(source)) },
		value: func(values *Values) any {
			if value, isDuration := any(**at(values)).(time.Duration); isDuration {
				return value.String()
			}
			return **at(values)
		},
		check: func(values *Values, location string) []Finding {
			value := **at(values)
			if value >= minimum && value <= maximum {
				return nil
			}
			return []Finding{{Place: location, Message: fmt.Sprintf("%v: want %v to %v", value, minimum, maximum)}}
		},
	}
}

func clonePointer[T any](pointer *T) *T {
	if pointer == nil {
		return nil
	}
	value := *pointer
	return &value
}

// fields lists every value in the order in which it is shown to users.
var fields = []field{
	listField(fieldZones, "list of zone names", "The zones that data of the branch may visit. A branch can only narrow what its parent permits; when a parent is narrowed later, the branch keeps the zones that both permit.",
		func(v *Values) *[]zone.Name { return &v.Zones }, zone.Name.Validate),
	listField(fieldModels, "list of model names", "The models that programs may call. An empty list permits none.",
		func(v *Values) *[]string { return &v.Models }, checkName),
	listField(fieldTools, "list of tool names", "The tools that programs may call. An empty list permits none.",
		func(v *Values) *[]string { return &v.Tools }, checkName),
	numberField(fieldPriority, "How urgent programs are: 0 is the least urgent, 9 the most.",
		func(v *Values) **int { return &v.Priority }, 0, MaximumPriority),
	numberField(fieldBudgetTokens, "How many tokens one program may spend, prompts and answers together. Sub-agents spend from their parent's budget.",
		func(v *Values) **int64 { return &v.BudgetTokens }, int64(1), int64(maximumBudgetTokens)),
	numberField(fieldMaxTurns, "How many calls one program may make.",
		func(v *Values) **int { return &v.MaxTurns }, 1, maximumTurns),
	numberField(fieldMaxOutputTokens, "The longest answer of one model call, in tokens.",
		func(v *Values) **int { return &v.MaxOutputTokens }, 1, maximumOutputTokens),
	numberField(fieldAttempts, "How often a repeatable call is tried in all. A call that is not repeatable is sent at most once.",
		func(v *Values) **int { return &v.Attempts }, 1, maximumAttempts),
	numberField(fieldMaxDuration, "How long one program may live, from its creation.",
		func(v *Values) **time.Duration { return &v.MaxDuration }, minimumTimeout, maximumDuration),
	numberField(fieldIdleTimeout, "How long a program may make no call before it is ended.",
		func(v *Values) **time.Duration { return &v.IdleTimeout }, minimumTimeout, maximumDuration),
	numberField(fieldCallTimeout, "How long one model call may take, waiting included.",
		func(v *Values) **time.Duration { return &v.CallTimeout }, minimumTimeout, maximumDuration),
	numberField(fieldToolTimeout, "How long one tool call may take, waiting included.",
		func(v *Values) **time.Duration { return &v.ToolTimeout }, minimumTimeout, maximumDuration),
	numberField(fieldRetention, "How long an ended program's history stays readable.",
		func(v *Values) **time.Duration { return &v.Retention }, 0, maximumDuration),
	listField(fieldDrainedBackends, "list of back end names", "The back ends that get no new work of the branch's programs, besides those that a branch above lists; at the root, of any program. Calls that they already run end there.",
		func(v *Values) *[]string { return &v.DrainedBackends }, checkName),
	notInherited(listField(fieldCallerTokens, "list of token hashes", "Hexadecimal SHA-256 hashes of the bearer tokens whose holders act on this branch and below it. Not inherited: a token counts at the branch that lists it.",
		func(v *Values) *[]string { return &v.CallerTokens }, checkTokenHash)),
	notInherited(listField(fieldOperatorTokens, "list of token hashes", "Hashes of the bearer tokens whose holders may change settings at this branch and below it. Not inherited.",
		func(v *Values) *[]string { return &v.OperatorTokens }, checkTokenHash)),
}

// notInherited returns the list field, marked as not inherited.
func notInherited(list field) field {
	list.inherited = false
	return list
}

// fieldIndex returns the index of the named field in fields, or -1.
func fieldIndex(name string) int {
	return slices.IndexFunc(fields, func(candidate field) bool { return candidate.name == name })
}

// defaults returns the values of a root that sets nothing. There is no default
// zone: until the root lists zones, nothing may run anywhere.
func defaults() Values {
	return Values{
		Zones:           []zone.Name{},
		Models:          []string{},
		Tools:           []string{},
		Priority:        pointer(5),
		BudgetTokens:    pointer(int64(200_000)),
		MaxTurns:        pointer(64),
		MaxOutputTokens: pointer(1024),
		Attempts:        pointer(3),
		MaxDuration:     pointer(time.Hour),
		IdleTimeout:     pointer(15 * time.Minute),
		CallTimeout:     pointer(time.Minute),
		ToolTimeout:     pointer(30 * time.Second),
		Retention:       pointer(24 * time.Hour),
		DrainedBackends: []string{},
	}
}

func pointer[T any](value T) *T { return &value }

func checkList[T ~string](items []T, location string, check func(T) error) []Finding {
	var findings []Finding
	if len(items) > MaximumListLength {
		return []Finding{{Place: location, Message: fmt.Sprintf("%d items: want at most %d", len(items), MaximumListLength)}}
	}
	for index, item := range items {
		itemLocation := fmt.Sprintf("%s[%d]", location, index)
		if err := check(item); err != nil {
			findings = append(findings, Finding{Place: itemLocation, Message: err.Error()})
		} else if slices.Contains(items[:index], item) {
			findings = append(findings, Finding{Place: itemLocation, Message: fmt.Sprintf("%q stands twice", string(item))})
		}
	}
	return findings
}

// checkName validates the name of a model, tool or back end: printable ASCII
// without spaces.
func checkName(name string) error {
	printable := func(r rune) bool { return r > ' ' && r < 0x7f }
	if name == "" || len(name) > maximumNameLength || strings.IndexFunc(name, func(r rune) bool { return !printable(r) }) >= 0 {
		return fmt.Errorf("name %q: want 1 to %d printable ASCII characters without spaces", name, maximumNameLength)
	}
	return nil
}

func checkTokenHash(hash string) error {
	if !validTokenHash(hash) {
		return fmt.Errorf("want the SHA-256 hash of a token as %d lower-case hexadecimal digits, not the token", hashLength)
	}
	return nil
}
