package node

import (
	"context"

	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/partition"
)

// PartitionStatuses describes the partitions that this node owns or is taking over.
func (n *Node) PartitionStatuses(context.Context) ([]control.PartitionStatus, error) {
	var statuses []control.PartitionStatus
	err := n.query(func(core *control.Core) { statuses = core.Owned() })
	return statuses, err
}

// AcceptLoss lets a partition's stalled recovery on this node continue without
// the mirrors that have lost their records.
func (n *Node) AcceptLoss(_ context.Context, id partition.ID) error {
	n.post(control.LossAccepted{Partition: id})
	return nil
}
