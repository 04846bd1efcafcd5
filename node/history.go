package node

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/partition"
	"birchwood.example/birchwood/program"
)

// Bounds of the exponential backoff between reads of a log record.
const (
	minReadRetryDelay = 20 * time.Millisecond
	maxReadRetryDelay = 500 * time.Millisecond
)

// maxConcurrentReads bounds how many calls of one request are read
// concurrently.
const maxConcurrentReads = 16

// fetchHistory reads calls from the log and replies with them.
func (n *Node) fetchHistory(action control.FetchHistory) {
	ctx, cancel := context.WithTimeout(n.context, n.config.StoreTimeout)
	defer cancel()
	calls, err := n.readCalls(ctx, action.Partition, action.Program, action.Locations)
	n.answer(control.Answer{Handle: action.Handle, Reply: historyReply(action, calls, err)})
}

func historyReply(action control.FetchHistory, calls []api.Call, err error) control.Reply {
	if err != nil {
		refusal := api.Refuse(api.CodeStoreUnavailable, "the history cannot be read back now: %v", err)
		if action.Single {
			// The call has ended; only its outcome cannot be read now.
			refusal.Ran = api.RanOutcomeUnknown
		}
		return control.Reply{Error: refusal.WithRetryAfter(storeRetryMilliseconds)}
	}
	if action.Single {
		return control.Reply{Call: &calls[0]}
	}
	return control.Reply{History: &api.History{Program: action.Program, Calls: calls, Next: action.Next}}
}

// storeRetryMilliseconds is the retry-after delay of a caller while the log
// cannot be read.
const storeRetryMilliseconds = 1000

// readCalls reads the calls at the given locations, at most maxConcurrentReads
// at a time, and returns them in order.
func (n *Node) readCalls(ctx context.Context, id partition.ID, owner api.ProgramID, locations []program.CallLocation) ([]api.Call, error) {
	calls := make([]api.Call, len(locations))
	failures := make([]error, len(locations))
	slots := make(chan struct{}, maxConcurrentReads)
	var group sync.WaitGroup
	for i, location := range locations {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			calls[i], failures[i] = n.readCall(ctx, id, owner, location)
		})
	}
	group.Wait()
	for _, err := range failures {
		if err != nil {
			return nil, err
		}
	}
	return calls, nil
}

// readCall assembles a call from the record that accepted it and, if it has
// ended, the record of its end.
func (n *Node) readCall(ctx context.Context, id partition.ID, owner api.ProgramID, location program.CallLocation) (api.Call, error) {
	accepted, err := n.readAccepted(ctx, id, owner, location)
	if err != nil {
		return api.Call{}, err
	}
	call := callFromAccepted(owner, accepted)
	call.Status = location.Status
	if !location.Status.Terminal() {
		return call, nil
	}
	ended, err := n.readEnded(ctx, id, owner, location)
	if err != nil {
		return api.Call{}, err
	}
	control.SetOutcome(&call, ended)
	return call, nil
}

func (n *Node) readAccepted(ctx context.Context, id partition.ID, owner api.ProgramID, location program.CallLocation) (*program.Accepted, error) {
	if location.Accepted != nil {
		return location.Accepted, nil
	}
	record, err := n.readRecord(ctx, id, location.AcceptedOffset)
	if err != nil {
		return nil, err
	}
	if record.Accepted == nil || record.Program != owner || record.Accepted.Sequence != location.Sequence {
		return nil, wrongRecordError(id, owner, location.Sequence, location.AcceptedOffset)
	}
	return record.Accepted, nil
}

func (n *Node) readEnded(ctx context.Context, id partition.ID, owner api.ProgramID, location program.CallLocation) (*program.CallEnded, error) {
	if location.Ended != nil {
		return location.Ended, nil
	}
	record, err := n.readRecord(ctx, id, location.EndedOffset)
	if err != nil {
		return nil, err
	}
	if record.Ended == nil || record.Program != owner || record.Ended.Sequence != location.Sequence {
		return nil, wrongRecordError(id, owner, location.Sequence, location.EndedOffset)
	}
	return record.Ended, nil
}

// wrongRecordError reports that an offset does not hold the record that the
// index has for it.
func wrongRecordError(id partition.ID, owner api.ProgramID, sequence, offset uint64) error {
	return fmt.Errorf("offset %d of partition %s does not hold call %d of program %s", offset, id, sequence, owner)
}

// callFromAccepted returns the call described by the record that accepted it.
func callFromAccepted(owner api.ProgramID, accepted *program.Accepted) api.Call {
	return api.Call{
		Program:  owner,
		Sequence: accepted.Sequence,
		Key:      accepted.Call.Key,
		Kind:     accepted.Call.Kind,
		Input:    accepted.Call.Input,
	}
}

// readRecord reads one record from the log. It retries until the context ends,
// because one failed read would fail the whole history.
func (n *Node) readRecord(ctx context.Context, id partition.ID, offset uint64) (program.Record, error) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = minReadRetryDelay, maxReadRetryDelay
	encoded, err := backoff.Retry(ctx, func() ([][]byte, error) {
		entries, _, err := n.log.Read(ctx, id.String(), offset, 1)
		return entries, err
	}, backoff.WithBackOff(delays), backoff.WithMaxElapsedTime(0))
	if err != nil {
		return program.Record{}, err
	}
	if len(encoded) == 0 {
		return program.Record{}, fmt.Errorf("partition %s has no offset %d", id, offset)
	}
	var record program.Record
	err = json.Unmarshal(decodeEntry(encoded[0]).Payload, &record)
	return record, err
}
