package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/edge"
	"birchwood.example/birchwood/soak"
)

// Defaults of the soak flags.
const (
	defaultSoakNodes    = 12
	defaultSoakDuration = 90 * time.Second
)

// nodeBinary is the file name of the node's binary, which is expected in the
// directory of this one.
const nodeBinary = "birchwood-edge"

// newSoakCommand returns the subcommand that runs real node processes under
// faults and checks that they keep the promises.
func newSoakCommand() *cobra.Command {
	options := soak.Options{Scenario: soak.Scenario{Nodes: defaultSoakNodes}}
	duration := defaultSoakDuration
	var replay string
	command := &cobra.Command{
		Use:   "soak [--seed N] [--duration D] [--nodes N] [--series] [--without MECHANISM,...] [--replay FILE]",
		Short: "Look for broken promises of real nodes under faults",
		Long: "Starts nodes as processes on this machine before stand-ins of the users' platform, drives programs,\n" +
			"tools, tenants and an operator at them, brings faults about by a schedule drawn from the seed, and\n" +
			"checks while it runs what callers and replicas see. Says its seed first and its verdict last, and exits\n" +
			"with 1 when a promise was broken. It ends what it started, also when it is interrupted.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			options.Output = command.OutOrStdout()
			options.Seconds = int(duration / time.Second)
			if replay != "" {
				read, err := soak.ReadScenario(replay)
				if err != nil {
					return &ExitError{Code: ExitUsage, Cause: err}
				}
				options.Scenario = read
			}
			return runSoak(command.Context(), options)
		},
	}
	flags := command.Flags()
	flags.Uint64Var(&options.Seed, "seed", uint64(time.Now().UnixNano()%1_000_000), "what the faults and the load are drawn from; a fresh one by default")
	flags.DurationVar(&duration, "duration", duration, "how long to run")
	flags.IntVar(&options.Nodes, "nodes", options.Nodes, "how many nodes to start")
	flags.BoolVar(&options.Series, "series", false, "add series of stops, kills, pauses and reloads that overlap the drawn faults")
	flags.StringVar(&options.Disabled, "without", "", "mechanisms of the nodes to switch off, separated by commas, to see whether that is noticed")
	flags.StringArrayVar(&options.KnownBroken, "known", nil, "a promise that is known to be broken, in the report's words: reported, but no reason to fail; may be given again")
	flags.StringVar(&replay, "replay", "", "a file with a run to make again, in place of --seed, --duration and --nodes")
	flags.StringVar(&options.Logs, "logs", "", "a folder that the nodes' logs stay in; without it they go")
	flags.StringVar(&options.Binary, "binary", "", "the program of a node; by default "+nodeBinary+" beside this program")
	return command
}

// runSoak runs the soak test until it ends or a signal arrives.
func runSoak(parent context.Context, options soak.Options) error {
	if _, err := edge.ParseMechanisms("--without", options.Disabled); err != nil {
		return &ExitError{Code: ExitUsage, Cause: err}
	}
	if options.Binary == "" {
		executable, err := os.Executable()
		if err != nil {
			return &ExitError{Code: ExitFailure, Cause: err}
		}
		options.Binary = filepath.Join(filepath.Dir(executable), nodeBinary)
	}
	if _, err := os.Stat(options.Binary); err != nil {
		return &ExitError{Code: ExitUsage, Cause: fmt.Errorf("node binary (see --binary): %w", err)}
	}
	ctx, stop := signal.NotifyContext(parent, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := soak.Run(ctx, options)
	if err != nil && !errors.Is(err, soak.ErrBroken) {
		err = fmt.Errorf("soak: %w", err)
	}
	if err != nil {
		return &ExitError{Code: ExitFailure, Cause: err}
	}
	return nil
}
