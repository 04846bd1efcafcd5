package node

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/infra"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/partition"
	"birchwood.example/birchwood/program"
	"birchwood.example/birchwood/recordlog"
)

// perform starts one action. Actions that wait for I/O run on their own
// goroutine; all others are done synchronously, in order.
func (n *Node) perform(action control.Action) {
	switch action := action.(type) {
	case control.AppendStream:
		go n.appendStream(action)
	case control.ReadStream:
		go n.readStream(action)
	case control.ReadSettings:
		go n.readSettings(action)
	case control.FetchSettings:
		go n.fetchSettings(action)
	case control.ListMachines:
		go n.listMachines(action)
	case control.SendMessage:
		n.send(action)
	case control.SendAttempt:
		n.startAttempt(action)
	case control.StopAttempt:
		n.attempts.cancel(action.Attempt)
	case control.LookUpKey:
		go n.lookUp(action)
	case control.QueryBackend:
		go n.queryBackend(action)
	case control.ListPrefixes:
		go n.listPrefixes(action)
	case control.ReleasePrefix:
		go n.releasePrefix(action)
	case control.MovePrefix:
		go n.movePrefix(action)
	case control.OrderModel:
		go n.orderModel(action)
	case control.Answer:
		n.answer(action)
	case control.FetchHistory:
		go n.fetchHistory(action)
	default:
		n.observe(action)
	}
}

// observe handles the actions that only report an event of the core.
func (n *Node) observe(action control.Action) {
	switch action := action.(type) {
	case control.SettingsVerdict:
		n.verdicts.deliver(action.Verdict)
	case control.SettingsChanged:
		n.tree.Store(action.Tree)
		n.metrics.SettingsRevision(uint64(action.Tree.Revision()))
		n.logger.Info().Uint64("revision", uint64(action.Tree.Revision())).Msg("settings: a new revision is in force")
	case control.CallFinished:
		n.streams.finish(action.Call)
		n.transcripts.finish(action.Call)
		n.metrics.CallFinished(action.Call)
	case control.ProgramFinished:
		n.transcripts.evict(action.Program.ID)
		n.metrics.ProgramFinished(action.Program, action.EndedAt.Sub(action.CreatedAt))
	case control.PartitionChanged:
		n.partitionChanged(action)
	case control.PartitionUnreadable:
		n.logger.Error().Err(action.Err).Msg("partition: unreadable record, the partition stays closed")
	case control.StopComplete:
		n.logger.Info().Msg("control: everything is handed over")
		close(n.handedOver)
	}
}

func (n *Node) partitionChanged(action control.PartitionChanged) {
	if action.Owned {
		n.logger.Info().Str("partition", action.Partition.String()).Uint64("epoch", action.Epoch).Int("programs", action.Programs).Msg("partition: acquired")
		return
	}
	n.streams.closePartition(action.Partition)
	n.transcripts.evictPartition(action.Partition)
	n.logger.Info().Str("partition", action.Partition.String()).Msg("partition: no longer owned")
}

func (n *Node) appendStream(action control.AppendStream) {
	entries := make([][]byte, len(action.Append.Entries))
	for i, entry := range action.Append.Entries {
		entries[i] = encodeEntry(entry)
	}
	ctx, cancel := context.WithTimeout(n.context, n.config.StoreTimeout)
	defer cancel()
	started := time.Now()
	first, err := n.log.Append(ctx, action.Partition.String(), entries)
	n.metrics.StoreAppend(time.Since(started), err)
	if errors.Is(err, infra.ErrNotAppended) {
		err = partition.ErrNotAppended
	}
	result := partition.Appended{Request: action.Append.Request, FirstOffset: first, Err: err}
	n.post(control.StreamAppended{Partition: action.Partition, Result: result})
}

func encodeEntry(entry recordlog.Entry) []byte {
	encoded, err := json.Marshal(entry)
	if err != nil {
		panic("node: encode log entry: " + err.Error())
	}
	return encoded
}

// decodeEntry decodes an entry of a stream. If the bytes are not an entry, it
// returns one without a kind, which every reader skips as void.
func decodeEntry(encoded []byte) recordlog.Entry {
	var entry recordlog.Entry
	if err := json.Unmarshal(encoded, &entry); err != nil {
		return recordlog.Entry{}
	}
	return entry
}

func (n *Node) readStream(action control.ReadStream) {
	ctx, cancel := context.WithTimeout(n.context, n.config.StoreTimeout)
	defer cancel()
	from, maximum := action.Read.From, action.Read.Maximum
	if action.Read.Tail {
		from, maximum = 0, 0
	}
	encoded, end, err := n.log.Read(ctx, action.Partition.String(), from, maximum)
	result := partition.ReadDone{Request: action.Read.Request, FirstOffset: from, End: end, Err: err}
	for _, entry := range encoded {
		result.Entries = append(result.Entries, decodeEntry(entry))
	}
	n.post(control.StreamRead{Partition: action.Partition, Result: result})
}

func (n *Node) readSettings(action control.ReadSettings) {
	ctx, cancel := context.WithTimeout(n.context, n.config.StoreTimeout)
	defer cancel()
	changes, end, err := n.log.Read(ctx, contract.StreamName, action.Read.From, action.Read.Maximum)
	if err != nil {
		n.logger.Warn().Err(err).Msg("settings: reading the settings stream failed")
	}
	n.post(control.SettingsRead{Result: contract.ReadDone{Request: action.Read.Request, From: action.Read.From, Changes: changes, End: end, Err: err}})
}

func (n *Node) listMachines(action control.ListMachines) {
	ctx, cancel := context.WithTimeout(n.context, n.config.StoreTimeout)
	defer cancel()
	if err := n.machines.Announce(ctx, action.Self); err != nil {
		n.logger.Warn().Err(err).Msg("machines: announcing this node in the list failed")
	}
	listed, err := n.machines.Machines(ctx)
	if err != nil {
		n.logger.Warn().Err(err).Msg("machines: reading the list failed")
	}
	n.post(control.MachinesListed{Machines: listed, Err: err})
}

func (n *Node) lookUp(action control.LookUpKey) {
	ctx, cancel := context.WithTimeout(n.context, n.config.StoreTimeout)
	defer cancel()
	output, found, err := n.tools.Tool(action.Backend).Lookup(ctx, action.Key)
	result := program.LookupResult{Call: action.Call, Found: found, Output: output, Err: err}
	n.post(control.LookupReturned{Result: result})
}

func (n *Node) queryBackend(action control.QueryBackend) {
	event := control.BackendObserved{Backend: action.Backend.ID}
	defer func() { n.post(event) }()
	if action.Backend.Kind != machine.KindEngine {
		return
	}
	ctx, cancel := context.WithTimeout(n.context, n.config.BackendTimeout)
	defer cancel()
	client := n.engines.Engine(action.Backend)
	load, err := client.Load(ctx)
	if err != nil {
		event.Err = err
		return
	}
	event.Load = &load
	event.Events, event.Err = client.Events(ctx, action.AfterEvent)
}

func (n *Node) listPrefixes(action control.ListPrefixes) {
	ctx, cancel := context.WithTimeout(n.context, n.config.BackendTimeout)
	defer cancel()
	prefixes, err := n.engines.Engine(action.Backend).Prefixes(ctx)
	n.post(control.PrefixesListed{Backend: action.Backend.ID, Prefixes: prefixes, Err: err})
}

func (n *Node) releasePrefix(action control.ReleasePrefix) {
	ctx, cancel := context.WithTimeout(n.context, n.config.BackendTimeout)
	defer cancel()
	err := n.engines.Engine(action.Backend).Release(ctx, action.Owner)
	n.post(control.PrefixReleased{Backend: action.Backend.ID, Owner: action.Owner, Err: err})
}

// send passes a message to the transport and drops it if it cannot be queued.
// Any message may be lost; senders repeat those that matter.
func (n *Node) send(action control.SendMessage) {
	if err := n.transport.Send(action.To, action.Message); err != nil {
		n.logger.Debug().Str("peer", string(action.To.ID)).Err(err).Msg("link: message dropped")
	}
}
