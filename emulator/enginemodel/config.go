package enginemodel

import (
	"time"

	"birchwood.example/birchwood/findings"
	"birchwood.example/birchwood/machine"
)

// Default rates: round figures for one replica that runs a model of about eight
// billion parameters with 16-bit weights on one accelerator with 24 GB of memory
// and about 1 TB/s of memory bandwidth. The orders of magnitude follow from that
// hardware and do not represent a particular product.
const (
	// DefaultStepOverhead is the time to read all weights once per iteration:
	// 16 GB at about 1 TB/s.
	DefaultStepOverhead = 16 * time.Millisecond
	// DefaultDecodePerSequence is the time to read the KV cache of one sequence,
	// a few thousand tokens, and to sample its next token.
	DefaultDecodePerSequence = 250 * time.Microsecond
	// DefaultPrefillPerToken is the time for 16 GFLOP at about 80 TFLOP/s, which
	// gives 5,000 tokens per second.
	DefaultPrefillPerToken = 200 * time.Microsecond
	// DefaultChunkTokens limits the prefill of one iteration, so that a long
	// prompt does not stall the sequences that decode (chunked prefill).
	DefaultChunkTokens = 512
	// DefaultCacheTokens is the KV memory beside the weights: 8 GB at 128 KiB per
	// token.
	DefaultCacheTokens = 64 << 10
	// DefaultSlots is the maximum number of concurrent sequences.
	DefaultSlots = 16
	// DefaultTransferTokensPerSecond follows from 128 KiB per token over 25 Gbit/s.
	DefaultTransferTokensPerSecond = 20000
	// DefaultReportPeriod is the time between two load reports, and
	// DefaultReportDelay the time from the measurement to its delivery.
	DefaultReportPeriod = 500 * time.Millisecond
	DefaultReportDelay  = 250 * time.Millisecond
	// DefaultEventDelay is the delay of cache events. DefaultEventLoss is the
	// share that is never delivered: one in fifty.
	DefaultEventDelay = time.Second
	DefaultEventLoss  = 0.02
	// DefaultAdapterLoad is the time to load a low-rank adapter, a few hundred
	// megabytes, from host memory.
	DefaultAdapterLoad = 500 * time.Millisecond
	// DefaultMaximumModels is how many models and adapters can be loaded at once.
	DefaultMaximumModels = 4
	// DefaultStreamRetention is how long a finished stream can be resumed.
	DefaultStreamRetention = time.Minute
)

// Config configures one engine. Durations and rates must be positive, unless the
// field's comment says otherwise.
type Config struct {
	ID machine.ID
	// Models are the models that are loaded at the start.
	Models []string
	// Slots is the maximum number of concurrent sequences.
	Slots int
	// CacheTokens is the KV memory, in tokens.
	CacheTokens int

	// StepOverhead, DecodePerSequence and PrefillPerToken give the duration of an
	// iteration; see the package documentation.
	StepOverhead      time.Duration
	DecodePerSequence time.Duration
	PrefillPerToken   time.Duration
	// ChunkTokens is the maximum prefill of one iteration in RoleBalanced.
	ChunkTokens int

	// TransferTokensPerSecond is the bandwidth of KV import and export.
	TransferTokensPerSecond int
	// ReportPeriod is the time between two load reports. Zero disables them.
	ReportPeriod time.Duration
	// ReportDelay and EventDelay delay the output of load reports and cache
	// events.
	ReportDelay time.Duration
	EventDelay  time.Duration
	// EventLoss is the probability that a cache event is never delivered.
	EventLoss float64

	// AdapterLoad is the time to load an adapter, in addition to the transfer of
	// its weights.
	AdapterLoad time.Duration
	// MaximumModels is how many models and adapters can be loaded at once.
	MaximumModels int
	// StreamRetention is how long a finished stream can be resumed. Zero disables
	// resumption.
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

// Faster returns the configuration of an engine that computes, loads adapters and
// transfers KV cache factor times as fast.
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

// ServiceTime returns the engine time that a call takes when the batch is full:
// its prefill and its share of the decode iterations. Its inverse is the engine's
// capacity in calls per time.
func (c Config) ServiceTime(prefillTokens, outputTokens float64) time.Duration {
	share := float64(c.StepOverhead)/float64(c.Slots) + float64(c.DecodePerSequence)
	return time.Duration(prefillTokens*float64(c.PrefillPerToken) + outputTokens*share)
}

// TransferTime returns the time to transfer the KV cache of a number of tokens.
func (c Config) TransferTime(tokens int) time.Duration {
	return time.Duration(tokens) * time.Second / time.Duration(c.TransferTokensPerSecond)
}

// validate returns all findings on the configuration as one error.
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
