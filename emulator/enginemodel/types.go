package enginemodel

import (
	"errors"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/engine"
	"birchwood.example/birchwood/schedule"
)

// Errors of Step. The engine did nothing then.
var (
	ErrModelNotLoaded = errors.New("engine: model not loaded")
	ErrLeaving        = errors.New("engine: leaving, no new work")
	ErrTooLong        = errors.New("engine: prompt and output do not fit the cache")
	ErrStaleFence     = errors.New("engine: order with a stale fence")
	ErrNoRoom         = errors.New("engine: no room for another model")
	ErrUnknownRole    = errors.New("engine: unknown role")
	ErrEmptyPrompt    = errors.New("engine: empty prompt")
)

// Role trades prefill throughput against the smoothness of running answers.
type Role string

// The roles of an engine.
const (
	RoleBalanced Role = "balanced"
	// RolePrefill lets an iteration take four times the prefill.
	RolePrefill Role = "prefill"
	// RoleDecode lets an iteration take an eighth of the prefill.
	RoleDecode Role = "decode"
)

// roleChunks is the share of ChunkTokens that each role prefills, in eighths.
var roleChunks = map[Role]int{RoleBalanced: 8, RolePrefill: 32, RoleDecode: 1}

// chunkUnit is the denominator of roleChunks.
const chunkUnit = 8

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

// Output is what the engine tells, a tagged union: exactly one field beside
// At is set.
type Output struct {
	// At is when it is told; a report or a cache event is told late.
	At         time.Time
	FirstToken string
	Finished   *Finished
	CacheEvent *engine.CacheEvent
	Load       *schedule.Load
	Imported   *Imported
	ModelReady string
}

// Finished is the end of a stream.
type Finished struct {
	Stream string
	Owner  api.ProgramID
	Usage  api.Usage
	// Resident is how many tokens of the owner's prefix are cached now.
	Resident  int
	Cancelled bool
	// FirstTokenAt is when the first token was there.
	FirstTokenAt time.Time
	Load         schedule.Load
}

// Imported is the end of a KV transfer.
type Imported struct {
	Owner  api.ProgramID
	Tokens int
}

// Progress is how far a stream is.
type Progress struct {
	Produced int
	Done     bool
	Finished Finished
}

// Statistics count what the engine did since its start.
type Statistics struct {
	Finished       int
	PrefillTokens  int64
	CachedTokens   int64
	OutputTokens   int64
	ImportedTokens int64
	Evictions      int
	// IdleTokenSeconds is the KV memory that was held and never used again:
	// tokens times seconds from the last use to the eviction or release.
	IdleTokenSeconds float64
	// Busy is the time with a running iteration.
	Busy time.Duration
}
