package link

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// LimiterConfig sets up a Limiter.
type LimiterConfig struct {
	// InFlight bounds the requests that are running.
	InFlight int
	// Queue bounds the requests that wait.
	Queue int
}

// DefaultLimiterConfig suits the forwarded calls of one peer.
func DefaultLimiterConfig() LimiterConfig {
	return LimiterConfig{InFlight: 256, Queue: 256}
}

func (c LimiterConfig) validate() error {
	var findings []error
	if c.InFlight < 1 {
		findings = append(findings, fmt.Errorf("field InFlight: got %d, want at least 1", c.InFlight))
	}
	if c.Queue < 0 {
		findings = append(findings, fmt.Errorf("field Queue: got %d, want at least 0", c.Queue))
	}
	return errors.Join(findings...)
}

// Admission is a Limiter's verdict on a request.
type Admission string

// The verdicts of a Limiter.
const (
	AdmissionStart  Admission = "start"
	AdmissionWait   Admission = "wait"
	AdmissionRefuse Admission = "refuse"
)

// Limiter bounds the requests to one peer. Requests that wait start in the
// order in which they came; those whose deadline has passed never start.
type Limiter[Request comparable] struct {
	config  LimiterConfig
	running int
	waiting []waitingRequest[Request]
}

type waitingRequest[Request comparable] struct {
	request  Request
	deadline time.Time
}

// NewLimiter returns a limiter without requests.
func NewLimiter[Request comparable](config LimiterConfig) (*Limiter[Request], error) {
	if err := config.validate(); err != nil {
		return nil, fmt.Errorf("limiter settings: %w", err)
	}
	return &Limiter[Request]{config: config}, nil
}

// Admit decides on a new request. A request that may start counts as running
// until Finish; one that waits is returned by a later Finish or Expire, unless
// it is withdrawn.
func (l *Limiter[Request]) Admit(request Request, deadline time.Time) Admission {
	if l.running < l.config.InFlight {
		l.running++
		return AdmissionStart
	}
	if len(l.waiting) >= l.config.Queue {
		return AdmissionRefuse
	}
	l.waiting = append(l.waiting, waitingRequest[Request]{request: request, deadline: deadline})
	return AdmissionWait
}

// Finish ends a running request and returns those that start in its place.
func (l *Limiter[Request]) Finish(now time.Time) (started, expired []Request) {
	if l.running > 0 {
		l.running--
	}
	expired = l.Expire(now)
	for l.running < l.config.InFlight && len(l.waiting) > 0 {
		started = append(started, l.waiting[0].request)
		l.waiting = slices.Delete(l.waiting, 0, 1)
		l.running++
	}
	return started, expired
}

// Expire removes and returns the waiting requests whose deadline has passed.
func (l *Limiter[Request]) Expire(now time.Time) []Request {
	var expired []Request
	l.waiting = slices.DeleteFunc(l.waiting, func(waiting waitingRequest[Request]) bool {
		late := !now.Before(waiting.deadline)
		if late {
			expired = append(expired, waiting.request)
		}
		return late
	})
	return expired
}

// Withdraw removes a waiting request, whose caller gave up. It reports
// whether the request was waiting, so that it certainly never starts.
func (l *Limiter[Request]) Withdraw(request Request) bool {
	place := slices.IndexFunc(l.waiting, func(waiting waitingRequest[Request]) bool {
		return waiting.request == request
	})
	if place < 0 {
		return false
	}
	l.waiting = slices.Delete(l.waiting, place, place+1)
	return true
}

// Running returns how many requests are in flight.
func (l *Limiter[Request]) Running() int { return l.running }

// Waiting returns how many requests wait.
func (l *Limiter[Request]) Waiting() int { return len(l.waiting) }
