package edge

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/internal/wait"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/recordstore"
	"birchwood.example/birchwood/replica"
)

// Times of the followers.
const (
	// configurationWait and replicasWait are how long one read waits for a
	// record. Replicas write all the time, and their reads also show that the
	// store is reached.
	configurationWait      = 2 * time.Second
	configurationWaitAlone = 800 * time.Millisecond
	replicasWait           = 700 * time.Millisecond
	// tailSlack is how much later its answer may come.
	tailSlack = 800 * time.Millisecond
	// configurationPause and replicasPause are the least times between reads.
	configurationPause = 50 * time.Millisecond
	replicasPause      = 400 * time.Millisecond
	// provingPause is the time between two reads of the readers of a zone while the
	// configuration holds keys; the others have their proofs from these. A read proves
	// what was the newest when it was sent, so that these do not wait for a change. Of
	// six readers, one was answered some 50 ms ago at any time.
	provingPause = 300 * time.Millisecond
	// resyncPeriod is how often a stream is read whole again.
	resyncPeriod = 15 * time.Second
	// nodesPeriod is the time between two reads of the nodes' addresses.
	nodesPeriod = 15 * time.Second
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

func (l *latestConfiguration) raw() []byte {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.value == nil {
		return nil
	}
	encoded, err := json.Marshal(rawConfiguration{Key: l.key, Value: l.value})
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
	if table == nil || !n.routes.Offer(table) {
		return
	}
	n.config.mutex.Lock()
	if table.Version > n.config.version {
		n.config.key, n.config.value, n.config.version = key, value, table.Version
	}
	n.config.mutex.Unlock()
	n.replicas.configure(table)
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
func (n *Node) configurationChanged(record recordstore.Record) {
	n.noteEvacuation(record)
	n.applyConfiguration(record.Key, record.Value, "store")
}

// configurationCurrent follows each time that all of the configuration's stream was read.
func (n *Node) configurationCurrent(asOf time.Time) {
	n.evacuations.current(time.Now())
	n.noteProof(asOf)
}

// applyReplica takes over a record of the replicas' stream.
func (n *Node) applyReplica(key string, value []byte) {
	if len(value) == 0 {
		n.unlist(replica.ID(key), "gone from the list")
		return
	}
	entry, err := n.adapter.Translator.Replica(key, value)
	if err != nil {
		n.logger.Error().Err(err).Msg("replicas: not understood")
		return
	}
	n.putReplica(entry)
}

func (n *Node) putReplica(entry replica.Entry) {
	if n.replicas.put(entry) {
		n.logger.Info().Str("replica", string(entry.ID)).Str("service", entry.Service).Str("address", entry.Address.String()).
			Str("status", string(entry.Status)).Msg("replicas: changed")
	}
}

// unlist takes in that the store does not list a replica. After an outage that
// does not say that it is gone.
func (n *Node) unlist(id replica.ID, reason string) {
	if until := n.store.doubtUntil(); n.settings.uses(DoubtUnlisted) && time.Now().Before(until) && n.replicas.doubt(id, until) {
		return
	}
	n.removeReplica(id, reason)
}

// replicasCurrent follows each time that all of the replicas' stream was read.
func (n *Node) replicasCurrent(time.Time) {
	n.noteListed(0)
	for _, id := range n.replicas.doubted() {
		n.removeReplica(id, "not listed again after an outage")
	}
}

func (n *Node) removeReplica(id replica.ID, reason string) {
	if entry, known := n.replicas.remove(id); known {
		n.pool.Forget(targetOf(entry))
		n.logger.Info().Str("replica", string(id)).Str("reason", reason).Msg("replicas: removed")
	}
}

// followConfiguration keeps the configuration up to date from the store.
func (n *Node) followConfiguration(ctx context.Context) {
	n.follow(ctx, recordstore.Stream{Name: recordstore.StreamConfiguration}, follower{
		wait: n.configurationWait, pause: n.configurationPause, synced: &n.syncedConfiguration,
		reset:   n.applyConfigurations,
		change:  n.configurationChanged,
		current: n.configurationCurrent,
	})
}

// configurationWait is how long a read of the configuration's stream waits. A
// node that reads no other stream learns from it that the store is reached.
func (n *Node) configurationWait() time.Duration {
	if n.provesForZone() || n.lacksProof() {
		return 0
	}
	if len(n.readersToFollow()) > 0 {
		return configurationWaitAlone
	}
	return configurationWait
}

// configurationPause is the least time between two reads of the configuration's stream.
func (n *Node) configurationPause() time.Duration {
	if n.provesForZone() {
		return provingPause
	}
	return configurationPause
}

// followReplicas keeps the replicas up to date, from the store or, in a large
// fleet, through readers.
func (n *Node) followReplicas(ctx context.Context) {
	for ctx.Err() == nil {
		begun := time.Now()
		n.follow(ctx, recordstore.Stream{Name: recordstore.StreamReplicas}, follower{
			wait: func() time.Duration { return replicasWait }, pause: func() time.Duration { return replicasPause }, synced: &n.syncedReplicas,
			reset:   n.resetReplicas,
			change:  func(record recordstore.Record) { n.applyReplica(record.Key, record.Value) },
			current: n.replicasCurrent,
			over:    func() bool { return time.Since(begun) > storeTurn && len(n.readersToFollow()) > 0 },
		})
		n.followReaders(ctx)
	}
}

func (n *Node) resetReplicas(records []recordstore.Record, _ uint64) {
	listed := make(map[replica.ID]bool, len(records))
	for _, record := range records {
		if len(record.Value) > 0 {
			listed[replica.ID(record.Key)] = true
		}
		n.applyReplica(record.Key, record.Value)
	}
	for _, entry := range n.replicas.entries() {
		if !listed[entry.ID] {
			n.unlist(entry.ID, "not in the list")
		}
	}
}

// removeUnlisted removes the replicas that another node's list lacks.
func (n *Node) removeUnlisted(listed map[replica.ID]bool, reason string) {
	for _, entry := range n.replicas.entries() {
		if !listed[entry.ID] {
			n.removeReplica(entry.ID, reason)
		}
	}
}

// follower takes in a stream: all of it, and each change.
type follower struct {
	// wait is how long a read waits for a record, and pause the least time
	// between two reads.
	wait   func() time.Duration
	pause  func() time.Duration
	reset  func(records []recordstore.Record, end uint64)
	change func(recordstore.Record)
	// current is called whenever all was taken in that the stream held at a time,
	// and over ends the following; nil where that does not matter.
	current func(asOf time.Time)
	over    func() bool
	// synced is set once the stream was read whole.
	synced *atomic.Bool
}

func (f *follower) done() bool { return f.over != nil && f.over() }

func (f *follower) caughtUp(asOf time.Time) {
	if f.current != nil {
		f.current(asOf)
	}
}

// follow reads a stream whole and then its tail, anew after a gap.
func (n *Node) follow(ctx context.Context, stream recordstore.Stream, to follower) {
	backoff := n.backoff()
	for ctx.Err() == nil && !to.done() {
		asked := time.Now()
		records, next, err := n.readNewest(ctx, stream)
		if err != nil {
			n.logger.Warn().Str("stream", string(stream.Name)).Err(err).Msg("store: stream not read")
			wait.For(ctx, backoff.Next())
			continue
		}
		backoff.Reset()
		to.reset(records, next)
		to.caughtUp(asked)
		to.synced.Store(true)
		n.followTail(ctx, stream, next, to)
	}
}

// followTail reads a stream's tail until a gap, or until it is to be read
// whole again.
func (n *Node) followTail(ctx context.Context, stream recordstore.Stream, next uint64, to follower) {
	backoff := n.backoff()
	resync := time.Now().Add(resyncPeriod)
	for ctx.Err() == nil && !to.done() && time.Now().Before(resync) {
		patience := to.wait()
		asked := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, patience+tailSlack)
		tail, err := n.adapter.Store.Tail(callCtx, stream, next, patience)
		cancel()
		n.noteStore(err)
		if errors.Is(err, recordstore.ErrGap) {
			return
		}
		if err != nil {
			wait.For(ctx, backoff.Next())
			continue
		}
		backoff.Reset()
		for _, record := range tail.Records {
			to.change(record)
		}
		to.caughtUp(asked)
		next = tail.Next
		wait.For(ctx, to.pause())
	}
}

// followNodes publishes this node's address and learns those of the others.
func (n *Node) followNodes(ctx context.Context) {
	n.control.post(coordinator.PeerReceived{Message: coordinator.PeerMessage{From: n.self}})
	n.greet(n.settings.Seeds)
	stream := recordstore.Stream{Name: recordstore.StreamNodes}
	value, err := json.Marshal(n.self)
	if err != nil {
		panic(err)
	}
	published := false
	for ctx.Err() == nil {
		pause := nodesPeriod
		if !published {
			published = n.publish(ctx, stream, value)
		}
		records, _, err := n.readNewest(ctx, stream)
		if err == nil {
			n.control.post(coordinator.Listed{Nodes: n.decodeNodes(records)})
		}
		if err != nil || !published {
			pause = appendRetryMost
		}
		wait.For(ctx, pause)
	}
}

func (n *Node) publish(ctx context.Context, stream recordstore.Stream, value []byte) bool {
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	records := []recordstore.Record{{Key: n.settings.Node, Value: value}}
	err := n.adapter.Store.Append(callCtx, stream, recordstore.Writer{}, records)
	n.noteStore(err)
	return err == nil
}

// decodeNodes reads the nodes' records. One that is not understood is another version's
// and passed over: its node is learned of through its peers.
func (n *Node) decodeNodes(records []recordstore.Record) []machine.Machine {
	var nodes []machine.Machine
	for _, record := range records {
		if len(record.Value) == 0 {
			continue
		}
		var node machine.Machine
		if err := json.Unmarshal(record.Value, &node); err != nil {
			n.logger.Warn().Str("record", record.Key).Err(err).Msg("nodes: record not understood")
			continue
		}
		nodes = append(nodes, node)
	}
	return nodes
}

// greet tells peers that are known by address alone of this node. They answer
// with statuses.
func (n *Node) greet(addresses []string) {
	for _, address := range addresses {
		if address == n.settings.Peers {
			continue
		}
		status := &coordinator.Status{ReachesStore: true, Known: []machine.Machine{n.self}}
		n.peers.send(coordinator.Outbound{
			To:      machine.Machine{ID: machine.ID(address), Address: address},
			Message: coordinator.PeerMessage{From: n.self, Status: status},
		})
	}
}
