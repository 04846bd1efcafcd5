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

// errStopped is returned to operators when the control goroutine has ended.
var errStopped = errors.New("the node has stopped")

// query runs a function on the control goroutine. It returns an error if the
// node has stopped.
func (n *Node) query(inspect func(*control.Core)) error {
	if !n.inspect(inspect) {
		return Error.Wrap(errStopped)
	}
	return nil
}

// Alive returns an error if the control goroutine has stopped or does not respond
// before the context ends.
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

// Settings returns the settings tree in force on this node.
func (n *Node) Settings() *contract.Tree { return n.tree.Load() }

// Freshness returns how recently this node's settings were confirmed to be
// current.
func (n *Node) Freshness(context.Context) (contract.Freshness, error) {
	var freshness contract.Freshness
	err := n.query(func(core *control.Core) { freshness = core.Freshness(time.Now()) })
	return freshness, err
}

// SettingsHistory returns at most limit changes, starting at offset from, and
// the offset after the last existing record. It skips records that are not
// changes.
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

// SettingsStatus returns the revision that each node holds according to the
// reports that this node has received.
func (n *Node) SettingsStatus(context.Context) ([]operator.NodeSettings, error) {
	var statuses []operator.NodeSettings
	err := n.query(func(core *control.Core) {
		for _, known := range core.SettingsOfPeers(time.Now()) {
			statuses = append(statuses, operator.NodeSettings(known))
		}
	})
	return statuses, err
}

// Nodes returns the nodes known to this node. Only its own entry has the number
// of owned partitions.
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

// Backends returns the back ends known to this node.
func (n *Node) Backends(context.Context) ([]machine.Machine, error) {
	var backends []machine.Machine
	err := n.query(func(core *control.Core) { backends = core.Backends() })
	return backends, err
}

// DrainNode begins the planned stop of this node, or sends a peer a message to
// begin its own.
func (n *Node) DrainNode(_ context.Context, id machine.ID) error {
	n.post(control.DrainRequested{Node: id})
	return nil
}

// snapshot returns the node's state for a scrape of the metrics.
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
		snapshot.SettingsAllowNewWork = freshness.MayPlace
		snapshot.SettingsAge = now.Sub(freshness.ConfirmedAt)
		snapshot.Members = make(map[operator.Member]int)
		for _, known := range core.Machines() {
			snapshot.Members[operator.Member{Kind: string(known.Kind), Status: string(known.Status)}]++
		}
	})
	return snapshot
}

// DrainBackend stops new work from being sent to a back end by adding it to the
// root's drained back ends. A change that conflicts with a concurrent one is
// refused, so that neither overwrites the other; DrainBackend then retries.
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

// drainAttempts is how many times DrainBackend tries in all when its changes
// conflict with others.
const drainAttempts = 5
