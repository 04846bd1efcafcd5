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

// Periods and timeouts of the followers.
const (
	// configurationWait and replicasWait are the long-poll times of a read. Replicas write
	// all the time, so that their reads also show that the store is reached.
	configurationWait       = 2 * time.Second
	configurationWaitReader = 800 * time.Millisecond
	replicasWait            = 700 * time.Millisecond
	// tailSlack is added to the long-poll time for the timeout of the call.
	tailSlack = 800 * time.Millisecond
	// configurationPause and replicasPause are the minimum times between two reads.
	configurationPause = 50 * time.Millisecond
	replicasPause      = 400 * time.Millisecond
	// sourcePause is used instead by the few sources, which read for all other nodes: it
	// adds to the age of their data.
	sourcePause = 200 * time.Millisecond
	// provingPause is the time between two reads by a zone's readers while the
	// configuration has keys; the other nodes get their freshness proofs from them. A read
	// proves which configuration was the newest when it was sent, so these reads do not
	// wait for a change. With six readers, one of them was answered some 50 ms ago at any
	// time.
	provingPause = 300 * time.Millisecond
	// resyncPeriod is how often a stream is read completely again, in case a change was
	// missed, and resyncPerRecord the additional time per record: a complete read of ten
	// thousand takes a second, in which no changes are received.
	resyncPeriod    = 15 * time.Second
	resyncPerRecord = 10 * time.Millisecond
	// resyncSpread is the share by which that period varies randomly, so that nodes that
	// started together do not all read completely at the moment when the store fails.
	resyncSpread = 0.25
)

// latestConfiguration holds the newest configuration in its stored form, to pass it on to
// peers.
type latestConfiguration struct {
	mutex   sync.Mutex
	key     string
	value   []byte
	version uint64
	// fetching is set while a newer configuration is fetched from a peer.
	fetching bool
}

// rawConfiguration is a configuration in the form in which nodes pass it on.
type rawConfiguration struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// newest returns the newest configuration, or nil if there is none yet.
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

// applyConfiguration applies a record of the configuration stream if it is newer than the
// configuration in force.
func (n *Node) applyConfiguration(key string, value []byte, source string) {
	table, err := n.adapter.Translator.Configuration(key, value)
	if err != nil {
		n.logger.Error().Str("source", source).Err(err).Msg("config: invalid configuration")
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

// applyConfigurations applies all records of the configuration stream, as the store had
// them at an offset.
func (n *Node) applyConfigurations(records []recordstore.Record, end uint64) {
	n.resetEvacuations(records, end)
	for _, record := range records {
		n.applyConfiguration(record.Key, record.Value, "store")
	}
}

// applyConfigurationRecord applies one record of the configuration stream.
func (n *Node) applyConfigurationRecord(record recordstore.Record) {
	n.applyEvacuation(record)
	n.applyConfiguration(record.Key, record.Value, "store")
}

// configurationCaughtUp is called each time the configuration stream was read to its end.
func (n *Node) configurationCaughtUp(asOf time.Time) {
	n.evacuations.markCurrent(time.Now())
	n.recordProof(asOf)
}

// followConfiguration keeps the configuration up to date from the store, unless this node
// gets it from a reader.
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

// roleCheckInterval is how often a node that follows others checks whether its role has
// changed.
const roleCheckInterval = 200 * time.Millisecond

// configurationWait returns the long-poll time of a read of the configuration stream. A
// reader reads no other stream, so only these reads show that it reaches the store.
func (n *Node) configurationWait() time.Duration {
	if n.provesForZone() || n.lacksProof() {
		return 0
	}
	if n.role() == roleReader {
		return configurationWaitReader
	}
	return configurationWait
}

// configurationPause returns the minimum time between two reads of the configuration
// stream. It grows while this node lacks a freshness proof: if the store is slow, all nodes
// lack theirs together, and their reads would keep it slow.
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

// maximumProofDoublings limits the growth of the pause between two reads for a proof, to
// some two seconds: 2,000 nodes then send a thousand reads a second.
const maximumProofDoublings = 5

// streamHandler handles the records of a stream that is followed.
type streamHandler struct {
	// wait returns the long-poll time of a read, and pause the minimum time between two
	// reads. reset is called with all records after a complete read, and change with each
	// later one.
	wait   func() time.Duration
	pause  func() time.Duration
	reset  func(records []recordstore.Record, end uint64)
	change func(recordstore.Record)
	// position returns the offset up to which the records are known from elsewhere, from which
	// the tail is read on; it may be nil.
	position func() uint64
	// page, unless nil, is called with each page of a complete read as soon as it is read.
	page func(records []recordstore.Record)
	// current is called whenever the stream was read to its end, and ended reports whether
	// to stop following; both may be nil.
	current func(asOf time.Time)
	ended   func() bool
	// synced is set once the stream was read completely.
	synced *atomic.Bool
}

func (f *streamHandler) done() bool { return f.ended != nil && f.ended() }

// nextOffset returns the offset from which to read on, once the records before next were read.
func (f *streamHandler) nextOffset(next uint64) uint64 {
	if f.position == nil {
		return next
	}
	return max(next, f.position())
}

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

// followStream reads a stream completely and then follows its tail. It starts again after a
// gap.
func (n *Node) followStream(ctx context.Context, stream recordstore.Stream, handler streamHandler) {
	backoff := n.backoff()
	for ctx.Err() == nil && !handler.done() {
		requestedAt := time.Now()
		records, next, err := n.readPages(ctx, stream, handler.handlePage)
		if err != nil {
			n.logger.Warn().Str("stream", string(stream.Name)).Err(err).Msg("store: stream not read")
			wait.For(ctx, backoff.Next())
			continue
		}
		backoff.Reset()
		handler.reset(records, next)
		handler.caughtUp(requestedAt)
		handler.synced.Store(true)
		n.followTail(ctx, stream, next, time.Now().Add(n.resyncAfter(len(records))), handler)
	}
}

// resyncAfter returns how long after a complete read of that many records the next one is
// due.
func (n *Node) resyncAfter(records int) time.Duration {
	period := resyncPeriod + time.Duration(records)*resyncPerRecord
	return time.Duration((1 + resyncSpread*(2*n.draw()-1)) * float64(period))
}

// followTail follows the tail of a stream until a gap, or until the next complete read is
// due.
func (n *Node) followTail(ctx context.Context, stream recordstore.Stream, next uint64, resync time.Time, handler streamHandler) {
	backoff := n.backoff()
	failed := false
	for ctx.Err() == nil && !handler.done() && time.Now().Before(resync) {
		next = handler.nextOffset(next)
		timeout := handler.wait()
		requestedAt := time.Now()
		regained := n.store.nextRegain()
		callCtx, cancel := context.WithTimeout(ctx, timeout+tailSlack)
		tail, err := n.tailUntil(callCtx, stream, next, timeout, regained)
		cancel()
		n.recordRead(storeRead{stream: stream, kind: kindTail, attempt: 1, sentAt: requestedAt}, err)
		switch {
		case errors.Is(err, recordstore.ErrGap):
			return
		case errors.Is(err, errStoreRegained):
			failed = true
			continue
		case err != nil:
			failed = true
			wait.For(ctx, backoff.Next())
			continue
		}
		backoff.Reset()
		if failed {
			n.logger.Info().Str("stream", string(stream.Name)).Uint64("from", next).Int("records", len(tail.Records)).Uint64("next", tail.Next).
				Msg("store: tail followed again")
			failed = false
		}
		for _, record := range tail.Records {
			handler.change(record)
		}
		handler.caughtUp(requestedAt)
		next = tail.Next
		wait.For(ctx, handler.pause())
	}
}
