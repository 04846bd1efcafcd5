package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/scale"
)

// errScaleViolations makes scale exit with a failure after it has printed its
// result.
var errScaleViolations = errors.New("the run broke a promise; see violations_by_kind")

// newScaleCommand returns the command that measures a large fleet.
func newScaleCommand() *cobra.Command {
	config := scale.DefaultConfig()
	output, quiet := "text", false
	command := &cobra.Command{
		Use:   "scale --nodes N --programs M --for D",
		Short: "Measure what a node costs in a large fleet",
		Long: "Starts many nodes in one process, most of them without sockets between each other, measures\n" +
			"them idle, then under programs, settings changes and failures: of nodes, of a zone, and a\n" +
			"region's cut. Exits with 1 when the run saw a broken promise.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return runScale(command, config, output, quiet) },
	}
	set := command.Flags()
	set.IntVar(&config.Nodes, "nodes", config.Nodes, "how many nodes to run")
	set.IntVar(&config.RealNodes, "real", config.RealNodes, "how many of them talk over loopback")
	set.IntVar(&config.Programs, "programs", config.Programs, "how many programs arrive")
	set.IntVar(&config.Replicas, "replicas", config.Replicas, "how many back ends there are; one in ten is a tool service")
	set.IntVar(&config.Zones, "zones", config.Zones, "how many zones there are")
	set.IntVar(&config.Regions, "regions", config.Regions, "how many regions the zones are in")
	set.DurationVar(&config.Duration, "for", config.Duration, "how long programs arrive and failures happen")
	set.DurationVar(&config.IdleTime, "idle", config.IdleTime, "how long the fleet is measured without work first")
	set.DurationVar(&config.SettleTimeout, "settle", config.SettleTimeout, "how long the fleet may take to become ready")
	set.BoolVar(&config.Churn, "churn", config.Churn, "make nodes, a zone and a region fail")
	set.DurationVar(&config.ProbeTimeout, "probe-timeout", config.ProbeTimeout, "the membership's probe time-out, for hundreds of nodes on few cores; 0 keeps production's")
	set.Uint64Var(&config.Seed, "seed", config.Seed, "the seed of the load and the failures")
	set.StringVar(&output, "output", output, "text or json")
	set.BoolVar(&quiet, "quiet", quiet, "do not tell what the run does")
	return command
}

func runScale(command *cobra.Command, config scale.Config, output string, quiet bool) error {
	if output != "text" && output != "json" {
		return &ExitError{Code: ExitUsage, Cause: fmt.Errorf("output %q: want text or json", output)}
	}
	if !quiet {
		config.Progress = func(text string) { fmt.Fprintln(command.ErrOrStderr(), text) }
	}
	ctx, stop := signal.NotifyContext(contextOf(command), os.Interrupt, syscall.SIGTERM)
	defer stop()
	result, err := scale.Run(ctx, config)
	if err != nil {
		return &ExitError{Code: ExitFailure, Cause: err}
	}
	if output == "json" {
		encoder := json.NewEncoder(command.OutOrStdout())
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(result); err != nil {
			return &ExitError{Code: ExitFailure, Cause: err}
		}
	} else {
		fmt.Fprint(command.OutOrStdout(), result)
	}
	if result.Violations > 0 {
		return &ExitError{Code: ExitFailure, Cause: errScaleViolations}
	}
	return nil
}
