package standin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/emulator/enginemodel"
	"birchwood.example/birchwood/engine"
	"birchwood.example/birchwood/history"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/schedule"
)

const (
	// progressInterval is the minimum time between two updates of the streams
	// in progress.
	progressInterval = 5 * time.Millisecond
	// cleanupInterval is the number of streams that end between two cleanups.
	cleanupInterval = 1000
	// maxCacheEvents is the maximum number of stored cache events; when it is
	// exceeded, the newest half of that number remains.
	maxCacheEvents = 4096
)

// runningEngine runs the engine model in real time on its own goroutine.
type runningEngine struct {
	// recorder records the engine's events; nil disables recording.
	recorder *history.Recorder
	config   EngineConfig

	random *rand.Rand

	mutex        sync.Mutex
	model        *enginemodel.Engine
	prefixes     map[api.ProgramID]prefixText
	answers      map[string]startedAnswer
	endedStreams int
	// eventBase is added to the sequence numbers of the model's cache events.
	eventBase uint64
	events    []engine.CacheEvent
	report    schedule.Load
	// changed is closed and replaced when streams may have progressed.
	changed    chan struct{}
	wakeDriver chan struct{}
}

// startedAnswer is the answer of a stream that has been requested.
type startedAnswer struct {
	owner api.ProgramID
	text  answerText
}

// prefixText identifies the text of a program's cached prefix.
type prefixText struct {
	length int
	hash   uint64
}

// newRunningEngine returns an idle engine.
func newRunningEngine(config EngineConfig, random *rand.Rand) (*runningEngine, error) {
	created := &runningEngine{
		config:     config,
		random:     random,
		changed:    make(chan struct{}),
		wakeDriver: make(chan struct{}, 1),
	}
	return created, created.reset()
}

// reset initialises an empty engine, at the start and after a crash.
func (r *runningEngine) reset() error {
	rates := enginemodel.DefaultConfig(r.config.ID, r.config.Models...).Faster(r.config.Speed)
	rates.Slots = r.config.Slots
	rates.CacheTokens = r.config.CacheTokens
	model, err := enginemodel.New(rates, time.Now(), r.random)
	if err != nil {
		return err
	}
	r.model = model
	r.prefixes = make(map[api.ProgramID]prefixText)
	r.answers = make(map[string]startedAnswer)
	r.events = nil
	return nil
}

// restart discards all streams and prefixes, as a crash does.
func (r *runningEngine) restart() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	// The gap in the sequence makes readers list the prefixes again.
	r.eventBase += r.model.EventSequence() + 1
	if err := r.reset(); err != nil {
		return err
	}
	return r.stepLocked(enginemodel.Event{})
}

// run advances the model in real time until closed.
func (r *runningEngine) run(closed <-chan struct{}) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-r.wakeDriver:
		case <-closed:
			return
		}
		timer.Reset(r.tick())
	}
}

// tick advances the model to the present and returns the time to the next tick.
func (r *runningEngine) tick() time.Duration {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	_ = r.model.Step(now, enginemodel.Event{})
	r.handleOutputs(now)
	close(r.changed)
	r.changed = make(chan struct{})
	sleep := time.Hour
	if next := r.model.NextWake(); !next.IsZero() {
		sleep = max(time.Until(next), 0)
	}
	if next := r.model.NextIteration(); !next.IsZero() {
		sleep = min(sleep, max(time.Until(next), progressInterval))
	}
	return sleep
}

// handleOutputs handles the model's outputs. The mutex must be held.
func (r *runningEngine) handleOutputs(now time.Time) {
	for _, output := range r.model.Ready(now) {
		switch {
		case output.Load != nil:
			r.report = *output.Load
		case output.CacheEvent != nil:
			event := *output.CacheEvent
			event.Sequence += r.eventBase
			r.events = append(r.events, event)
			if len(r.events) > maxCacheEvents {
				r.events = append([]engine.CacheEvent(nil), r.events[len(r.events)-maxCacheEvents/2:]...)
			}
		case output.Finished != nil:
			r.recordEnd(output.Finished)
			r.cleanUp()
		}
	}
}

// cleanUp removes, once every cleanupInterval ended streams, the answers of
// streams that can no longer be resumed and the texts of prefixes that are no
// longer cached or in use. The mutex must be held.
func (r *runningEngine) cleanUp() {
	r.endedStreams++
	if r.endedStreams%cleanupInterval != 0 {
		return
	}
	needed := make(map[api.ProgramID]bool)
	for _, held := range r.model.Prefixes() {
		needed[held.Owner] = true
	}
	for stream, answer := range r.answers {
		progress, known := r.model.Progress(stream)
		if !known {
			delete(r.answers, stream)
			continue
		}
		if !progress.Done {
			needed[answer.owner] = true
		}
	}
	for owner := range r.prefixes {
		if !needed[owner] {
			delete(r.prefixes, owner)
		}
	}
}

// step applies an event at the present time and wakes the driver.
func (r *runningEngine) step(event enginemodel.Event) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.stepLocked(event)
}

// stepLocked is step for callers that hold the mutex.
func (r *runningEngine) stepLocked(event enginemodel.Event) error {
	now := time.Now()
	err := r.model.Step(now, event)
	r.handleOutputs(now)
	select {
	case r.wakeDriver <- struct{}{}:
	default:
	}
	return err
}

// generate starts the stream, or attaches to it.
func (r *runningEngine) generate(request engine.GenerateRequest) (answerText, error) {
	text := newAnswerText(request.Model, request.Prompt)
	if request.Stream == "" || request.Owner == "" || request.MaxOutputTokens <= 0 {
		return text, errors.New("stream, owner and max_output_tokens: want all")
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known, resumed := r.answers[request.Stream]
	if resumed && known.text != text {
		return text, fmt.Errorf("stream %q: known with another prompt", request.Stream)
	}
	output := text.tokens(request.MaxOutputTokens)
	err := r.stepLocked(enginemodel.Event{Generate: &enginemodel.Generate{
		Stream:          request.Stream,
		Owner:           request.Owner,
		Model:           request.Model,
		Priority:        request.Priority,
		PromptTokens:    tokensOf(request.Prompt),
		OutputTokens:    output,
		MaxOutputTokens: request.MaxOutputTokens,
		IgnoreCache:     !r.continues(request),
	}})
	if err != nil {
		return text, err
	}
	if !resumed {
		r.recordStart(request)
	}
	r.answers[request.Stream] = startedAnswer{owner: request.Owner, text: text}
	r.prefixes[request.Owner] = prefixText{length: len(request.Prompt), hash: xxhash.Sum64String(request.Prompt)}
	return text, nil
}

// continues reports whether the prompt begins with the last prompt of its owner;
// otherwise the owner's cached prefix can't be used. Without a last prompt it
// returns true. The mutex must be held.
func (r *runningEngine) continues(request engine.GenerateRequest) bool {
	known, ok := r.prefixes[request.Owner]
	if !ok || known.length == 0 {
		return true
	}
	return known.length <= len(request.Prompt) &&
		xxhash.Sum64String(request.Prompt[:known.length]) == known.hash
}

// progress returns the progress of a stream, whether the stream is known, and
// the channel that is closed when streams may have progressed.
func (r *runningEngine) progress(stream string) (enginemodel.Progress, bool, <-chan struct{}) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	progress, known := r.model.Progress(stream)
	return progress, known, r.changed
}

// eventsAfter returns the stored cache events after a sequence number.
func (r *runningEngine) eventsAfter(after uint64) []engine.CacheEvent {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	events := []engine.CacheEvent{}
	for _, event := range r.events {
		if event.Sequence > after {
			events = append(events, event)
		}
	}
	return events
}

// lastReport returns the latest load report of the model.
func (r *runningEngine) lastReport() schedule.Load {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.report
}

// listPrefixes lists the cached prefixes.
func (r *runningEngine) listPrefixes() []engine.Prefix {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.stepLocked(enginemodel.Event{})
	return r.model.Prefixes()
}

// setLag sets the delay of load reports and cache events, or restores the
// default delays if lagging is false.
func (r *runningEngine) setLag(lag time.Duration, lagging bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if lagging {
		r.model.SetDelays(lag, lag)
		return
	}
	r.model.SetDelays(enginemodel.DefaultReportDelay, enginemodel.DefaultEventDelay)
}

// exportable returns the size in tokens and the text of the owner's prefix, for
// import by another engine.
func (r *runningEngine) exportable(owner api.ProgramID) (int, prefixText) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.stepLocked(enginemodel.Event{})
	return r.model.Resident(owner), r.prefixes[owner]
}

// importPrefix starts the import of a prefix from another engine.
func (r *runningEngine) importPrefix(owner api.ProgramID, tokens int, text prefixText) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	err := r.stepLocked(enginemodel.Event{Import: &enginemodel.Import{Owner: owner, Tokens: tokens}})
	if err == nil {
		r.prefixes[owner] = text
	}
	return err
}

// resident returns the number of cached tokens of the owner's prefix, and the
// channel that is closed when it may have changed.
func (r *runningEngine) resident(owner api.ProgramID) (int, <-chan struct{}) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.model.Resident(owner), r.changed
}

// machine returns the engine's entry in the machine list.
func (r *runningEngine) machine(address string, status machine.Status) machine.Machine {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return machine.Machine{
		ID:          r.config.ID,
		Kind:        machine.KindEngine,
		Zone:        r.config.Zone,
		Address:     address,
		Status:      status,
		Models:      r.model.Models(),
		Slots:       r.config.Slots,
		CacheTokens: r.config.CacheTokens,
	}
}
