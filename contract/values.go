package contract

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"birchwood.example/birchwood/zone"
)

// Values are the settings that one branch overrides. A nil field is
// inherited from the nearest ancestor that sets it.
type Values struct {
	// Zones lists the zones that data of the branch may enter. A branch can
	// only narrow what its parent permits.
	Zones  []zone.Name `json:"zones,omitempty" yaml:"zones"`
	Models []string    `json:"models,omitempty" yaml:"models"`
	Tools  []string    `json:"tools,omitempty" yaml:"tools"`
	// Priority is the urgency of programs, from 0 (least urgent) to 9.
	Priority        *int           `json:"priority,omitempty" yaml:"priority"`
	BudgetTokens    *int64         `json:"budget_tokens,omitempty" yaml:"budget_tokens"`
	MaxTurns        *int           `json:"max_turns,omitempty" yaml:"max_turns"`
	MaxOutputTokens *int           `json:"max_output_tokens,omitempty" yaml:"max_output_tokens"`
	Attempts        *int           `json:"attempts,omitempty" yaml:"attempts"`
	MaxDuration     *time.Duration `json:"max_duration,omitempty" yaml:"max_duration"`
	IdleTimeout     *time.Duration `json:"idle_timeout,omitempty" yaml:"idle_timeout"`
	CallTimeout     *time.Duration `json:"call_timeout,omitempty" yaml:"call_timeout"`
	ToolTimeout     *time.Duration `json:"tool_timeout,omitempty" yaml:"tool_timeout"`
	// Retention is how long the history of an ended program stays readable.
	Retention *time.Duration `json:"retention,omitempty" yaml:"retention"`
	// DrainedBackends lists back ends that get no new work from the branch's
	// programs, in addition to those of its ancestors.
	DrainedBackends []string `json:"drained_backends,omitempty" yaml:"drained_backends"`
	// CallerTokens lists hexadecimal SHA-256 hashes of the bearer tokens whose
	// holders may act on this branch and below it. The list is not inherited:
	// a token belongs to the branch that lists it.
	CallerTokens []string `json:"caller_tokens,omitempty" yaml:"caller_tokens"`
	// OperatorTokens lists hashes of the tokens whose holders may change
	// settings at this branch and below it. It is not inherited either.
	OperatorTokens []string `json:"operator_tokens,omitempty" yaml:"operator_tokens"`
}

// duration is a time.Duration whose JSON form is a string such as "1m30s". It
// can also be decoded from a number of nanoseconds.
type duration time.Duration

// MarshalJSON encodes the duration as a string.
func (d duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a string or a number of nanoseconds.
func (d *duration) UnmarshalJSON(data []byte) error {
	if len(data) > 0 && data[0] == '"' {
		var text string
		if err := json.Unmarshal(data, &text); err != nil {
			return err
		}
		parsed, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Errorf("duration %q: want a number with a unit, such as \"90s\"", text)
		}
		*d = duration(parsed)
		return nil
	}
	return json.Unmarshal(data, (*int64)(d))
}

// encodedValues is the JSON form of Values. It differs in two ways: durations
// are strings, and an empty list is distinct from an absent one, because an
// empty list of tools means "no tools" and an absent one "inherit".
type encodedValues struct {
	Zones           []zone.Name `json:"zones,omitzero"`
	Models          []string    `json:"models,omitzero"`
	Tools           []string    `json:"tools,omitzero"`
	Priority        *int        `json:"priority,omitempty"`
	BudgetTokens    *int64      `json:"budget_tokens,omitempty"`
	MaxTurns        *int        `json:"max_turns,omitempty"`
	MaxOutputTokens *int        `json:"max_output_tokens,omitempty"`
	Attempts        *int        `json:"attempts,omitempty"`
	MaxDuration     *duration   `json:"max_duration,omitempty"`
	IdleTimeout     *duration   `json:"idle_timeout,omitempty"`
	CallTimeout     *duration   `json:"call_timeout,omitempty"`
	ToolTimeout     *duration   `json:"tool_timeout,omitempty"`
	Retention       *duration   `json:"retention,omitempty"`
	DrainedBackends []string    `json:"drained_backends,omitzero"`
	CallerTokens    []string    `json:"caller_tokens,omitzero"`
	OperatorTokens  []string    `json:"operator_tokens,omitzero"`
}

// MarshalJSON encodes durations as strings and preserves empty lists.
func (v Values) MarshalJSON() ([]byte, error) {
	return json.Marshal(encodedValues{
		Zones: v.Zones, Models: v.Models, Tools: v.Tools,
		Priority: v.Priority, BudgetTokens: v.BudgetTokens, MaxTurns: v.MaxTurns,
		MaxOutputTokens: v.MaxOutputTokens, Attempts: v.Attempts,
		MaxDuration: (*duration)(v.MaxDuration), IdleTimeout: (*duration)(v.IdleTimeout),
		CallTimeout: (*duration)(v.CallTimeout), ToolTimeout: (*duration)(v.ToolTimeout),
		Retention: (*duration)(v.Retention), DrainedBackends: v.DrainedBackends,
		CallerTokens: v.CallerTokens, OperatorTokens: v.OperatorTokens,
	})
}

// UnmarshalJSON decodes the output of MarshalJSON. Unknown names are an error,
// so that a misspelt setting is not silently ignored.
func (v *Values) UnmarshalJSON(data []byte) error {
	var encoded encodedValues
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&encoded); err != nil {
		return err
	}
	*v = Values{
		Zones: encoded.Zones, Models: encoded.Models, Tools: encoded.Tools,
		Priority: encoded.Priority, BudgetTokens: encoded.BudgetTokens, MaxTurns: encoded.MaxTurns,
		MaxOutputTokens: encoded.MaxOutputTokens, Attempts: encoded.Attempts,
		MaxDuration: (*time.Duration)(encoded.MaxDuration), IdleTimeout: (*time.Duration)(encoded.IdleTimeout),
		CallTimeout: (*time.Duration)(encoded.CallTimeout), ToolTimeout: (*time.Duration)(encoded.ToolTimeout),
		Retention: (*time.Duration)(encoded.Retention), DrainedBackends: encoded.DrainedBackends,
		CallerTokens: encoded.CallerTokens, OperatorTokens: encoded.OperatorTokens,
	}
	return nil
}
