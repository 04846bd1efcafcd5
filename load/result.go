package load

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Latency holds quantiles in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
}

// Result is the result of a run.
type Result struct {
	Deployment string  `json:"deployment"`
	Seed       uint64  `json:"seed"`
	Seconds    float64 `json:"seconds"`
	// Programs counts the programs that ran to their end, without sub-agents.
	// Calls counts the calls that ended.
	Programs int `json:"programs"`
	Calls    int `json:"calls"`
	// ProgramLatency counts from the intended start, without users' pauses.
	ProgramLatency Latency            `json:"program_latency_ms"`
	Kinds          map[string]Latency `json:"program_latency_by_kind_ms"`
	FirstToken     Latency            `json:"first_token_ms"`
	// Unavailability is how long idle programs were unavailable at every
	// gateway that was tried.
	Unavailability Latency `json:"absence_ms"`
	// Interruption is the time from the first failed request of an operation
	// to its final answer, for operations that needed a retry.
	Interruption Latency `json:"interruption_ms"`
	PromptTokens int64   `json:"prompt_tokens"`
	CachedTokens int64   `json:"cached_tokens"`
	OutputTokens int64   `json:"output_tokens"`
	// RecomputedTokens counts prompt tokens that were computed again although
	// an engine had already computed them for the program.
	RecomputedTokens int64          `json:"recomputed_tokens"`
	Statuses         map[string]int `json:"statuses"`
	// Refusals counts refusals by code. One call may be refused several times
	// before it runs.
	Refusals        map[string]int `json:"refusals"`
	Unknown         int            `json:"unknown"`
	LostConnections int            `json:"lost_connections"`
	HungUp          int            `json:"hung_up"`
	WrongAnswers    int            `json:"wrong_answers"`
	Unanswered      int            `json:"unanswered"`
	// Duplicates counts the non-repeatable calls that ran more than once,
	// according to the tool services.
	Duplicates int `json:"duplicates"`
	// ReleaseSeconds is how long after the run engines still cached prefixes of
	// ended programs. PrefixesLeft counts those left when polling stopped.
	ReleaseSeconds float64  `json:"release_s"`
	PrefixesLeft   int      `json:"held_after"`
	Errors         []string `json:"errors,omitempty"`
	// ControlBytes is the control traffic of each node in Config.Operators,
	// sent and received, in bytes per second.
	ControlBytes map[string]float64 `json:"control_bytes_per_s,omitempty"`
}

// Failed reports whether a request remained unanswered, an answer was wrong or
// a non-repeatable call ran more than once.
func (r Result) Failed() bool { return r.Unanswered > 0 || r.WrongAnswers > 0 || r.Duplicates > 0 }

// String formats the result as text.
func (r Result) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s, seed %d: %d programs and %d calls in %.1f s\n",
		r.Deployment, r.Seed, r.Programs, r.Calls, r.Seconds)
	row := func(name string, latency Latency) {
		fmt.Fprintf(&text, "%-28s %6d %12.1f %12.1f %12.1f\n", name, latency.Count, latency.P50, latency.P95, latency.P99)
	}
	fmt.Fprintf(&text, "%-28s %6s %12s %12s %12s\n", "latency in ms", "count", "p50", "p95", "p99")
	row("program", r.ProgramLatency)
	for _, kind := range slices.Sorted(maps.Keys(r.Kinds)) {
		row("  "+kind, r.Kinds[kind])
	}
	row("first token", r.FirstToken)
	row("program without an owner", r.Unavailability)
	row("asked again until answered", r.Interruption)
	fmt.Fprintf(&text, "prompt tokens %d, from cache %d, recomputed although cached before %d; output tokens %d\n",
		r.PromptTokens, r.CachedTokens, r.RecomputedTokens, r.OutputTokens)
	fmt.Fprintf(&text, "calls by status: %s\n", counts(r.Statuses))
	fmt.Fprintf(&text, "refusals by code: %s\n", counts(r.Refusals))
	fmt.Fprintf(&text, "unknown %d, connections lost %d, callers that hung up %d, wrong answers %d, unanswered %d\n",
		r.Unknown, r.LostConnections, r.HungUp, r.WrongAnswers, r.Unanswered)
	fmt.Fprintf(&text, "calls that ran twice and may not: %d; engines held prefixes of ended programs for %.1f s, %d left\n",
		r.Duplicates, r.ReleaseSeconds, r.PrefixesLeft)
	for _, node := range slices.Sorted(maps.Keys(r.ControlBytes)) {
		fmt.Fprintf(&text, "control bytes of %s: %.0f a second\n", node, r.ControlBytes[node])
	}
	for _, each := range r.Errors {
		fmt.Fprintln(&text, each)
	}
	return text.String()
}

// counts formats a map sorted by key.
func counts(values map[string]int) string {
	parts := make([]string, 0, len(values))
	for _, name := range slices.Sorted(maps.Keys(values)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, values[name]))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}
