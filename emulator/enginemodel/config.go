package enginemodel

import (
	"time"

	"birchwood.example/birchwood/findings"
	"birchwood.example/birchwood/machine"
)

// Default rates. They are our own round figures for one replica: a model of
// about eight billion parameters in 16-bit weights on one accelerator with 24
// GB of memory and about 1 TB/s of memory bandwidth. The orders of magnitude
// follow from that hardware as public literature on model serving describes
// it; they are not measurements of a product.
const (
	// DefaultStepOverhead: an iteration reads all weights once, 16 GB at
	// about 1 TB/s.
	DefaultStepOverhead = 16 * time.Millisecond
	// DefaultDecodePerSequence: reading one sequence's KV cache of a few
	// thousand tokens, and its share of the sampling.
	DefaultDecodePerSequence = 250 * time.Microsecond
	// DefaultPrefillPerToken: 16 GFLOP a token at about 80 TFLOP/s, which is
	// 5,000 tokens a second.
	DefaultPrefillPerToken = 200 * time.Microsecond
	// DefaultChunkTokens bounds the prefill of one iteration, so that a long
	// immediate does not stop the running answers (chunked prefill).
	DefaultChunkTokens = 512
	// DefaultCacheTokens: 8 GB that the weights leave, at 128 KiB a token.
	DefaultCacheTokens = 64 << 10
	// DefaultSlots is how many sequences run at once.
	DefaultSlots = 16
	// DefaultTransferTokensPerSecond: 128 KiB a token over 25 Gbit/s.
	DefaultTransferTokensPerSecond = 20000
	// DefaultReportPeriod and DefaultReportDelay: how often the engine
	// measures its load, and how late the report arrives.
	DefaultReportPeriod = 500 * time.Millisecond
	DefaultReportDelay  = 250 * time.Millisecond
	// DefaultEventDelay and DefaultEventLoss: cache events come late, and one
	// in fifty never.
	DefaultEventDelay = time.Second
	DefaultEventLoss  = 0.02
	// DefaultAdapterLoad: a low-rank adapter is a few hundred megabytes, from
	// host memory.
	DefaultAdapterLoad = 500 * time.Millisecond
	// DefaultMaximumModels is how many models and adapters fit at once.
	DefaultMaximumModels = 4
	// DefaultStreamRetention is how long a finished stream can be resumed.
	DefaultStreamRetention = time.Minute
)

// Config describes one engine. Durations and rates must be positive.
type Config struct {
	ID machine.ID
	// Models are loaded at the start.
	Models []string
	// Slots is how many sequences run at once.
	Slots int
	// CacheTokens is the KV memory, in tokens.
	CacheTokens int

	StepOverhead      time.Duration
	DecodePerSequence time.Duration
	PrefillPerToken   time.Duration
	ChunkTokens       int

	// TransferTokensPerSecond is the bandwidth of KV import and export.
	TransferTokensPerSecond int
	// ReportPeriod zero means that the engine reports no load by itself.
	ReportPeriod time.Duration
	ReportDelay  time.Duration
	EventDelay   time.Duration
	// EventLoss is the probability that a cache event is never delivered.
	EventLoss float64

	AdapterLoad     time.Duration
	MaximumModels   int
	StreamRetention time.Duration
}

// DefaultConfig returns an engine with the default rates.
func DefaultConfig(id machine.ID, models ...string) Config {
	return Config{
		ID:                      id,
		Models:                  models,
		Slots:                   DefaultSlots,
		CacheTokens:             DefaultCacheTokens,
		StepOverhead:            DefaultStepOverhead,
		DecodePerSequence:       DefaultDecodePerSequence,
		PrefillPerToken:         DefaultPrefillPerToken,
		ChunkTokens:             DefaultChunkTokens,
		TransferTokensPerSecond: DefaultTransferTokensPerSecond,
		ReportPeriod:            DefaultReportPeriod,
		ReportDelay:             DefaultReportDelay,
		EventDelay:              DefaultEventDelay,
		EventLoss:               DefaultEventLoss,
		AdapterLoad:             DefaultAdapterLoad,
		MaximumModels:           DefaultMaximumModels,
		StreamRetention:         DefaultStreamRetention,
	}
}

// Faster returns the configuration of an engine that computes and transfers
// factor times as fast.
func (c Config) Faster(factor float64) Config {
	scale := func(d time.Duration) time.Duration {
		return max(time.Duration(float64(d)/factor), time.Nanosecond)
	}
	c.StepOverhead = scale(c.StepOverhead)
	c.DecodePerSequence = scale(c.DecodePerSequence)
	c.PrefillPerToken = scale(c.PrefillPerToken)
	c.AdapterLoad = scale(c.AdapterLoad)
	c.TransferTokensPerSecond = int(float64(c.TransferTokensPerSecond) * factor)
	return c
}

// ServiceTime returns how much of the engine's time a call takes when the
// batch is full: its prefill, and its share of the decode iterations. Its
// inverse is the engine's capacity in calls.
func (c Config) ServiceTime(prefillTokens, outputTokens float64) time.Duration {
	share := float64(c.StepOverhead)/float64(c.Slots) + float64(c.DecodePerSequence)
	return time.Duration(prefillTokens*float64(c.PrefillPerToken) + outputTokens*share)
}

// TransferTime returns how long it takes to move the KV cache of so many
// tokens.
func (c Config) TransferTime(tokens int) time.Duration {
	return time.Duration(tokens) * time.Second / time.Duration(c.TransferTokensPerSecond)
}

// validate collects everything that is wrong.
func (c Config) validate() error {
	found := findings.Of("engine " + string(c.ID))
	found.Require(c.ID != "", "id", "missing")
	findings.Positive(found, "slots", c.Slots)
	findings.Positive(found, "cache_tokens", c.CacheTokens)
	findings.Positive(found, "step_overhead", c.StepOverhead)
	findings.Positive(found, "prefill_per_token", c.PrefillPerToken)
	findings.Positive(found, "chunk_tokens", c.ChunkTokens)
	findings.Positive(found, "transfer_tokens_per_second", c.TransferTokensPerSecond)
	findings.Positive(found, "maximum_models", c.MaximumModels)
	found.Require(len(c.Models) <= c.MaximumModels, "models", "%d do not fit, at most %d", len(c.Models), c.MaximumModels)
	found.Require(c.EventLoss >= 0 && c.EventLoss < 1, "event_loss", "want 0 up to 1, got %g", c.EventLoss)
	return found.Err()
}
