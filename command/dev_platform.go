package command

import (
	"context"
	"fmt"
	"io"
	"time"

	"birchwood.example/birchwood/platform/standin"
)

// The size of the development system on the users' platform.
const (
	devNodes           = 3
	devModelReplicas   = 2
	devPlainReplicas   = 2
	devEventsPerAnswer = 8
)

// devEventInterval is how long an event takes, so that a stream is seen to come.
const devEventInterval = 60 * time.Millisecond

// devReadyPollInterval is the time between two looks at whether the nodes are ready.
const devReadyPollInterval = 50 * time.Millisecond

// runDevPlatform runs nodes on stand-ins of the users' platform until the
// context ends.
func runDevPlatform(ctx context.Context, output io.Writer, level string, tenants bool) error {
	options := standin.Options{
		Nodes: devNodes, Models: devModelReplicas, Plain: devPlainReplicas, Events: devEventsPerAnswer, Step: devEventInterval, Logger: newLogger(level, ""),
	}
	if tenants {
		options.Tenants = standin.FirstTenants
	}
	system, err := standin.StartSystem(options)
	if err != nil {
		return &ExitError{Code: ExitFailure, Cause: err}
	}
	if !awaitReady(ctx, system) {
		return system.Close()
	}
	_, _ = fmt.Fprint(output, system.FirstRequests())
	<-ctx.Done()
	if err := system.Close(); err != nil {
		return &ExitError{Code: ExitFailure, Cause: err}
	}
	return nil
}

// awaitReady waits until every node is ready, and reports false if the context
// ended first.
func awaitReady(ctx context.Context, system *standin.System) bool {
	ticker := time.NewTicker(devReadyPollInterval)
	defer ticker.Stop()
	for _, node := range system.Nodes {
		for !node.Ready() {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return false
			}
		}
	}
	return true
}
