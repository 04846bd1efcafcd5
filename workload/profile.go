package workload

import (
	"math"
	"math/rand/v2"
	"time"

	"birchwood.example/birchwood/contract"
)

// Lognormal is a log-normal distribution. Sigma is the standard deviation of
// the logarithm. Draws are limited to Maximum unless it is zero. With a zero
// Median every draw is zero.
type Lognormal struct {
	Median  float64
	Sigma   float64
	Maximum float64
}

// Draw returns one value.
func (l Lognormal) Draw(random *rand.Rand) float64 {
	if l.Median == 0 {
		return 0
	}
	value := l.Median * math.Exp(l.Sigma*random.NormFloat64())
	if l.Maximum > 0 {
		value = min(value, l.Maximum)
	}
	return value
}

// tokens draws a number of tokens, at least one.
func (l Lognormal) tokens(random *rand.Rand) int {
	return max(1, int(math.Round(l.Draw(random))))
}

// duration draws a duration; the distribution is in seconds.
func (l Lognormal) duration(random *rand.Rand) time.Duration {
	return time.Duration(l.Draw(random) * float64(time.Second))
}

// ToolUse describes how a kind of program calls one tool.
type ToolUse struct {
	Tool string
	// Repeatable is set if the tool may run more than once for a call.
	Repeatable bool
	// Probability is the probability of a call after each turn.
	Probability float64
	// LastTurnOnly limits the call to the last turn, for actions that happen
	// once after the program's decision, such as a notice or a receipt.
	LastTurnOnly bool
	// Seconds is the tool's running time. Tokens is the length of its result.
	Seconds Lognormal
	Tokens  Lognormal
}

// Profile describes one kind of program. A program makes Turns model calls;
// after each it may call tools, start sub-agents and pause.
type Profile struct {
	Kind Kind
	// Branches are the branches of the programs, drawn uniformly.
	Branches []contract.Path
	// Share is the weight of the kind among the arrivals.
	Share    float64
	Priority int
	Deadline time.Duration
	// Models are the models of the kind. One is drawn for each program.
	Models []string
	// Turns is the number of model calls, at least one.
	Turns Lognormal
	// Context is the length of the first model call's input, Input that of
	// each later one, in tokens.
	Context Lognormal
	Input   Lognormal
	// Output is the length of an answer in tokens, at most OutputCap.
	Output    Lognormal
	OutputCap int
	Tools     []ToolUse
	// PauseProbability is the probability of a user's pause after a turn that
	// is not the last. PauseSeconds is the length of the pause.
	PauseProbability float64
	PauseSeconds     Lognormal
	// SubAgentProbability is the probability that a turn starts sub-agents: 1
	// to MaximumSubAgents programs with the profile SubAgent.
	SubAgentProbability float64
	MaximumSubAgents    int
	SubAgent            *Profile
	// RunawayProbability is the probability that a program never ends by
	// itself.
	RunawayProbability float64
	// HangUpProbability is the probability, for each turn, that the caller
	// closes the connection after HangUpSeconds.
	HangUpProbability float64
	HangUpSeconds     Lognormal
}
