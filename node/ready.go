package node

import (
	"context"
	"time"

	"birchwood.example/birchwood/control"
)

// readyPollInterval is the interval at which AwaitReady checks NotReady.
const readyPollInterval = 20 * time.Millisecond

// NotReady returns the reasons why callers should not be sent to this node yet.
func (n *Node) NotReady(context.Context) []string {
	var reasons []string
	reached := n.inspect(func(core *control.Core) { reasons = core.NotReady(time.Now()) })
	if !reached {
		return []string{"stopped"}
	}
	return reasons
}

// AwaitReady waits until the node may serve callers.
func (n *Node) AwaitReady(ctx context.Context) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for len(n.NotReady(ctx)) > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return Error.Wrap(ctx.Err())
		}
	}
	return nil
}
