package edge

import (
	"context"
	"time"

	"birchwood.example/birchwood/internal/wait"
)

// idleCheckInterval is the time between two looks at the idle connections to replicas.
const idleCheckInterval = time.Second

// closeUnusable closes idle connections to replicas that no request will use.
func (n *Node) closeUnusable(ctx context.Context) {
	for wait.For(ctx, idleCheckInterval) {
		n.pool.CloseUnusable()
	}
}
