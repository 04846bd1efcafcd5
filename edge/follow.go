package edge

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"birchwood.example/birchwood/internal/wait"
	"birchwood.example/birchwood/recordstore"
)

// Times of the followers.
const (
	// configurationWait and replicasWait are how long one read waits for a
	// record. Replicas write all the time, and their reads also show that the
	// store is reached.
	configurationWait       = 2 * time.Second
	configurationWaitReader = 800 * time.Millisecond
	replicasWait            = 700 * time.Millisecond
	// tailSlack is how much later its answer may come.
	tailSlack = 800 * time.Millisecond
	// configurationPause and replicasPause are the least times between reads.
	configurationPause = 50 * time.Millisecond
	replicasPause      = 400 * time.Millisecond
	// sourcePause is that of the few nodes that read for all others: the age of what
	// these know begins with it.
	sourcePause = 200 * time.Millisecond
	// provingPause is the time between two reads of the readers of a zone while the
	// configuration holds keys; the others have their proofs from these. A read proves
	// what was the newest when it was sent, so that these do not wait for a change. Of
	// six readers, one was answered some 50 ms ago at any time.
	provingPause = 300 * time.Millisecond
	// resyncPeriod is how often a stream is read whole again, in case a record was missed
	// unnoticed, and resyncPerRecord is how much later that is for each of its records: a
	// whole read of ten thousand takes a second, in which no change is heard.
	resyncPeriod    = 15 * time.Second
	resyncPerRecord = 10 * time.Millisecond
	// resyncSpread is the share of that time by which it is shorter or longer by chance, so
	// that nodes that started together do not all read whole when the store fails.
	resyncSpread = 0.25
)

// latestConfiguration keeps the newest configuration as it was stored, so that
// peers can be told of it.
type latestConfiguration struct {
	mutex   sync.Mutex
	key     string
	value   []byte
	version uint64
	// fetching is set while a peer is asked for a newer one.
	fetching bool
}

// rawConfiguration is a configuration as nodes pass it on.
type rawConfiguration struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// newest returns the newest configuration, or nil before the first.
func (l *latestConfiguration) newest() *rawConfiguration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.value == nil {
		return nil
	}
	return &rawConfiguration{Key: l.key, Value: l.value}
}

func (l *latestConfiguration) raw() []byte {
	newest := l.newest()
	if newest == nil {
		return nil
	}
	encoded, err := json.Marshal(newest)
	if err != nil {
		return nil
	}
	return encoded
}

// applyConfiguration takes over a record of the configuration's stream if it
// is newer than what is in force.
func (n *Node) applyConfiguration(key string, value []byte, source string) {
	table, err := n.adapter.Translator.Configuration(key, value)
	if err != nil {
		n.logger.Error().Str("source", source).Err(err).Msg("config: not understood")
		return
	}
	if table == nil || !n.routes.Update(table) {
		return
	}
	n.config.mutex.Lock()
	if table.Version > n.config.version {
		n.config.key, n.config.value, n.config.version = key, value, table.Version
	}
	n.config.mutex.Unlock()
	n.replicas.configure(table)
	n.replicas.wake()
	n.logger.Info().Uint64("version", table.Version).Str("source", source).Msg("config: in force")
}

// applyConfigurations takes over all records of the configuration's stream, as the
// store has them at an offset.
func (n *Node) applyConfigurations(records []recordstore.Record, end uint64) {
	n.resetEvacuations(records, end)
	for _, record := range records {
		n.applyConfiguration(record.Key, record.Value, "store")
	}
}

// configurationChanged takes over one record of the configuration's stream.
func (n *Node) applyConfigurationRecord(record recordstore.Record) {
	n.applyEvacuation(record)
	n.applyConfiguration(record.Key, record.Value, "store")
}

// configurationCurrent follows each time that all of the configuration's stream was read.
func (n *Node) configurationCaughtUp(asOf time.Time) {
	n.evacuations.markCurrent(time.Now())
	n.recordProof(asOf)
}

// followConfiguration keeps the configuration up to date from the store, unless this node
// has it of a reader.
func (n *Node) followConfiguration(ctx context.Context) {
	n.awaitDirectory(ctx)
	for ctx.Err() == nil {
		n.followStream(ctx, recordstore.Stream{Name: recordstore.StreamConfiguration}, streamHandler{
			wait: n.configurationWait, pause: n.configurationPause, synced: &n.syncedConfiguration,
			reset:   n.applyConfigurations,
			change:  n.applyConfigurationRecord,
			current: n.configurationCaughtUp,
			ended:   func() bool { return n.role() == roleFollower },
		})
		wait.For(ctx, roleCheckInterval)
	}
}

// rolePause is the time between two looks at whether a node that follows others is still
// to do so.
const roleCheckInterval = 200 * time.Millisecond

// configurationWait is how long a read of the configuration's stream waits. A
// node that reads no other stream learns from it that the store is reached.
func (n *Node) configurationWait() time.Duration {
	if n.provesForZone() || n.lacksProof() {
		return 0
	}
	if n.role() == roleReader {
		return configurationWaitReader
	}
	return configurationWait
}

// configurationPause is the least time between two reads of the configuration's stream.
// While this node lacks a proof it grows: all nodes lack theirs together when the store is
// slow, and what they ask for would keep it so.
func (n *Node) configurationPause() time.Duration {
	switch {
	case n.provesForZone():
		n.readsWithoutProof.Store(0)
		return provingPause
	case !n.lacksProof():
		n.readsWithoutProof.Store(0)
		return configurationPause
	default:
		doublings := min(n.readsWithoutProof.Add(1)-1, maximumProofDoublings)
		return time.Duration((0.5 + n.draw()) * float64(configurationPause<<doublings))
	}
}

// unprovenDoublings bounds the growth of the pause between two reads for a proof, at some
// two seconds: 2,000 nodes then ask a thousand times a second.
const maximumProofDoublings = 5

// follower takes in a stream: all of it, and each change.
type streamHandler struct {
	// wait is how long a read waits for a record, and pause the least time
	// between two reads.
	wait   func() time.Duration
	pause  func() time.Duration
	reset  func(records []recordstore.Record, end uint64)
	change func(recordstore.Record)
	// page, unless it is nil, is called with each page of a whole read as it comes.
	page func(records []recordstore.Record)
	// current is called whenever all was taken in that the stream held at a time,
	// and over ends the following; nil where that does not matter.
	current func(asOf time.Time)
	ended   func() bool
	// synced is set once the stream was read whole.
	synced *atomic.Bool
}

func (f *streamHandler) done() bool { return f.ended != nil && f.ended() }

func (f *streamHandler) handlePage(records []recordstore.Record) {
	if f.page != nil {
		f.page(records)
	}
}

func (f *streamHandler) caughtUp(asOf time.Time) {
	if f.current != nil {
		f.current(asOf)
	}
}

// follow reads a stream whole and then its tail, anew after a gap.
func (n *Node) followStream(ctx context.Context, stream recordstore.Stream, handler streamHandler) {
	backoff := n.backoff()
	for ctx.Err() == nil && !handler.done() {
		asked := time.Now()
		records, next, err := n.readPages(ctx, stream, handler.handlePage)
		if err != nil {
			n.logger.Warn().Str("stream", string(stream.Name)).Err(err).Msg("store: stream not read")
			wait.For(ctx, backoff.Next())
			continue
		}
		backoff.Reset()
		handler.reset(records, next)
		handler.caughtUp(asked)
		handler.synced.Store(true)
		n.followTail(ctx, stream, next, time.Now().Add(n.resyncAfter(len(records))), handler)
	}
}

// resyncAfter returns how long after a whole read of so many records the next one is due.
func (n *Node) resyncAfter(records int) time.Duration {
	period := resyncPeriod + time.Duration(records)*resyncPerRecord
	return time.Duration((1 + resyncSpread*(2*n.draw()-1)) * float64(period))
}

// followTail reads a stream's tail until a gap, or until it is to be read
// whole again.
func (n *Node) followTail(ctx context.Context, stream recordstore.Stream, next uint64, resync time.Time, handler streamHandler) {
	backoff := n.backoff()
	for ctx.Err() == nil && !handler.done() && time.Now().Before(resync) {
		timeout := handler.wait()
		asked := time.Now()
		regained := n.store.nextRegain()
		callCtx, cancel := context.WithTimeout(ctx, timeout+tailSlack)
		tail, err := n.tailUntil(callCtx, stream, next, timeout, regained)
		cancel()
		n.recordRead(storeRead{stream: stream, kind: kindTail, attempt: 1, sentAt: asked}, err)
		switch {
		case errors.Is(err, recordstore.ErrGap):
			return
		case errors.Is(err, errStoreRegained):
			continue
		case err != nil:
			wait.For(ctx, backoff.Next())
			continue
		}
		backoff.Reset()
		for _, record := range tail.Records {
			handler.change(record)
		}
		handler.caughtUp(asked)
		next = tail.Next
		wait.For(ctx, handler.pause())
	}
}
