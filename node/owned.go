package node

import (
	"context"

	"birchwood.example/birchwood/control"
)

// Owned describes the partitions that this node owns or is taking over.
func (n *Node) Owned(context.Context) ([]control.PartitionStatus, error) {
	var statuses []control.PartitionStatus
	err := n.look(func(core *control.Core) { statuses = core.Owned() })
	return statuses, err
}
