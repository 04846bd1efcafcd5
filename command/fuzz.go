package command

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/emulator/cluster"
)

// errFuzzFailed makes fuzz exit with 1 after it has printed the failure.
var errFuzzFailed = errors.New("a run broke a promise")

// progressIntervalRuns is the number of runs between two progress messages.
const progressIntervalRuns = 100

// newFuzzCommand returns the subcommand that searches emulated clusters for
// violated guarantees.
func newFuzzCommand() *cobra.Command {
	config := cluster.FuzzConfig{Seed: 1, MaxShrinkTime: 30 * time.Second}
	command := &cobra.Command{
		Use:   "fuzz --for DURATION --seed N",
		Short: "Look for broken promises in emulated clusters",
		Long: "Runs whole clusters in virtual time, with crashes, pauses, cuts, a failing store, a flapping\n" +
			"machine list and racing operators, and checks the history of each run. A failure is made smaller\n" +
			"and printed with the command that runs it again. Exits with 1 when a promise was broken.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if config.MaxDuration <= 0 && config.Runs <= 0 {
				return &ExitError{Code: ExitUsage, Cause: errors.New("want --for or --runs")}
			}
			return runFuzz(command, config)
		},
	}
	flags := command.Flags()
	flags.Uint64Var(&config.Seed, "seed", config.Seed, "the first run's seed; each further run takes the next number")
	flags.DurationVar(&config.MaxDuration, "for", 0, "how long to look")
	flags.IntVar(&config.Runs, "runs", 0, "how many runs to make at most; 0 means no bound")
	flags.DurationVar(&config.MaxShrinkTime, "shrink", config.MaxShrinkTime, "how long to make a failure smaller")
	return command
}

// runFuzz runs clusters until a failure or until a bound is reached, and prints
// the outcome.
func runFuzz(command *cobra.Command, config cluster.FuzzConfig) error {
	start := time.Now()
	config.Progress = func(runs int) {
		if runs%progressIntervalRuns == 0 {
			_, _ = fmt.Fprintf(command.ErrOrStderr(), "%d runs in %s\n", runs, time.Since(start).Round(time.Second))
		}
	}
	runs, failure, err := cluster.Fuzz(config)
	if err != nil {
		return &ExitError{Code: ExitFailure, Cause: err}
	}
	output := command.OutOrStdout()
	if failure == nil {
		_, err := fmt.Fprintf(output, "%d runs from seed %d in %s: no promise was broken\n",
			runs, config.Seed, time.Since(start).Round(time.Second))
		return err
	}
	_, _ = fmt.Fprintf(output, "%s\n\nrun %d failed; again: %s\n", failure.Text, runs, failure.Replay)
	return &ExitError{Code: ExitFailure, Cause: errFuzzFailed}
}
