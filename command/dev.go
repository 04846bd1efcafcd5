package command

import (
	"context"
	"fmt"
	"io"
	"net"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/config"
	"birchwood.example/birchwood/emulator/standin"
	"birchwood.example/birchwood/node"
)

func newDevCommand() *cobra.Command {
	var level string
	command := &cobra.Command{
		Use:   "dev",
		Short: "Run a whole system in one process: four nodes in three zones, and the stand-ins",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return runDev(ctx, command.OutOrStdout(), level)
		},
	}
	command.Flags().StringVar(&level, "log-level", "warn", "the least important line that is logged")
	return command
}

// devNode is one node of the development system.
type devNode struct {
	file     *config.File
	process  *node.Process
	callers  net.Listener
	operator net.Listener
}

// runDev runs the development system until the context ends.
func runDev(ctx context.Context, output io.Writer, level string) error {
	development := config.Dev()
	set, err := standin.Start(standinConfig(development.Standin.Standin))
	if err != nil {
		return &ExitError{Code: ExitFailure, Cause: err}
	}
	defer set.Close()
	if err := appendSettings(ctx, set.Addresses().Platform, development.Changes); err != nil {
		return &ExitError{Code: ExitFailure, Cause: err}
	}
	nodes, err := openDevNodes(development, set.Addresses().Platform, level)
	if err != nil {
		return &ExitError{Code: ExitFailure, Cause: err}
	}
	for _, opened := range nodes {
		opened.process.Start(opened.callers, opened.operator)
	}
	if err := awaitReady(ctx, nodes); err != nil {
		return nil
	}
	printDev(output, nodes, set.Addresses())
	<-ctx.Done()
	return stopDev(nodes)
}

// openDevNodes opens the listeners, which tell the addresses that the nodes'
// files then name, and builds the nodes.
func openDevNodes(development *config.Development, platform, level string) ([]devNode, error) {
	var nodes []devNode
	for _, file := range development.Nodes {
		callers, err := net.Listen("tcp", file.Node.Listen)
		if err != nil {
			return nil, err
		}
		operator, err := net.Listen("tcp", file.Node.Operator)
		if err != nil {
			return nil, err
		}
		file.Node.Listen = callers.Addr().String()
		file.Node.Operator = operator.Addr().String()
		*file.Platform = config.Platform{Log: platform, Machines: platform, Weights: platform}
		process, err := node.Wire(file, newLogger(level, string(file.Node.ID)))
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, devNode{file: file, process: process, callers: callers, operator: operator})
	}
	return nodes, nil
}

// awaitReady waits until every node has the settings and knows the back ends.
func awaitReady(ctx context.Context, nodes []devNode) error {
	for _, opened := range nodes {
		if err := opened.process.Node.AwaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// stopDev stops the nodes one after another, as an operator would.
func stopDev(nodes []devNode) error {
	for _, opened := range nodes {
		if err := stopWithin(opened.process, opened.file); err != nil {
			return err
		}
	}
	return nil
}

// devCall is a first program and call, ready to paste.
const devCall = `
A first program and its first call:

  PROGRAM=$(curl -s -H 'Authorization: Bearer %[2]s' \
    -d '{"branch":"%[3]s","key":"first"}' http://%[1]s/v1/programs | sed 's/.*"id":"\([^"]*\)".*/\1/')
  curl -s -H 'Authorization: Bearer %[2]s' \
    -d '{"key":"turn-1","kind":"model","model":"%[4]s","input":"Which pallets are warm?","max_output_tokens":40}' \
    http://%[1]s/v1/programs/$PROGRAM/calls

`

func printDev(output io.Writer, nodes []devNode, standins standin.Addresses) {
	fmt.Fprintln(output, "birchwood dev is ready")
	for _, opened := range nodes {
		fmt.Fprintf(output, "  %-8s %-6s callers http://%s  operators http://%s\n",
			opened.file.Node.ID, opened.file.Node.Zone, opened.callers.Addr(), opened.operator.Addr())
	}
	fmt.Fprintf(output, "  platform http://%s  faults http://%s\n", standins.Platform, standins.Control)
	fmt.Fprintf(output, "  caller token %s on branch %s, operator token %s\n",
		config.DevCallerToken, config.DevBranch, config.DevOperatorToken)
	fmt.Fprintf(output, devCall, nodes[0].callers.Addr(), config.DevCallerToken, config.DevBranch, config.DevModel)
}
