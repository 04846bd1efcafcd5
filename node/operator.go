package node

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/google/uuid"

	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/operator"
)

// errStopped answers operators of a node whose control goroutine has ended.
var errStopped = errors.New("the node has stopped")

// query runs a function on the control goroutine, for operators.
func (n *Node) query(inspect func(*control.Core)) error {
	if !n.inspect(inspect) {
		return Error.Wrap(errStopped)
	}
	return nil
}

// Alive returns an error when the control goroutine does not answer.
func (n *Node) Alive(ctx context.Context) error {
	answered := make(chan error, 1)
	go func() { answered <- n.query(func(*control.Core) {}) }()
	select {
	case err := <-answered:
		return err
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// Settings returns the tree in force on this node.
func (n *Node) Settings() *contract.Tree { return n.tree.Load() }

// Freshness says how sure the node is of its settings.
func (n *Node) Freshness(context.Context) (contract.Freshness, error) {
	var freshness contract.Freshness
	err := n.query(func(core *control.Core) { freshness = core.Freshness(time.Now()) })
	return freshness, err
}

// SettingsHistory returns the changes at the offsets from on and the offset
// after the last record that exists. A record that is no change is left out.
func (n *Node) SettingsHistory(ctx context.Context, from uint64, limit int) ([]contract.Change, uint64, error) {
	records, end, err := n.log.Read(ctx, contract.StreamName, from, limit)
	if err != nil {
		return nil, 0, Error.Wrap(err)
	}
	var changes []contract.Change
	for _, record := range records {
		var change contract.Change
		if json.Unmarshal(record, &change) == nil {
			changes = append(changes, change)
		}
	}
	return changes, end, nil
}

// SettingsStatus tells which revision each node holds, as far as this node
// has heard.
func (n *Node) SettingsStatus(context.Context) ([]operator.NodeSettings, error) {
	var statuses []operator.NodeSettings
	err := n.query(func(core *control.Core) {
		for _, known := range core.SettingsOfPeers(time.Now()) {
			statuses = append(statuses, operator.NodeSettings(known))
		}
	})
	return statuses, err
}

// Nodes returns the nodes that this node knows, and what it owns itself.
func (n *Node) Nodes(context.Context) ([]operator.NodeState, error) {
	var states []operator.NodeState
	err := n.query(func(core *control.Core) {
		for _, known := range core.Machines() {
			if known.Kind != machine.KindNode {
				continue
			}
			state := operator.NodeState{Machine: known}
			if known.ID == n.config.Control.Self.ID {
				state.OwnedPartitions = len(core.Owned())
			}
			states = append(states, state)
		}
	})
	return states, err
}

// Backends returns the back ends that this node knows.
func (n *Node) Backends(context.Context) ([]machine.Machine, error) {
	var backends []machine.Machine
	err := n.query(func(core *control.Core) { backends = core.Backends() })
	return backends, err
}

// DrainNode begins the planned stop of a node: this one, or a peer that is
// told by a message.
func (n *Node) DrainNode(_ context.Context, id machine.ID) error {
	n.post(control.DrainRequested{Node: id})
	return nil
}

// snapshot is what a scrape of the metrics reads.
func (n *Node) snapshot() operator.Snapshot {
	var snapshot operator.Snapshot
	now := time.Now()
	// A node that has stopped reports zeros.
	_ = n.query(func(core *control.Core) {
		for _, owned := range core.Owned() {
			snapshot.OwnedPartitions++
			snapshot.Programs += owned.Programs
			snapshot.RunningCalls += owned.Running
			snapshot.UnconfirmedRecords += owned.Unconfirmed
			if owned.Stall != nil {
				snapshot.StalledPartitions++
			}
		}
		freshness := core.Freshness(now)
		snapshot.SettingsMayPlace = freshness.MayPlace
		snapshot.SettingsAge = now.Sub(freshness.Confirmed)
		snapshot.Members = make(map[operator.Member]int)
		for _, known := range core.Machines() {
			snapshot.Members[operator.Member{Kind: string(known.Kind), Status: string(known.Status)}]++
		}
	})
	return snapshot
}

// DrainBackend sends no new work to a back end any more: it adds the back end
// to the root's drained ones. Operators who do so at the same time cannot
// undo each other's change, so that a lost race is tried again.
func (n *Node) DrainBackend(ctx context.Context, id machine.ID) error {
	for range drainAttempts {
		tree := n.tree.Load()
		root, err := tree.Resolve(contract.Root)
		if err != nil {
			return Error.Wrap(err)
		}
		if slices.Contains(root.DrainedBackends, string(id)) {
			return nil
		}
		drained := append(slices.Clone(root.DrainedBackends), string(id))
		verdict, err := n.ChangeSettings(ctx, contract.Change{
			ID: uuid.NewString(), Based: tree.Revision(), Actor: "drain of " + string(id), At: time.Now(),
			Edits: []contract.Edit{{Path: contract.Root, Values: contract.Values{DrainedBackends: drained}}},
		})
		if err != nil || verdict.Accepted {
			return err
		}
	}
	return Error.New("back end %s was not drained: other changes of the root won %d times", id, drainAttempts)
}

// drainAttempts bounds how often DrainBackend tries again after a lost race.
const drainAttempts = 5
