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
	devNodes  = 3
	devModels = 2
	devPlain  = 2
	devEvents = 8
)

// devReadyPause is the time between two looks at whether the nodes are ready.
const devReadyPause = 50 * time.Millisecond

// devTurn is a first turn and a first call, ready to paste.
const devTurn = `
Nodes: %[1]s

A first turn of a program, and a call of a tool:

  curl -sN -H 'Host: %[2]s' -H 'X-Request-Id: turn-1' -H 'X-Program-Id: first' -H 'X-Session-Id: first' \
    -H 'X-Token-Budget: 400' -H 'X-Token-Counts: 12,100' -H 'X-Deadline-Ms: 4000' \
    -d 'Which pallets are warm?' http://%[3]s%[4]s1
  curl -s -H 'Host: %[2]s' -H 'X-Request-Id: call-1' -H 'X-Deadline-Ms: 1200' http://%[3]s%[5]s1

`

// runDevPlatform runs nodes on stand-ins of the users' platform until the
// context ends.
func runDevPlatform(ctx context.Context, output io.Writer, level string) error {
	system, err := standin.StartSystem(standin.Options{
		Nodes: devNodes, Models: devModels, Plain: devPlain, Events: devEvents, Logger: newLogger(level, ""),
	})
	if err != nil {
		return &ExitError{Code: ExitFailure, Cause: err}
	}
	if !awaitReady(ctx, system) {
		return system.Close()
	}
	addresses := ""
	for _, node := range system.Nodes {
		addresses += " " + node.Address
	}
	_, _ = fmt.Fprintf(output, devTurn, addresses, standin.Host, system.Nodes[0].Address, standin.ModelPath, standin.LookupPath)
	<-ctx.Done()
	if err := system.Close(); err != nil {
		return &ExitError{Code: ExitFailure, Cause: err}
	}
	return nil
}

// awaitReady waits until every node is ready, and reports false if the context
// ended first.
func awaitReady(ctx context.Context, system *standin.System) bool {
	ticker := time.NewTicker(devReadyPause)
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
