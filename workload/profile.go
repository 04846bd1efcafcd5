package workload

import (
	"math"
	"math/rand/v2"
	"time"

	"birchwood.example/birchwood/contract"
)

// Lognormal is a distribution of positive numbers by its median and its
// spread: Sigma is the standard deviation of the logarithm. Draws are cut at
// Maximum when that is set. A zero Median always gives zero.
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

// tokens draws a whole number of tokens, at least one.
func (l Lognormal) tokens(random *rand.Rand) int {
	return max(1, int(math.Round(l.Draw(random))))
}

// duration draws a time; the distribution is in seconds.
func (l Lognormal) duration(random *rand.Rand) time.Duration {
	return time.Duration(l.Draw(random) * float64(time.Second))
}

// ToolUse says how a kind of program calls one tool.
type ToolUse struct {
	Tool string
	// Repeatable tools may run twice without harm.
	Repeatable bool
	// Probability is the chance of a call after each turn.
	Probability float64
	// LastTurnOnly holds the call back until the last turn: a notice or a
	// receipt goes out once, when the decision is made.
	LastTurnOnly bool
	// Seconds is how long the tool runs; Tokens what it returns.
	Seconds Lognormal
	Tokens  Lognormal
}

// Profile describes one kind of program. A program makes Turns model calls;
// after each it may call tools, start sub-agents and pause.
type Profile struct {
	Kind Kind
	// Branches are where programs of this kind start, drawn evenly.
	Branches []contract.Path
	// Share is the weight of the kind among the arrivals.
	Share    float64
	Priority int
	Deadline time.Duration
	// Models are the models that a program of the kind may use, drawn once
	// for each program.
	Models []string
	// Turns is the number of model calls; zero Median means tool calls alone.
	Turns Lognormal
	// Context is the input of the first call, Input that of each later one.
	Context Lognormal
	Input   Lognormal
	// Output is the length of an answer, cut at OutputCap.
	Output    Lognormal
	OutputCap int
	Tools     []ToolUse
	// PauseSeconds is how long a person takes, with PauseProbability after a
	// turn.
	PauseProbability float64
	PauseSeconds     Lognormal
	// SubAgents are started with SubAgentProbability after a turn, 1 to
	// MaximumSubAgents of them, by the profile SubAgent.
	SubAgentProbability float64
	MaximumSubAgents    int
	SubAgent            *Profile
	// RunawayProbability is the chance that a program loops without end.
	RunawayProbability float64
	// HangUpProbability is the chance, for each turn, that the caller drops
	// the connection after HangUpSeconds.
	HangUpProbability float64
	HangUpSeconds     Lognormal
}
