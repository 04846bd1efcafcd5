package enginemodel

import (
	"time"

	"birchwood.example/birchwood/api"
)

// Event is an input of the engine, a tagged union: at most one field is set.
// The zero Event only lets time pass.
type Event struct {
	Generate *Generate
	Cancel   *Cancel
	Release  *Release
	Import   *Import
	Export   *Export
	Order    *Order
	Leave    bool
}

// Generate starts a stream, or attaches to the stream of that name.
type Generate struct {
	Stream string
	Owner  api.ProgramID
	Model  string
	// Priority orders the queue, lower first.
	Priority     int
	PromptTokens int
	// OutputTokens is how long the answer would be; MaxOutputTokens cuts it.
	OutputTokens    int
	MaxOutputTokens int
	// Fresh says that the prompt does not continue what is cached for the
	// owner: nothing of it can be used.
	Fresh bool
}

// Cancel stops a stream. What was computed stays cached for its owner.
type Cancel struct{ Stream string }

// Release drops the prefix of a program.
type Release struct{ Owner api.ProgramID }

// Import receives a program's KV cache from another engine. The driver takes
// Tokens from that engine's Export.
type Import struct {
	Owner  api.ProgramID
	Tokens int
}

// Export hands a program's prefix to another engine; it is dropped here.
type Export struct{ Owner api.ProgramID }

// Order changes what the engine runs. Fence must not be lower than any seen.
type Order struct {
	Fence  uint64
	Load   string
	Unload string
	Role   Role
	// WeightsIn is how long the weight store needs to deliver the weights; the
	// driver reserves the transfer there.
	WeightsIn time.Duration
}
