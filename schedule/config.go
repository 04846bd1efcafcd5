package schedule

import (
	"math/rand/v2"
	"time"

	"birchwood.example/birchwood/findings"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// Config configures a policy: the node that it runs on, and the weights and
// limits of its decisions. DefaultConfig sets all weights and limits; Self,
// LinkDelay and Random come from the node. docs/design/scheduling.md gives the
// measured effect of each weight.
type Config struct {
	// Self is the zone of the node that the policy runs on.
	Self zone.Name
	// LinkDelay is the one-way delay from this node to a zone.
	LinkDelay func(zone.Name) time.Duration
	// Random is the source of randomness for sampling candidates. The same
	// seed and the same inputs give the same decisions.
	Random *rand.Rand
	// ManagesEngine reports whether this node issues the load and unload orders
	// of an engine. For each engine exactly one live node should. Nil means
	// that this node manages no engine.
	ManagesEngine func(machine.ID) bool

	// Choices is the number of cold candidates that are sampled and ranked for
	// one call. A small number keeps nodes that read the same late load reports
	// from all choosing the same engine.
	Choices int
	// EngineFill is the share of an engine's slots in use from which the engine
	// counts as saturated, so that further calls are held in the scheduler.
	EngineFill float64
	// MaximumHold bounds how long a call is held before it is refused.
	MaximumHold time.Duration
	// StaleLoad is the age from which a load report is ignored.
	StaleLoad time.Duration
	// Rates are the prior rates of the engines. The learned factors that
	// correct them start at one.
	Rates Rates
	// Cache limits the use of the prefix caches and weighs transfers.
	Cache CacheConfig
	// Order sets the order of held calls.
	Order OrderConfig
	// AdmissionShare bounds the predicted hold of a program's first call, as a
	// share of the time left until its hold deadline. A call whose predicted
	// hold exceeds it is refused at once.
	AdmissionShare float64
	// Models configures the placement of models on engines.
	Models ModelsConfig
}

// Rates are the processing times of an engine, per token.
type Rates struct {
	// PrefillPerToken is the time to compute one prompt token.
	PrefillPerToken time.Duration
	// DecodePerToken is the time to decode one output token in a batch of one.
	DecodePerToken time.Duration
	// DecodePerPeer is the time that each further sequence of the batch adds to
	// DecodePerToken.
	DecodePerPeer time.Duration
	// TransferPerToken is the time to import the KV cache of one token.
	TransferPerToken time.Duration
}

// CacheConfig configures the use of the prefix caches.
type CacheConfig struct {
	// MoveWeight multiplies the predicted transfer time of a prefix in the
	// score of a candidate.
	MoveWeight float64
	// MemoryFill is the share of an engine's cache that calls may fill. The
	// rest is reserved for prefixes that grow and for calls that add at most
	// SmallShare of the cache. A call that does not fit is held.
	MemoryFill float64
	SmallShare float64
	// FloodFill is the share of an engine's cache that a flooding tenant may
	// fill. It also multiplies EngineFill for the calls of such a tenant.
	FloodFill float64
	// ReuseFloor is the probability that a paused program calls a model again
	// below which its prefixes are dropped.
	ReuseFloor float64
	// ReviewInterval is how often the prefixes of paused programs are
	// reviewed.
	ReviewInterval time.Duration
}

// OrderConfig sets the order of one tenant's held calls. They are ordered by
// the arrival of their programs, to which each term adds a time. All terms are
// bounded, so a call that waits long enough overtakes any other.
type OrderConfig struct {
	// AttainedPerToken is the time added for each token of service that the
	// program has attained.
	AttainedPerToken time.Duration
	// AttainedMaximum bounds the time added for attained service.
	AttainedMaximum time.Duration
	// DeadlineShare is the share of the time between the program's arrival and
	// the call's deadline that is added, so that calls with little time left go
	// first.
	DeadlineShare float64
}

// ModelsConfig configures the placement of models on engines.
type ModelsConfig struct {
	// ReviewInterval is how often the demand for the models is compared.
	ReviewInterval time.Duration
	// OrderTimeout is how long to wait for an order to take effect in the
	// machine list before the next one is issued.
	OrderTimeout time.Duration
	// Busy is the mean utilisation of a model's engines, by slots or by cache,
	// from which the model needs another engine. Margin is how much lower the
	// utilisation of the engine that loads it must be.
	Busy   float64
	Margin float64
	// PerEngine is the number of models that an engine keeps loaded at once.
	PerEngine int
}

// DefaultConfig returns a Config that is complete except for Self, LinkDelay
// and Random.
func DefaultConfig() Config {
	return Config{
		Choices:     2,
		EngineFill:  1,
		MaximumHold: 15 * time.Minute,
		StaleLoad:   10 * time.Second,
		Rates: Rates{
			PrefillPerToken:  200 * time.Microsecond,
			DecodePerToken:   17 * time.Millisecond,
			DecodePerPeer:    400 * time.Microsecond,
			TransferPerToken: 50 * time.Microsecond,
		},
		Cache: CacheConfig{
			MoveWeight:     4,
			MemoryFill:     0.8,
			SmallShare:     0.015,
			FloodFill:      0.5,
			ReuseFloor:     0.1,
			ReviewInterval: time.Second,
		},
		Order: OrderConfig{
			AttainedPerToken: 200 * time.Microsecond,
			AttainedMaximum:  10 * time.Second,
			DeadlineShare:    0.25,
		},
		AdmissionShare: 0.25,
		Models: ModelsConfig{
			ReviewInterval: 5 * time.Second,
			OrderTimeout:   2 * time.Minute,
			Busy:           0.5,
			Margin:         0.1,
			PerEngine:      2,
		},
	}
}

// validate returns all findings about the configuration in one error.
func (c Config) validate() error {
	found := findings.Of("schedule config")
	found.NoError("Self", c.Self.Validate())
	found.Require(c.LinkDelay != nil, "LinkDelay", "want a function")
	found.Require(c.Random != nil, "Random", "want a seeded source")
	findings.AtLeast(found, "Choices", c.Choices, 1)
	found.Require(c.EngineFill > 0 && c.EngineFill <= 2, "EngineFill", "got %v, want a share above 0 and at most 2", c.EngineFill)
	findings.Positive(found, "MaximumHold", c.MaximumHold)
	findings.Positive(found, "StaleLoad", c.StaleLoad)
	found.Require(c.AdmissionShare > 0 && c.AdmissionShare <= 1, "AdmissionShare", "got %v, want a share above 0 and at most 1", c.AdmissionShare)
	c.Rates.validate(found)
	c.Cache.validate(found)
	c.Order.validate(found)
	c.Models.validate(found)
	return found.Err()
}

func (r Rates) validate(found *findings.List) {
	findings.Positive(found, "Rates.PrefillPerToken", r.PrefillPerToken)
	findings.Positive(found, "Rates.DecodePerToken", r.DecodePerToken)
	findings.Positive(found, "Rates.DecodePerPeer", r.DecodePerPeer)
	findings.Positive(found, "Rates.TransferPerToken", r.TransferPerToken)
}

func (c CacheConfig) validate(found *findings.List) {
	findings.AtLeast(found, "Cache.MoveWeight", c.MoveWeight, 1)
	findings.Positive(found, "Cache.MemoryFill", c.MemoryFill)
	findings.AtLeast(found, "Cache.SmallShare", c.SmallShare, 0)
	findings.Positive(found, "Cache.FloodFill", c.FloodFill)
	found.Require(c.ReuseFloor >= 0 && c.ReuseFloor <= 1, "Cache.ReuseFloor", "got %v, want a probability", c.ReuseFloor)
	findings.Positive(found, "Cache.ReviewInterval", c.ReviewInterval)
}

func (o OrderConfig) validate(found *findings.List) {
	findings.AtLeast(found, "Order.AttainedPerToken", o.AttainedPerToken, 0)
	found.Require(o.DeadlineShare >= 0 && o.DeadlineShare <= 1, "Order.DeadlineShare", "got %v, want a share", o.DeadlineShare)
	findings.AtLeast(found, "Order.AttainedMaximum", o.AttainedMaximum, 0)
}

func (m ModelsConfig) validate(found *findings.List) {
	findings.Positive(found, "Models.ReviewInterval", m.ReviewInterval)
	findings.Positive(found, "Models.OrderTimeout", m.OrderTimeout)
	findings.Positive(found, "Models.Busy", m.Busy)
	findings.AtLeast(found, "Models.Margin", m.Margin, 0)
	findings.AtLeast(found, "Models.PerEngine", m.PerEngine, 1)
}
