package linkhttp

import (
	"time"

	"birchwood.example/birchwood/findings"
	"birchwood.example/birchwood/link"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// Path is where peers post their messages.
const Path = "/internal/v1/messages"

// HeaderZone names the sender's zone.
const HeaderZone = "X-Zone"

// Config sets up a Transport.
type Config struct {
	// Self and Zone are this node's.
	Self machine.ID
	Zone zone.Name
	// Token is the secret that all nodes of the deployment share.
	Token string
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// RequestTimeout bounds one request with its answer.
	RequestTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept. The server's
	// must be longer.
	IdleTimeout time.Duration
	// QueueMessages bounds the messages that wait in one lane of a peer.
	QueueMessages int
	// BatchMessages bounds the messages of one request.
	BatchMessages int
	// BatchBytes is the size of a body beyond which no further message is
	// added to it.
	BatchBytes int
	// MaximumBody bounds the bodies that the handler accepts, in bytes.
	MaximumBody int
	// Breaker is the circuit breaker of each lane.
	Breaker link.BreakerConfig
	// Permits reports whether messages pass from one zone to another. Nil
	// permits all.
	Permits func(from, to zone.Name) bool
}

// DefaultConfig returns the settings used in production.
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
