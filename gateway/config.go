package gateway

import (
	"math/rand/v2"
	"time"

	"birchwood.example/birchwood/api"
)

// Config holds the settings of a Gateway. DefaultConfig returns a usable one.
type Config struct {
	// Node is this node's name, which begins the IDs of its refusals.
	Node string
	// MaximumBodyBytes bounds a request's body.
	MaximumBodyBytes int
	// MaximumReplyBytes bounds a JSON answer or a stream event relayed from
	// another node.
	MaximumReplyBytes int
	// ReadTimeout bounds the time in which a whole request must arrive.
	ReadTimeout time.Duration
	// WriteTimeout bounds one write: a whole JSON answer, or one event of a
	// stream.
	WriteTimeout time.Duration
	// IdleTimeout closes a connection that sends no further request.
	IdleTimeout time.Duration
	// MaximumWait bounds how long a request may wait for its call. The caller
	// then gets the call's state, and may repeat the request.
	MaximumWait time.Duration
	// RequestTimeout bounds a request that does not wait for a call, even when
	// the log service is slow. After a time-out the outcome is unknown, and
	// the caller can repeat the request with the same key to learn it.
	RequestTimeout time.Duration
	// WaitSlice is the longest time that the owner lets a relayed request wait
	// before it answers with the call's state; the relaying node then repeats
	// the request. It bounds how long a failure of the owner goes unnoticed if its
	// connections stay open.
	WaitSlice time.Duration
	// DrainGrace bounds how long Shutdown still accepts new connections.
	DrainGrace time.Duration
	// KeepAlive is the time between two comments on an idle stream, and
	// between two probes of a waiting caller's connection. It bounds how long
	// a caller's disconnect goes unnoticed.
	KeepAlive time.Duration
	// DialTimeout bounds a connection attempt to another node.
	DialTimeout time.Duration
	// PeerSilence is how long another node may send nothing on a connection
	// with a pending answer. It must exceed WaitSlice and KeepAlive; if zero,
	// it is derived from them.
	PeerSilence time.Duration
	// ConnectionsPerPeer bounds the connections to one other node.
	ConnectionsPerPeer int
	// Connections bounds the connections of callers.
	Connections int
	// MaximumHops bounds how often a request is relayed from node to node.
	MaximumHops int
	// MaximumAttempts bounds how often a request is tried while the program's
	// owner changes. With the default delays, requests outlast an ownership
	// change of about 20 seconds.
	MaximumAttempts int
	// RetryDelay is the delay before the second attempt. It doubles with each
	// attempt up to MaximumRetryDelay, with jitter.
	RetryDelay        time.Duration
	MaximumRetryDelay time.Duration
	// RetryRatio is the number of retries that each successful request adds to
	// the retry budget, and RetryBurst is the budget's capacity. Together they
	// bound the amplification.
	RetryRatio float64
	RetryBurst int
	// InFlight bounds the requests in flight on this node, CallerInFlight
	// those of one caller.
	InFlight       int
	CallerInFlight int
	// CallerRate is the average number of requests per second that one caller
	// may send, and CallerBurst the number that it may send at once.
	CallerRate  float64
	CallerBurst int
	// Random is the source of retry jitter and of the choice of a detour. It
	// need not be safe for concurrent use.
	Random *rand.Rand
	// Observer receives measurements and refusals. It may be nil.
	Observer Observer
	// FindRefusal returns a refusal that was reported to the Observer, for the
	// route /v1/refusals/{id}. If nil, this node finds no refusals.
	FindRefusal func(id string) (Refusal, bool)
}

// DefaultConfig returns settings that suit a small machine.
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

// silenceMargin is added to the longest regular interval between bytes from
// another node to get the default PeerSilence.
const silenceMargin = 3 * time.Second

// setDefaults sets PeerSilence if it is zero.
func (c *Config) setDefaults() {
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
			findings.Add(limit.key, "want more than 0")
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

// limit is a setting whose value must be positive.
type limit struct {
	key   string
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
