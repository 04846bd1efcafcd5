package cluster

import (
	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/history"
	"birchwood.example/birchwood/partition"
)

// DeclaredLoss returns the partitions whose stream declares that records may be
// lost: an owner crashed while the store did not accept its records, and so did
// the mirrors that held them.
func (c *Cluster) DeclaredLoss() map[partition.ID]bool {
	declared := map[partition.ID]bool{}
	for _, id := range c.partitions() {
		entries, _ := c.log.Read(id.String(), 0, maximumEntries, maximumBytes)
		for _, text := range entries {
			if entry := decodeEntry(text); entry.Mirrors != nil && entry.Mirrors.AbandonedEpoch > 0 {
				declared[id] = true
			}
		}
	}
	return declared
}

// Limits of a read that returns a whole stream.
const (
	maximumEntries = 1 << 20
	maximumBytes   = 1 << 30
)

// partitions returns the partitions of the programs that were started.
func (c *Cluster) partitions() []partition.ID {
	seen := map[partition.ID]bool{}
	var ids []partition.ID
	for _, each := range c.agents {
		id, err := partition.OfProgram(each.id)
		if err == nil && !seen[id] {
			seen[id] = true
			ids = append(ids, id)
		}
	}
	return ids
}

// excusedEvents returns the history without the programs of partitions with a
// declared loss. If the store had no fault in the run, nothing can have been
// lost, and the whole history is returned.
func (c *Cluster) excusedEvents() []history.Event {
	declared := c.DeclaredLoss()
	if len(declared) == 0 || !c.storeFailed() {
		return c.events
	}
	requests := map[string]bool{}
	var kept []history.Event
	for _, event := range c.events {
		if !c.excused(event, declared, requests) {
			kept = append(kept, event)
		}
	}
	return kept
}

// storeFailed reports whether the store ever had a fault.
func (c *Cluster) storeFailed() bool {
	for _, event := range c.events {
		if event.Fault != nil && event.Fault.Kind == history.FaultStore {
			return true
		}
	}
	return false
}

// excused reports whether the event concerns a program of a declared partition.
// requests maps each request sent so far to whether it was excused, for the
// events that name only the request.
func (c *Cluster) excused(event history.Event, declared map[partition.ID]bool, requests map[string]bool) bool {
	concerns := func(id api.ProgramID) bool {
		partitionID, err := partition.OfProgram(id)
		return err == nil && declared[partitionID]
	}
	switch {
	case event.Sent != nil:
		requests[event.Sent.Request] = concerns(event.Sent.Program)
		return requests[event.Sent.Request]
	case event.Got != nil:
		return requests[event.Got.Request]
	case event.Lost != nil:
		return requests[event.Lost.Request]
	case event.Read != nil:
		return concerns(event.Read.Program)
	case event.AttemptStarted != nil:
		return concerns(event.AttemptStarted.Program)
	case event.AttemptFinished != nil:
		return concerns(event.AttemptFinished.Program)
	case event.ProgramCreated != nil:
		return concerns(event.ProgramCreated.Program)
	case event.ProgramEnded != nil:
		return concerns(event.ProgramEnded.Program)
	}
	return false
}
