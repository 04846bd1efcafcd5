package gateway

import (
	"math/rand/v2"
	"time"

	"birchwood.example/birchwood/api"
)

// Config sets the limits of a Gateway. DefaultConfig returns one that is
// ready for use.
type Config struct {
	// Node names this node in the ids of refusals.
	Node string
	// MaximumBodyBytes bounds a request's body.
	MaximumBodyBytes int
	// MaximumReplyBytes bounds a JSON answer that is relayed.
	MaximumReplyBytes int
	// ReadTimeout bounds the time in which a whole request must arrive.
	ReadTimeout time.Duration
	// WriteTimeout bounds one write: a whole JSON answer, or one event of a
	// stream.
	WriteTimeout time.Duration
	// IdleTimeout closes a connection that sends no further request.
	IdleTimeout time.Duration
	// MaximumWait bounds how long a request may wait for its call. It then
	// gets the call's state, and may ask again.
	MaximumWait time.Duration
	// RequestTimeout bounds a request that does not wait for a call, also
	// when the log service is slow. Its outcome is then unknown, and its key
	// tells.
	RequestTimeout time.Duration
	// WaitSlice is how long the owner lets a relayed request wait at most
	// before it answers with the call's state; the relay then asks again. It
	// bounds how long a silent death of the owner goes unnoticed.
	WaitSlice time.Duration
	// DrainGrace bounds how long Shutdown still takes new connections.
	DrainGrace time.Duration
	// KeepAlive is the time between two comments on an idle stream. It bounds
	// how long a caller that hung up goes unnoticed.
	KeepAlive time.Duration
	// DialTimeout bounds a connection attempt to another node.
	DialTimeout time.Duration
	// PeerSilence is how long another node may be silent on a connection
	// that owes an answer. It exceeds WaitSlice and KeepAlive; zero chooses
	// it from them.
	PeerSilence time.Duration
	// ConnectionsPerPeer bounds the connections to one other node.
	ConnectionsPerPeer int
	// Connections bounds the callers' connections.
	Connections int
	// MaximumHops bounds how often a request is passed on.
	MaximumHops int
	// MaximumAttempts bounds how often a request is tried while its owner
	// changes. With the default delays, requests outlast a change of some 20
	// seconds.
	MaximumAttempts int
	// RetryDelay is the pause before the second attempt. It doubles up to
	// MaximumRetryDelay, each with a random part.
	RetryDelay        time.Duration
	MaximumRetryDelay time.Duration
	// RetryRatio is how many retries each request that succeeds earns, and
	// RetryBurst how many may be saved up: together they bound the
	// amplification.
	RetryRatio float64
	RetryBurst int
	// InFlight bounds the requests that are served at once, CallerInFlight
	// those of one caller.
	InFlight       int
	CallerInFlight int
	// CallerRate is how many requests a second one caller may send on
	// average, and CallerBurst how many at once.
	CallerRate  float64
	CallerBurst int
	// Random spreads the retries. It need not be safe for concurrent use.
	Random *rand.Rand
	// Observer gets measurements. It may be nil.
	Observer Observer
	// FindRefusal returns a refusal that the Observer got, for callers that
	// ask why. It may be nil: this node then keeps none.
	FindRefusal func(id string) (Refusal, bool)
}

// DefaultConfig returns the limits that suit a small machine.
func DefaultConfig() Config {
	return Config{
		Node:               "node",
		MaximumBodyBytes:   1 << 20,
		MaximumReplyBytes:  64 << 20,
		ReadTimeout:        20 * time.Second,
		WriteTimeout:       20 * time.Second,
		IdleTimeout:        2 * time.Minute,
		MaximumWait:        15 * time.Minute,
		RequestTimeout:     time.Minute,
		WaitSlice:          5 * time.Second,
		DrainGrace:         3 * time.Second,
		KeepAlive:          2 * time.Second,
		DialTimeout:        time.Second,
		ConnectionsPerPeer: 4096,
		Connections:        16384,
		MaximumHops:        3,
		MaximumAttempts:    30,
		RetryDelay:         50 * time.Millisecond,
		MaximumRetryDelay:  time.Second,
		RetryRatio:         0.2,
		RetryBurst:         1000,
		InFlight:           16384,
		CallerInFlight:     4096,
		CallerRate:         2000,
		CallerBurst:        4000,
		Random:             rand.New(rand.NewPCG(1, uint64(time.Now().UnixNano()))),
	}
}

// silenceMargin is how much longer than its usual pauses a node may be silent.
const silenceMargin = 3 * time.Second

// complete chooses what was left to be chosen.
func (c *Config) complete() {
	if c.PeerSilence == 0 {
		c.PeerSilence = max(c.WaitSlice, c.KeepAlive) + silenceMargin
	}
}

// validate collects everything that is wrong with the configuration.
func (c *Config) validate() error {
	var findings api.Findings
	if c.Node == "" {
		findings.Add("node", "a name is required")
	}
	if c.Random == nil {
		findings.Add("random", "a source of randomness is required")
	}
	for _, limit := range c.limits() {
		if limit.value <= 0 {
			findings.Add(limit.place, "want more than 0")
		}
	}
	if c.PeerSilence <= c.WaitSlice || c.PeerSilence <= c.KeepAlive {
		findings.Add("peer_silence", "want more than wait_slice and keep_alive")
	}
	if c.WriteTimeout <= c.KeepAlive {
		findings.Add("write_timeout", "want more than keep_alive")
	}
	if c.RetryRatio < 0 || c.RetryRatio > 1 {
		findings.Add("retry_ratio", "want 0 to 1")
	}
	if refusal := findings.Error(); refusal != nil {
		return refusal
	}
	return nil
}

// limit is a value that must be positive.
type limit struct {
	place string
	value int64
}

func (c *Config) limits() []limit {
	return []limit{
		{"maximum_body_bytes", int64(c.MaximumBodyBytes)},
		{"maximum_reply_bytes", int64(c.MaximumReplyBytes)},
		{"read_timeout", int64(c.ReadTimeout)},
		{"write_timeout", int64(c.WriteTimeout)},
		{"idle_timeout", int64(c.IdleTimeout)},
		{"maximum_wait", int64(c.MaximumWait)},
		{"request_timeout", int64(c.RequestTimeout)},
		{"wait_slice", int64(c.WaitSlice)},
		{"drain_grace", int64(c.DrainGrace)},
		{"keep_alive", int64(c.KeepAlive)},
		{"dial_timeout", int64(c.DialTimeout)},
		{"connections_per_peer", int64(c.ConnectionsPerPeer)},
		{"connections", int64(c.Connections)},
		{"maximum_hops", int64(c.MaximumHops)},
		{"maximum_attempts", int64(c.MaximumAttempts)},
		{"retry_delay", int64(c.RetryDelay)},
		{"maximum_retry_delay", int64(c.MaximumRetryDelay)},
		{"retry_burst", int64(c.RetryBurst)},
		{"in_flight", int64(c.InFlight)},
		{"caller_in_flight", int64(c.CallerInFlight)},
		{"caller_rate", int64(c.CallerRate)},
		{"caller_burst", int64(c.CallerBurst)},
	}
}
