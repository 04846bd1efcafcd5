package program

import (
	"math/rand/v2"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/findings"
)

// NoOffset is the offset of a record that is not in the log yet.
const NoOffset = ^uint64(0)

// Defaults of Config.
const (
	defaultMaximumPrograms    = 100_000
	defaultMaximumQueuedCalls = 64
	defaultMaximumDepth       = 8
	defaultRetryBase          = 50 * time.Millisecond
	defaultRetryMaximum       = 5 * time.Second
	defaultLookupAttempts     = 5
	defaultLookupTimeout      = 5 * time.Second
	defaultTickPrograms       = 256
	defaultSnapshotPartBytes  = 256 << 10
	// bytesPerToken is the average by which the default CountTokens estimates
	// tokens from the length of a text.
	bytesPerToken = 4
)

// Config sets the limits of a Store. A zero field takes its default.
type Config struct {
	// CountTokens returns the length of a text in tokens. The default counts
	// four bytes as one token.
	CountTokens func(string) int
	// MaximumPrograms bounds the programs in the store, ended ones included.
	MaximumPrograms int
	// MaximumQueuedCalls bounds the calls of one program that have not ended.
	MaximumQueuedCalls int
	// MaximumDepth bounds how deep sub-agents may be nested.
	MaximumDepth int
	// RetryBase and RetryMaximum bound the backoff of retries and lookups.
	RetryBase    time.Duration
	RetryMaximum time.Duration
	// Random is the source of the backoff's jitter. The default has a fixed seed.
	Random *rand.Rand
	// LookupAttempts bounds how often a key is looked up at a tool service.
	LookupAttempts int
	// LookupTimeout bounds the wait for the result of one lookup.
	LookupTimeout time.Duration
	// TickPrograms bounds the programs that one Tick processes.
	TickPrograms int
	// SnapshotPartBytes is the size at which a part of a snapshot is complete
	// and the next one begins.
	SnapshotPartBytes int
}

// DefaultConfig returns the default limits, with jitter from random.
func DefaultConfig(random *rand.Rand) Config {
	return Config{Random: random}.withDefaults()
}

// validate returns all errors in the configuration, joined.
func (c Config) validate() error {
	found := findings.Of("program config")
	findings.AtLeast(found, "MaximumPrograms", c.MaximumPrograms, 0)
	findings.AtLeast(found, "MaximumQueuedCalls", c.MaximumQueuedCalls, 0)
	findings.AtLeast(found, "MaximumDepth", c.MaximumDepth, 0)
	findings.AtLeast(found, "RetryBase", c.RetryBase, 0)
	findings.AtLeast(found, "RetryMaximum", c.RetryMaximum, 0)
	findings.AtLeast(found, "LookupAttempts", c.LookupAttempts, 0)
	findings.AtLeast(found, "LookupTimeout", c.LookupTimeout, 0)
	findings.AtLeast(found, "TickPrograms", c.TickPrograms, 0)
	findings.AtLeast(found, "SnapshotPartBytes", c.SnapshotPartBytes, 0)
	found.Require(c.RetryMaximum <= 0 || c.RetryBase <= c.RetryMaximum, "RetryBase",
		"got %s, want at most RetryMaximum, %s", c.RetryBase, c.RetryMaximum)
	return found.Err()
}

func (c Config) withDefaults() Config {
	setDefault(&c.MaximumPrograms, defaultMaximumPrograms)
	setDefault(&c.MaximumQueuedCalls, defaultMaximumQueuedCalls)
	setDefault(&c.MaximumDepth, defaultMaximumDepth)
	setDefault(&c.RetryMaximum, max(defaultRetryMaximum, c.RetryBase))
	setDefault(&c.RetryBase, min(defaultRetryBase, c.RetryMaximum))
	setDefault(&c.LookupAttempts, defaultLookupAttempts)
	setDefault(&c.LookupTimeout, defaultLookupTimeout)
	setDefault(&c.TickPrograms, defaultTickPrograms)
	setDefault(&c.SnapshotPartBytes, defaultSnapshotPartBytes)
	if c.CountTokens == nil {
		c.CountTokens = func(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }
	}
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(1, 1))
	}
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Store holds the programs of one partition. It is not safe for concurrent
// use: one goroutine drives it.
type Store struct {
	config   Config
	programs map[api.ProgramID]*programState
	timers   timerHeap
	// terms has the latest terms of each branch. Programs with equal terms share
	// one copy, to save memory.
	terms map[string]*Terms
	// finished lists the programs that have ended completely, oldest first.
	finished []api.ProgramID
	// epoch is the epoch of this owner, as passed to Resume.
	epoch uint64
	stats Stats
}

// NewStore returns an empty store, or an error that lists every invalid
// setting.
func NewStore(config Config) (*Store, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	return &Store{
		config:   config.withDefaults(),
		programs: make(map[api.ProgramID]*programState),
		terms:    make(map[string]*Terms),
	}, nil
}

// Step applies one command and returns the resulting records and effects. The
// state in memory changes at once, but must not be reported to anyone before
// Output.Records are durable. A refused command changes no durable state.
func (s *Store) Step(now time.Time, command Command) (Output, *api.Error) {
	t := newTransition(s, now)
	refusal := t.step(command)
	if refusal != nil {
		t.setTimers()
		return Output{}, refusal
	}
	return t.finish(), nil
}

func (t *transition) step(command Command) *api.Error {
	if command.Create != nil {
		return t.create(command.Program, *command.Create)
	}
	id := command.programID()
	p, ok := t.store.programs[id]
	if !ok {
		return programNotFound(id)
	}
	switch {
	case command.Submit != nil:
		return t.submit(p, *command.Submit)
	case command.Dispatch != nil:
		return t.dispatch(p, *command.Dispatch)
	case command.Outcome != nil:
		t.outcome(p, *command.Outcome)
	case command.Lookup != nil:
		t.lookupResult(p, *command.Lookup)
	case command.Cancel != nil:
		return t.cancel(p, command.Cancel.Sequence)
	case command.Refuse != nil:
		t.refuse(p, *command.Refuse)
	case command.End != nil:
		t.end(p, command.End.Reason)
	case command.UpdateTerms != nil:
		t.updateTerms(p, *command.UpdateTerms)
	default:
		return api.Refuse(api.CodeBadRequest, "the command is empty")
	}
	return nil
}

// programID returns the program that the command is about: its Program field or,
// if that is empty, the one in the call or attempt that it refers to.
func (c Command) programID() api.ProgramID {
	switch {
	case c.Program != "":
		return c.Program
	case c.Dispatch != nil:
		return c.Dispatch.Call.Program
	case c.Outcome != nil:
		return c.Outcome.Attempt.Program
	case c.Lookup != nil:
		return c.Lookup.Call.Program
	case c.Refuse != nil:
		return c.Refuse.Call.Program
	}
	return ""
}
