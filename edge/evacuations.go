package edge

import (
	"sync"
	"time"

	"birchwood.example/birchwood/evacuation"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/recordstore"
	"birchwood.example/birchwood/zone"
)

// evacuations holds this node's view of the evacuated zones. It is safe for concurrent use,
// and the zero value is empty.
type evacuations struct {
	mutex sync.Mutex
	state evacuation.State
}

func (e *evacuations) version() uint64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.state.Version()
}

func (e *evacuations) markCurrent(at time.Time) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.state.MarkCurrent(at)
}

func (e *evacuations) snapshot(now time.Time) evacuation.Snapshot {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.state.Snapshot(now)
}

// resetEvacuations applies all records of the configuration stream. A zone without a record
// is not evacuated.
func (n *Node) resetEvacuations(records []recordstore.Record, end uint64) {
	var zones []zone.Name
	for _, record := range records {
		if name, evacuated, ok := n.adapter.Translator.Evacuation(record.Key, record.Value); ok && evacuated {
			zones = append(zones, name)
		}
	}
	n.updateEvacuations("store", func(state *evacuation.State, now time.Time) []evacuation.Change {
		return state.Reset(now, end, zones)
	})
}

// applyEvacuation applies one record of the configuration stream.
func (n *Node) applyEvacuation(record recordstore.Record) {
	name, evacuated, ok := n.adapter.Translator.Evacuation(record.Key, record.Value)
	n.updateEvacuations("store", func(state *evacuation.State, now time.Time) []evacuation.Change {
		if !ok {
			state.Advance(record.Offset + 1)
			return nil
		}
		return state.Apply(now, record.Offset+1, name, evacuated)
	})
}

// adoptEvacuations applies the evacuated zones in a peer's answer, if they are newer.
func (n *Node) adoptEvacuations(from machine.Machine, requestedAt time.Time, received evacuation.Snapshot) {
	n.updateEvacuations("peer "+string(from.ID), func(state *evacuation.State, _ time.Time) []evacuation.Change {
		return state.Adopt(requestedAt, received)
	})
}

// updateEvacuations updates the evacuated zones and passes them on to the selection of
// replicas.
func (n *Node) updateEvacuations(source string, change func(*evacuation.State, time.Time) []evacuation.Change) {
	n.evacuations.mutex.Lock()
	defer n.evacuations.mutex.Unlock()
	now := time.Now()
	changes := change(&n.evacuations.state, now)
	if len(changes) == 0 {
		return
	}
	zones := n.evacuations.state.Zones()
	n.replicas.setEvacuated(zones)
	n.metrics.evacuated(len(zones))
	for _, changed := range changes {
		message := "zones: evacuation ended"
		if changed.Evacuated {
			message = "zones: evacuation began"
		}
		n.logger.Info().Str("evacuated", string(changed.Zone)).Uint64("version", n.evacuations.state.Version()).
			Dur("age", now.Sub(changed.Since)).Str("source", source).Msg(message)
	}
}
