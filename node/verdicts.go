package node

import (
	"context"
	"encoding/json"
	"sync"

	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/control"
)

// verdictTable delivers verdicts to the operators' requests that wait for them,
// by the ID of the change.
type verdictTable struct {
	mutex   sync.Mutex
	waiting map[string]chan contract.Verdict
}

func newVerdictTable() *verdictTable {
	return &verdictTable{waiting: make(map[string]chan contract.Verdict)}
}

func (t *verdictTable) open(id string) <-chan contract.Verdict {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	verdicts := make(chan contract.Verdict, 1)
	t.waiting[id] = verdicts
	return verdicts
}

func (t *verdictTable) close(id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.waiting, id)
}

func (t *verdictTable) deliver(verdict contract.Verdict) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if verdicts, ok := t.waiting[verdict.ID]; ok {
		verdicts <- verdict
		delete(t.waiting, verdict.ID)
	}
}

// ChangeSettings appends a change to the settings stream and returns the verdict
// that every node reaches by applying it. After an error the outcome is unknown:
// the change may be in the stream. It is safe to send the same change again with
// the same ID.
func (n *Node) ChangeSettings(ctx context.Context, change contract.Change) (contract.Verdict, error) {
	encoded, err := json.Marshal(change)
	if err != nil {
		return contract.Verdict{}, Error.Wrap(err)
	}
	verdicts := n.verdicts.open(change.ID)
	defer n.verdicts.close(change.ID)
	offset, err := n.log.Append(ctx, contract.StreamName, [][]byte{encoded})
	if err != nil {
		return contract.Verdict{}, Error.Wrap(err)
	}
	n.post(control.SettingsAppended{Revision: contract.Revision(offset + 1)})
	select {
	case verdict := <-verdicts:
		return verdict, nil
	case <-ctx.Done():
		return contract.Verdict{}, Error.Wrap(ctx.Err())
	}
}
