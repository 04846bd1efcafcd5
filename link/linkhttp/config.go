package linkhttp

import (
	"errors"
	"fmt"
	"time"

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
func DefaultConfig(self machine.ID, place zone.Name, token string) Config {
	return Config{
		Self:           self,
		Zone:           place,
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
	var findings []error
	if c.Self == "" {
		findings = append(findings, errors.New("field Self: want a machine's name"))
	}
	if err := c.Zone.Validate(); err != nil {
		findings = append(findings, fmt.Errorf("field Zone: %w", err))
	}
	if c.Token == "" {
		findings = append(findings, errors.New("field Token: want a secret"))
	}
	durations := []struct {
		field string
		value time.Duration
	}{
		{"DialTimeout", c.DialTimeout},
		{"RequestTimeout", c.RequestTimeout},
		{"IdleTimeout", c.IdleTimeout},
	}
	for _, duration := range durations {
		if duration.value <= 0 {
			findings = append(findings, fmt.Errorf("field %s: got %v, want more than 0", duration.field, duration.value))
		}
	}
	counts := []struct {
		field string
		value int
	}{
		{"QueueMessages", c.QueueMessages},
		{"BatchMessages", c.BatchMessages},
		{"BatchBytes", c.BatchBytes},
	}
	for _, count := range counts {
		if count.value < 1 {
			findings = append(findings, fmt.Errorf("field %s: got %d, want at least 1", count.field, count.value))
		}
	}
	if c.MaximumBody < c.BatchBytes {
		findings = append(findings, fmt.Errorf("field MaximumBody: got %d, want at least BatchBytes, %d", c.MaximumBody, c.BatchBytes))
	}
	if _, err := link.NewBreaker(c.Breaker); err != nil {
		findings = append(findings, fmt.Errorf("field Breaker: %w", err))
	}
	return errors.Join(findings...)
}

func (c Config) permits(from, to zone.Name) bool {
	return c.Permits == nil || c.Permits(from, to)
}
