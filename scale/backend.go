package scale

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/engine"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/schedule"
	"birchwood.example/birchwood/tool"
)

// The rates of the stand-in replicas. They are round figures: the run
// measures the nodes, not the engines.
const (
	replicaSlots       = 16
	replicaCacheTokens = 1 << 20
	generateTime       = 100 * time.Millisecond
	toolTime           = 20 * time.Millisecond
	bytesPerToken      = 4
)

// backends are the in-process stand-ins of all engines and tool services. It
// is the dialer of every node.
type backends struct {
	engines map[machine.ID]*replica
	tools   map[machine.ID]*toolService
}

func newBackends(machines []machine.Machine) *backends {
	created := &backends{engines: make(map[machine.ID]*replica), tools: make(map[machine.ID]*toolService)}
	for _, entry := range machines {
		if entry.Kind == machine.KindEngine {
			created.engines[entry.ID] = &replica{
				id: entry.ID, slots: make(chan struct{}, replicaSlots), held: make(map[api.ProgramID]int),
			}
			continue
		}
		created.tools[entry.ID] = &toolService{runs: make(map[string]int), outputs: make(map[string]string)}
	}
	return created
}

// Engine returns the stand-in of an engine.
func (b *backends) Engine(backend machine.Machine) engine.Client { return b.engines[backend.ID] }

// Tool returns the stand-in of a tool service.
func (b *backends) Tool(backend machine.Machine) tool.Client { return b.tools[backend.ID] }

// replica is one engine.
type replica struct {
	id      machine.ID
	slots   chan struct{}
	mutex   sync.Mutex
	queued  int
	held    map[api.ProgramID]int
	heldAll int
}

var _ engine.Client = (*replica)(nil)

// answerTo is the answer of every engine to a prompt. It depends on every byte
// of the program's history and on their order.
func answerTo(prompt string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(prompt))
}

func tokens(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }

// Generate answers after a fixed time.
func (r *replica) Generate(ctx context.Context, request engine.GenerateRequest, receive func(engine.Chunk) error) error {
	r.queue(1)
	select {
	case r.slots <- struct{}{}:
		r.queue(-1)
	case <-ctx.Done():
		r.queue(-1)
		return &engine.NotSentError{Cause: ctx.Err()}
	}
	defer func() { <-r.slots }()
	if err := sleep(ctx, generateTime); err != nil {
		return err
	}
	text := answerTo(request.Prompt)
	cached := r.hold(request.Owner, tokens(request.Prompt)+tokens(text))
	load := r.load()
	return receive(engine.Chunk{
		Text: text, Done: true, Load: load, Resident: tokens(request.Prompt) + tokens(text),
		Usage: api.Usage{PromptTokens: tokens(request.Prompt), CachedTokens: min(cached, tokens(request.Prompt)), OutputTokens: tokens(text)},
	})
}

func (r *replica) queue(by int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.queued += by
}

// hold keeps a program's prefix and returns how much of it was held before.
func (r *replica) hold(owner api.ProgramID, size int) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	before := r.held[owner]
	r.held[owner] = size
	r.heldAll += size - before
	return before
}

func (r *replica) load() schedule.Load {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return schedule.Load{Backend: r.id, At: time.Now(), Running: len(r.slots), Queued: r.queued, CachedTokens: r.heldAll}
}

// Cancel does nothing: the caller's context ends the answer.
func (r *replica) Cancel(context.Context, string) error { return nil }

// Release forgets a program's prefix.
func (r *replica) Release(_ context.Context, owner api.ProgramID) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.heldAll -= r.held[owner]
	delete(r.held, owner)
	return nil
}

// Prefixes lists the programs whose prefixes are held.
func (r *replica) Prefixes(context.Context) ([]engine.Prefix, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	prefixes := make([]engine.Prefix, 0, len(r.held))
	for owner, size := range r.held {
		prefixes = append(prefixes, engine.Prefix{Owner: owner, Tokens: size})
	}
	return prefixes, nil
}

// Events tells of no evictions: the memory is large enough for the run.
func (r *replica) Events(context.Context, uint64) ([]engine.CacheEvent, error) { return nil, nil }

// Load reports the load at once.
func (r *replica) Load(context.Context) (schedule.Load, error) { return r.load(), nil }

// Order refuses: every engine has the only model.
func (r *replica) Order(context.Context, engine.Order) error { return errFixedModels }

// Import refuses: prefixes do not move in this run.
func (r *replica) Import(context.Context, api.ProgramID, string) error { return errFixedModels }

var errFixedModels = errors.New("the stand-in engine takes no orders")

// toolService is one tool service. It counts the runs of each key.
type toolService struct {
	mutex   sync.Mutex
	runs    map[string]int
	outputs map[string]string
}

var _ tool.Client = (*toolService)(nil)

// Run answers after a fixed time with an output that depends on the input.
func (t *toolService) Run(ctx context.Context, request tool.Request) (string, error) {
	t.mutex.Lock()
	t.runs[request.Key]++
	output := answerTo(request.Input)
	t.outputs[request.Key] = output
	t.mutex.Unlock()
	if err := sleep(ctx, toolTime); err != nil {
		return "", err
	}
	return output, nil
}

// Lookup tells whether the key has run.
func (t *toolService) Lookup(_ context.Context, key string) (string, bool, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	output, found := t.outputs[key]
	return output, found, nil
}

func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
