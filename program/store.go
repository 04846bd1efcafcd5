package program

import (
	"math/rand/v2"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/findings"
)

// NoOffset stands for a record that the log does not have yet.
const NoOffset = ^uint64(0)

// The defaults of Config.
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
	// bytesPerToken is the rule of thumb that counts tokens by length.
	bytesPerToken = 4
)

// Config sets the bounds of a Store. A zero field takes its default.
type Config struct {
	// CountTokens measures a text. The default counts four bytes as a token.
	CountTokens func(string) int
	// MaximumPrograms bounds the programs held, ended ones included.
	MaximumPrograms int
	// MaximumQueuedCalls bounds the calls of one program that have not ended.
	MaximumQueuedCalls int
	// MaximumDepth bounds how deep sub-agents may start sub-agents.
	MaximumDepth int
	// RetryBase and RetryMaximum bound the backoff of retries and look-ups.
	RetryBase    time.Duration
	RetryMaximum time.Duration
	// Random draws the backoff's jitter. The default has a fixed seed.
	Random *rand.Rand
	// LookupAttempts bounds how often a tool service is asked about a key.
	LookupAttempts int
	// LookupTimeout bounds the wait for the answer to one look-up.
	LookupTimeout time.Duration
	// TickPrograms bounds the programs that one Tick looks at.
	TickPrograms int
	// SnapshotPartBytes is the size at which a part of a snapshot is closed.
	SnapshotPartBytes int
}

// DefaultConfig returns the usual bounds, with jitter from the random source.
func DefaultConfig(random *rand.Rand) Config {
	return Config{Random: random}.withDefaults()
}

// validate collects every finding.
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
	// terms shares equal terms between the programs of a branch.
	terms map[string]*Terms
	// finished lists the programs whose end is complete, oldest first.
	finished []api.ProgramID
	// epoch is this owner's, as Resume told it.
	epoch uint64
	stats Stats
}

// NewStore returns an empty store. The error lists every wrong setting.
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

// Step applies one command and returns what follows from it. A refusal has
// changed nothing. Its state counts at once; nobody may be told of it before
// Output.Records are durable.
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
	case command.Retarget != nil:
		t.updateTerms(p, *command.Retarget)
	default:
		return api.Refuse(api.CodeBadRequest, "the command is empty")
	}
	return nil
}

// programID finds the program in the parts of a command that name it too.
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
