package linkhttp

import (
	"time"

	"birchwood.example/birchwood/findings"
	"birchwood.example/birchwood/link"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// Path is the path to which peers post their messages.
const Path = "/internal/v1/messages"

// HeaderZone is the header field with the sender's zone.
const HeaderZone = "X-Zone"

// Config configures a Transport.
type Config struct {
	// Self and Zone are this node's ID and zone.
	Self machine.ID
	Zone zone.Name
	// Token is the secret shared by all nodes of the deployment.
	Token string
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// RequestTimeout bounds the time of one request, including its answer.
	RequestTimeout time.Duration
	// IdleTimeout is how long an idle connection stays open. The server's idle
	// timeout must be longer.
	IdleTimeout time.Duration
	// QueueMessages bounds the number of messages queued in one lane of a peer.
	QueueMessages int
	// BatchMessages bounds the number of messages in one request.
	BatchMessages int
	// BatchBytes limits the size of a body. A single larger message is sent
	// alone.
	BatchBytes int
	// MaximumBody bounds the bodies that the handler accepts, in bytes.
	MaximumBody int
	// Breaker configures the circuit breaker of each lane.
	Breaker link.BreakerConfig
	// Permits reports whether messages may pass from one zone to another. Nil
	// permits all.
	Permits func(from, to zone.Name) bool
}

// DefaultConfig returns the production settings.
func DefaultConfig(self machine.ID, zoneName zone.Name, token string) Config {
	return Config{
		Self:           self,
		Zone:           zoneName,
		Token:          token,
		DialTimeout:    time.Second,
		RequestTimeout: 2 * time.Second,
		IdleTimeout:    time.Minute,
		QueueMessages:  1024,
		BatchMessages:  128,
		BatchBytes:     256 << 10,
		MaximumBody:    16 << 20,
		Breaker:        link.DefaultBreakerConfig(),
	}
}

func (c Config) validate() error {
	found := findings.Of("link config")
	found.Require(c.Self != "", "Self", "want a machine's name")
	found.NoError("Zone", c.Zone.Validate())
	found.Require(c.Token != "", "Token", "want a secret")
	findings.Positive(found, "DialTimeout", c.DialTimeout)
	findings.Positive(found, "RequestTimeout", c.RequestTimeout)
	findings.Positive(found, "IdleTimeout", c.IdleTimeout)
	findings.Positive(found, "QueueMessages", c.QueueMessages)
	findings.Positive(found, "BatchMessages", c.BatchMessages)
	findings.Positive(found, "BatchBytes", c.BatchBytes)
	findings.AtLeast(found, "MaximumBody", c.MaximumBody, c.BatchBytes)
	_, err := link.NewBreaker(c.Breaker)
	found.NoError("Breaker", err)
	return found.Err()
}

func (c Config) permits(from, to zone.Name) bool {
	return c.Permits == nil || c.Permits(from, to)
}
