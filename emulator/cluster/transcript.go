package cluster

import (
	"encoding/json"
	"fmt"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/partition"
	"birchwood.example/birchwood/program"
)

// historyRetryDelay is the delay before a failed read of a history is retried.
const historyRetryDelay = 500 * time.Millisecond

// readPrompt reads the calls that precede an attempt. It retries until it
// succeeds or the attempt has ended.
func (n *node) readPrompt(sent *attempt, done func(calls []api.Call)) {
	action := sent.action
	if known, found := n.cachedCalls(action.Attempt.Program, action.Prompt); found {
		done(known)
		return
	}
	n.readCalls(action.Partition, action.Attempt.Program, action.Prompt, func(calls []api.Call, err error) {
		switch {
		case sent.ended:
		case err != nil:
			n.cluster.after(historyRetryDelay, func() { n.enqueue(func() { n.readPrompt(sent, done) }) })
		default:
			done(calls)
		}
	})
}

// cacheCall caches a call that was sent from this node and has succeeded, as the
// daemon does for recently active programs: a prompt then needs no read of the
// log.
func (n *node) cacheCall(call api.Call) {
	ref := program.CallRef{Program: call.Program, Sequence: call.Sequence}
	input, sentHere := n.inputs[ref]
	delete(n.inputs, ref)
	if sentHere && call.Status == api.StatusSucceeded {
		call.Input = input
		n.succeededCalls[ref] = call
	}
}

// cachedCalls returns the calls at the locations if all of them are cached on
// this node.
func (n *node) cachedCalls(owner api.ProgramID, locations []program.CallLocation) ([]api.Call, bool) {
	calls := make([]api.Call, len(locations))
	for i, location := range locations {
		known, found := n.succeededCalls[program.CallRef{Program: owner, Sequence: location.Sequence}]
		if !found {
			return nil, false
		}
		calls[i] = known
	}
	return calls, true
}

// readCalls reads calls from a partition's stream in one request.
func (n *node) readCalls(id partition.ID, owner api.ProgramID, locations []program.CallLocation, done func([]api.Call, error)) {
	if len(locations) == 0 {
		done(nil, nil)
		return
	}
	calls := make([]api.Call, len(locations))
	var failure error
	effect := func() {
		for i, location := range locations {
			if calls[i], failure = n.readCall(id, owner, location); failure != nil {
				return
			}
		}
	}
	n.cluster.storeRequest(n, effect, func(err error) {
		if err == nil {
			err = failure
		}
		done(calls, err)
	})
}

// readCall assembles a call from the records of its acceptance and its end.
func (n *node) readCall(id partition.ID, owner api.ProgramID, location program.CallLocation) (api.Call, error) {
	accepted, ended := location.Accepted, location.Ended
	if accepted == nil {
		record, err := n.readRecord(id, location.AcceptedOffset)
		if err != nil || record.Accepted == nil || record.Program != owner {
			return api.Call{}, fmt.Errorf("offset %d does not hold call %d of program %s: %w", location.AcceptedOffset, location.Sequence, owner, err)
		}
		accepted = record.Accepted
	}
	call := api.Call{
		Program: owner, Sequence: accepted.Sequence, Key: accepted.Call.Key, Kind: accepted.Call.Kind,
		Input: accepted.Call.Input, Status: location.Status,
	}
	if !location.Status.Terminal() {
		return call, nil
	}
	if ended == nil {
		record, err := n.readRecord(id, location.EndedOffset)
		if err != nil || record.Ended == nil || record.Program != owner {
			return api.Call{}, fmt.Errorf("offset %d does not hold the end of call %d of program %s: %w", location.EndedOffset, location.Sequence, owner, err)
		}
		ended = record.Ended
	}
	control.SetOutcome(&call, ended)
	return call, nil
}

// readRecord reads one record of a stream.
func (n *node) readRecord(id partition.ID, offset uint64) (program.Record, error) {
	encoded, _ := n.cluster.log.Read(id.String(), offset, 1, readBytes)
	if len(encoded) == 0 {
		return program.Record{}, fmt.Errorf("partition %s has no offset %d", id, offset)
	}
	var record program.Record
	err := json.Unmarshal(decodeEntry(encoded[0]).Payload, &record)
	return record, err
}

// fetchHistory answers a request with calls read from the log.
func (n *node) fetchHistory(action control.FetchHistory) {
	n.readCalls(action.Partition, action.Program, action.Locations, func(calls []api.Call, err error) {
		reply := control.Reply{}
		switch {
		case err != nil:
			refusal := api.Refuse(api.CodeStoreUnavailable, "the history cannot be read back now: %v", err)
			refusal.Ran = api.RanOutcomeUnknown
			reply.Error = refusal.WithRetryAfter(1000)
		case action.Single:
			reply.Call = &calls[0]
		default:
			reply.History = &api.History{Program: action.Program, Calls: calls, Next: action.Next}
		}
		n.answer(action.Handle, reply)
	})
}
