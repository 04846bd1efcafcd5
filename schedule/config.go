package schedule

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"birchwood.example/birchwood/zone"
)

// Config holds what a policy needs to know of its node and how it weighs its
// choices. DefaultConfig gives every weight a value; Self, LinkDelay and
// Random come from the node.
type Config struct {
	// Self is the zone of the node that decides.
	Self zone.Name
	// LinkDelay is the one-way delay from this node to a zone.
	LinkDelay func(zone.Name) time.Duration
	// Random breaks ties and samples candidates. The same seed and the same
	// inputs give the same decisions.
	Random *rand.Rand

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

// DefaultConfig returns a Config that lacks only Self, LinkDelay and Random.
func DefaultConfig() Config {
	return Config{
		Choices:     4,
		EngineFill:  1,
		MaximumHold: 30 * time.Second,
		StaleLoad:   10 * time.Second,
		Rates: Rates{
			PrefillPerToken:  120 * time.Microsecond,
			DecodePerToken:   20 * time.Millisecond,
			DecodePerPeer:    300 * time.Microsecond,
			TransferPerToken: 15 * time.Microsecond,
		},
	}
}

// validate returns every finding about the configuration, joined.
func (c Config) validate() error {
	var findings []error
	require := func(ok bool, place, want string) {
		if !ok {
			findings = append(findings, fmt.Errorf("schedule configuration: %s: want %s", place, want))
		}
	}
	require(c.Self.Validate() == nil, "Self", "a zone name")
	require(c.LinkDelay != nil, "LinkDelay", "a function")
	require(c.Random != nil, "Random", "a seeded source")
	require(c.Choices >= 1, "Choices", "at least 1")
	require(c.EngineFill > 0 && c.EngineFill <= 2, "EngineFill", "a share above 0 and at most 2")
	require(c.MaximumHold > 0, "MaximumHold", "a positive duration")
	require(c.StaleLoad > 0, "StaleLoad", "a positive duration")
	require(c.Rates.PrefillPerToken > 0, "Rates.PrefillPerToken", "a positive duration")
	require(c.Rates.DecodePerToken > 0, "Rates.DecodePerToken", "a positive duration")
	require(c.Rates.DecodePerPeer >= 0, "Rates.DecodePerPeer", "no negative duration")
	require(c.Rates.TransferPerToken > 0, "Rates.TransferPerToken", "a positive duration")
	return errors.Join(findings...)
}
