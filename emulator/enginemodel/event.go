package enginemodel

import (
	"time"

	"birchwood.example/birchwood/api"
)

// Event is an input of the engine, a tagged union: at most one field is set. The
// zero Event has no effect, so that Step only advances the time. Leave makes the
// engine reject new streams and imports.
type Event struct {
	Generate *Generate
	Cancel   *Cancel
	Release  *Release
	Import   *Import
	Export   *Export
	Order    *Order
	Leave    bool
}

// Generate starts a stream, or attaches to the existing stream of that name.
type Generate struct {
	Stream string
	Owner  api.ProgramID
	Model  string
	// Priority orders the queue, lower first.
	Priority     int
	PromptTokens int
	// OutputTokens is the length of the answer without a limit. MaxOutputTokens
	// truncates it.
	OutputTokens    int
	MaxOutputTokens int
	// IgnoreCache means that the prompt does not continue the cached prefix of the
	// owner, so that none of it can be reused.
	IgnoreCache bool
}

// Cancel stops a stream. The tokens that were computed stay cached for its owner.
type Cancel struct{ Stream string }

// Release drops the cached prefix of a program.
type Release struct{ Owner api.ProgramID }

// Import receives a program's KV cache from another engine. The driver sets Tokens
// to the length of the prefix that it exports there.
type Import struct {
	Owner  api.ProgramID
	Tokens int
}

// Export drops a program's prefix that is transferred to another engine.
type Export struct{ Owner api.ProgramID }

// Order loads or unloads a model or changes the role of the engine. Fence is a
// fencing token: an order with a lower one than any before is rejected.
type Order struct {
	Fence  uint64
	Load   string
	Unload string
	Role   Role
	// WeightsIn is how long the weight store takes to deliver the weights. The
	// driver reserves the transfer there.
	WeightsIn time.Duration
}
