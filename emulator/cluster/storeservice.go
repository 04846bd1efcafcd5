package cluster

import (
	"encoding/json"
	"errors"
	"time"

	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/history"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/partition"
	"birchwood.example/birchwood/recordlog"
)

// storeFaults holds the present faults of the platform.
type storeFaults struct {
	// down means that no request takes effect.
	down bool
	// slow means that requests take seconds, often longer than storeTimeout,
	// but take effect nevertheless.
	slow bool
	// loseAnswers means that half of the answers are lost after the effect.
	loseAnswers bool
}

var (
	errNoAnswer = errors.New("the platform did not answer in time")
	errRefused  = errors.New("the platform refused the connection")
)

// slowDelay is the mean one-way delay to a slow store.
const slowDelay = 1500 * time.Millisecond

// readBytes is the maximum size of one read of the log, in bytes.
const readBytes = 1 << 20

// storeRequest performs a node's request to the platform: effect runs at the
// platform if the request arrives, and done once at the node, with errNoAnswer
// after storeTimeout.
func (c *Cluster) storeRequest(n *node, effect func(), done func(err error)) {
	answered := false
	answer := n.whileRunning(func(err error) {
		if !answered {
			answered = true
			done(err)
		}
	})
	if c.store.down && c.chance(0.5) {
		c.after(c.jitter(c.config.StoreDelay), func() { answer(errRefused) })
		return
	}
	c.after(storeTimeout, func() { answer(errNoAnswer) })
	mean := c.config.StoreDelay
	if c.store.slow {
		mean = slowDelay
	}
	c.after(c.jitter(mean), func() {
		if c.store.down {
			return
		}
		effect()
		if c.store.loseAnswers && c.chance(0.5) {
			return
		}
		c.after(c.jitter(mean), func() { answer(nil) })
	})
}

// appendStream appends entries to a partition's stream.
func (n *node) appendStream(action control.AppendStream) {
	entries := make([][]byte, len(action.Append.Entries))
	for i, entry := range action.Append.Entries {
		entries[i] = encode(entry)
	}
	result := partition.Appended{Request: action.Append.Request}
	effect := func() {
		n.recordUse(action.Partition)
		result.FirstOffset = n.cluster.log.Append(action.Partition.String(), entries)
	}
	n.cluster.storeRequest(n, effect, func(err error) {
		result.Err = err
		if errors.Is(err, errRefused) {
			result.Err = partition.ErrNotAppended
		}
		n.post(control.StreamAppended{Partition: action.Partition, Result: result})
	})
}

// readStream reads a partition's stream.
func (n *node) readStream(action control.ReadStream) {
	from, maximum := action.Read.From, action.Read.Maximum
	if action.Read.Tail {
		from, maximum = 0, 0
	}
	result := partition.ReadDone{Request: action.Read.Request, FirstOffset: from}
	effect := func() {
		n.recordUse(action.Partition)
		encoded, end := n.cluster.log.Read(action.Partition.String(), from, maximum, readBytes)
		result.End = end
		for _, text := range encoded {
			result.Entries = append(result.Entries, decodeEntry(text))
		}
	}
	n.cluster.storeRequest(n, effect, func(err error) {
		if err != nil {
			result = partition.ReadDone{Request: action.Read.Request, FirstOffset: from, Err: err}
		}
		n.post(control.StreamRead{Partition: action.Partition, Result: result})
	})
}

// readSettings reads the settings stream.
func (n *node) readSettings(action control.ReadSettings) {
	result := contract.ReadDone{Request: action.Read.Request, From: action.Read.From}
	effect := func() {
		result.Changes, result.End = n.cluster.log.Read(contract.StreamName, action.Read.From, action.Read.Maximum, readBytes)
	}
	n.cluster.storeRequest(n, effect, func(err error) {
		if err != nil {
			result = contract.ReadDone{Request: action.Read.Request, From: action.Read.From, Err: err}
		}
		n.post(control.SettingsRead{Result: result})
	})
}

// flapShare is the share of entries that a flapping list omits.
const flapShare = 0.3

// listMachines renews this node's entry and reads the machine list.
func (n *node) listMachines(action control.ListMachines) {
	var listed []machine.Machine
	c := n.cluster
	effect := func() {
		c.machines.Announce(c.now, action.Self)
		for _, each := range c.machines.Machines(c.now) {
			if !c.flapping || !c.chance(flapShare) {
				listed = append(listed, each)
			}
		}
	}
	c.storeRequest(n, effect, func(err error) {
		n.post(control.MachinesListed{Machines: listed, Err: err})
	})
}

// recordUse records that this node accessed a partition's stream.
func (n *node) recordUse(id partition.ID) {
	n.cluster.record(history.Event{Stream: &history.StreamUse{
		Machine: n.self.ID, Zone: n.self.Zone, Stream: id.String(), Branch: id.Group.Branch(),
	}})
}

// encode returns the JSON form of an entry, as stored in the log.
func encode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic("cluster: encode log entry as JSON: " + err.Error())
	}
	return text
}

// decodeEntry decodes an entry; invalid bytes give an empty entry.
func decodeEntry(text []byte) recordlog.Entry {
	var entry recordlog.Entry
	if json.Unmarshal(text, &entry) != nil {
		return recordlog.Entry{}
	}
	return entry
}
