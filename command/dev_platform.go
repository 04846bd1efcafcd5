package command

import (
	"context"
	"fmt"
	"io"
	"time"

	"birchwood.example/birchwood/platform/standin"
)

// The size of the development system on the users' platform: nodes, model
// replicas, plain (non-model) replicas, and events per answer of a model replica.
const (
	devNodes           = 3
	devModelReplicas   = 2
	devPlainReplicas   = 2
	devEventsPerAnswer = 8
)

// devEventInterval is the time between two events of an answer. It is long
// enough for a user to see the stream arrive piece by piece.
const devEventInterval = 60 * time.Millisecond

// devReadyPollInterval is the time between two checks whether a node is ready.
const devReadyPollInterval = 50 * time.Millisecond

// runDevPlatform runs nodes on stand-ins of the users' platform until the
// context is cancelled.
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

// awaitReady waits until every node is ready. It reports false if the context
// is cancelled first.
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
