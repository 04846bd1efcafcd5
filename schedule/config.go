package schedule

import (
	"math/rand/v2"
	"time"

	"birchwood.example/birchwood/findings"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// Config holds what a policy needs to know of its node and how it weighs its
// choices. DefaultConfig gives every weight a value; Self, LinkDelay and
// Random come from the node. docs/design/scheduling.md says what each weight
// was measured to bring.
type Config struct {
	// Self is the zone of the node that decides.
	Self zone.Name
	// LinkDelay is the one-way delay from this node to a zone.
	LinkDelay func(zone.Name) time.Duration
	// Random samples candidates. The same seed and the same inputs give the
	// same decisions.
	Random *rand.Rand
	// Commands reports whether this node gives orders to an engine. Exactly
	// one live node should for each engine. Nil: this node orders none.
	Commands func(machine.ID) bool

	// Choices is how many cold candidates are ranked for one call. Few
	// choices keep nodes that share late reports from agreeing on one engine.
	Choices int
	// EngineFill is the share of an engine's slots that may be taken before
	// the engine counts as saturated and calls are held here instead.
	EngineFill float64
	// MaximumHold bounds how long a call is held before it is refused.
	MaximumHold time.Duration
	// StaleLoad is the age from which a load report says nothing any more.
	StaleLoad time.Duration
	// Rates are the priors of the engines' speed, until calls teach better.
	Rates Rates
	// Cache weighs the prefix caches against speed.
	Cache CacheConfig
	// Order sets the order of the calls that are held.
	Order OrderConfig
	// AdmissionShare is the share of its time limit that the predicted hold of
	// a program's first call may take before it is refused at once.
	AdmissionShare float64
	// Models places models on replicas.
	Models ModelsConfig
}

// Rates describe how fast an engine works.
type Rates struct {
	// PrefillPerToken is the time to compute one prompt token.
	PrefillPerToken time.Duration
	// DecodePerToken is the time of one output token in a batch of one.
	DecodePerToken time.Duration
	// DecodePerPeer is what each further sequence of the batch adds to it.
	DecodePerPeer time.Duration
	// TransferPerToken is the time to import one token's KV cache.
	TransferPerToken time.Duration
}

// CacheConfig weighs the prefix caches.
type CacheConfig struct {
	// MoveWeight multiplies the predicted transfer of a prefix.
	MoveWeight float64
	// MemoryFill is the share of an engine's cache that calls may fill. The
	// rest is for prefixes that grow, and for calls that add no more than
	// SmallShare of the cache; a call that does not fit is held.
	MemoryFill float64
	SmallShare float64
	// FloodFill is the share of a cache that a tenant may fill while it
	// floods.
	FloodFill float64
	// ReuseFloor is the probability of a return below which the prefix of a
	// paused program is dropped.
	ReuseFloor float64
	// ReviewInterval is how often the prefixes of paused programs are
	// reviewed.
	ReviewInterval time.Duration
}

// OrderConfig sets the order of held calls of one tenant. Each term moves a
// call's place by a time, as if it had been enqueued earlier or later; all
// are bounded, so a call that waits long enough overtakes any other.
type OrderConfig struct {
	// AttainedPerToken moves a call later by the service of its program.
	AttainedPerToken time.Duration
	// AttainedMaximum bounds that move.
	AttainedMaximum time.Duration
	// DeadlineShare moves a call later by a share of the time between its
	// program's arrival and its deadline: who has little time goes first.
	DeadlineShare float64
}

// ModelsConfig places models on replicas.
type ModelsConfig struct {
	// ReviewInterval is how often the demand of the models is compared.
	ReviewInterval time.Duration
	// OrderTimeout is how long an order may take to show in the machine list
	// before the next one is given.
	OrderTimeout time.Duration
	// Busy is the share in use, by slots or by cache, from which a model's
	// engines are short; Margin is how much less busy the engine must be that
	// is to load it too.
	Busy   float64
	Margin float64
	// PerEngine is how many models an engine holds at once.
	PerEngine int
}

// DefaultConfig returns a Config that lacks only Self, LinkDelay and Random.
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

// validate returns every finding about the configuration, joined.
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
