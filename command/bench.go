package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"

	"birchwood.example/birchwood/emulator"
	"birchwood.example/birchwood/emulator/benchplot"
	"birchwood.example/birchwood/workload"
)

// benchFlags are the flags of `birchwood bench`.
type benchFlags struct {
	deployment string
	policy     string
	seed       uint64
	programs   int
	load       float64
	faults     string
	output     string
	plot       string
	nodes      int
}

// errViolations makes bench exit with 1 after it has printed its result.
var errViolations = errors.New("at least one policy's run violated an invariant")

// allPolicies is the value of --policy that selects all policies.
const allPolicies = "all"

// newBenchCommand returns the command that measures scheduling policies.
func newBenchCommand() *cobra.Command {
	flags := benchFlags{
		deployment: "koudeketting", policy: allPolicies, seed: 1, programs: 2000, load: 0.8, output: "text",
	}
	command := &cobra.Command{
		Use:   "bench",
		Short: "Measure scheduling policies in virtual time",
		Long: "Runs the programs of a deployment against emulated engines in virtual time, once for each policy and\n" +
			"with the same arrivals. The same flags give the same output to the byte.\n\n" +
			"Load 1 is the arrival rate that keeps the replicas of the most wanted model just busy, if no token were\n" +
			"computed twice. Exits with 1 when a run broke an invariant.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return runBench(command, flags) },
	}
	flagSet := command.Flags()
	flagSet.StringVar(&flags.deployment, "deployment", flags.deployment, "koudeketting, qasr or letter")
	flagSet.StringVar(&flags.policy, "policy", flags.policy, "birchwood, round-robin, least-loaded, sticky or all")
	flagSet.Uint64Var(&flags.seed, "seed", flags.seed, "seed of the arrivals and of every random choice")
	flagSet.IntVar(&flags.programs, "programs", flags.programs, "how many programs arrive")
	flagSet.Float64Var(&flags.load, "load", flags.load, "arrival rate as a share of the capacity")
	flagSet.StringVar(&flags.faults, "faults", flags.faults, "YAML `file` with the faults of the run")
	flagSet.StringVar(&flags.output, "output", flags.output, "text or json")
	flagSet.IntVar(&flags.nodes, "nodes-per-zone", flags.nodes, "nodes that decide in each zone; 0 means the deployment's, at most 3")
	flagSet.StringVar(&flags.plot, "plot", flags.plot, "`directory` for plots of the latency and of a load sweep")
	return command
}

// runBench runs the policies and prints the result.
func runBench(command *cobra.Command, flags benchFlags) error {
	config, err := benchConfig(flags)
	if err != nil {
		return &ExitError{Code: ExitUsage, Cause: err}
	}
	bar := newProgressBar(command.ErrOrStderr())
	config.Progress = bar.show
	result, err := emulator.RunBench(config)
	bar.clear()
	if err != nil {
		return &ExitError{Code: ExitUsage, Cause: err}
	}
	if err := plotBench(config, result, flags.plot, bar); err != nil {
		return &ExitError{Code: ExitFailure, Cause: err}
	}
	for i := range result.Policies {
		result.Policies[i].Latencies = nil
	}
	if err := printBench(command.OutOrStdout(), result, flags.output); err != nil {
		return &ExitError{Code: ExitUsage, Cause: err}
	}
	return violationError(result)
}

// violationError returns an error if a run violated an invariant.
func violationError(result emulator.BenchResult) error {
	for _, policy := range result.Policies {
		if policy.Violations > 0 {
			return &ExitError{Code: ExitFailure, Cause: errViolations}
		}
	}
	return nil
}

// benchConfig returns the configuration that the flags describe.
func benchConfig(flags benchFlags) (emulator.BenchConfig, error) {
	deployment, err := workload.ByName(flags.deployment)
	if err != nil {
		return emulator.BenchConfig{}, err
	}
	if flags.output != "text" && flags.output != "json" {
		return emulator.BenchConfig{}, fmt.Errorf("output %q: want text or json", flags.output)
	}
	faults, err := readFaults(flags.faults)
	if err != nil {
		return emulator.BenchConfig{}, err
	}
	policies := []string{flags.policy}
	if flags.policy == allPolicies {
		policies = emulator.AllPolicies()
	}
	return emulator.BenchConfig{
		Deployment:    deployment,
		Policies:      policies,
		Seed:          flags.seed,
		Programs:      flags.programs,
		Load:          flags.load,
		Faults:        faults,
		NodesPerZone:  flags.nodes,
		KeepLatencies: flags.plot != "",
	}, nil
}

// faultsFile is the content of the file that --faults names.
type faultsFile struct {
	Faults []emulator.Fault `yaml:"faults"`
}

// readFaults reads the faults of a file, or none if the name is empty. An
// unknown key is an error that names its line.
func readFaults(name string) ([]emulator.Fault, error) {
	if name == "" {
		return nil, nil
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var content faultsFile
	if err := yaml.NewDecoder(file, yaml.Strict()).Decode(&content); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return content.Faults, nil
}

// printBench writes the result as text or JSON.
func printBench(writer io.Writer, result emulator.BenchResult, output string) error {
	if output == "json" {
		encoder := json.NewEncoder(writer)
		encoder.SetIndent("", "  ")
		return encoder.Encode(result)
	}
	return printBenchText(writer, result)
}

// printBenchText writes a table of the policies, a table of the program kinds,
// and the violations.
func printBenchText(writer io.Writer, result emulator.BenchResult) error {
	fmt.Fprintf(writer, "deployment %s, seed %d, load %g of %.2f programs/s, %d programs\n\n",
		result.Deployment, result.Seed, result.Load, result.CapacityProgramsPerSecond, result.Programs)
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "policy\tp50 s\tp95 s\tp99 s\twaiting p95 s\trecomputed tok\tidle KV tok-s\tgoodput/s\toffered/s\trefused\tmoves\tviolations\t")
	for _, policy := range result.Policies {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%.0f\t%.3f\t%.3f\t%d\t%d\t%d\t\n",
			policy.Policy, latencyCells(policy.Latency), fmt.Sprintf("%.2f", policy.Waiting.P95/millisecondsPerSecond),
			policy.Wasted.RecomputedTokens, policy.Wasted.IdleTokenSeconds, policy.Goodput, policy.Offered,
			policy.Refused, policy.Moves, policy.Violations)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(writer)
	kinds := tabwriter.NewWriter(writer, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(kinds, "policy\tkind\tprograms\tcompleted\tin time\trefused\tp50 s\tp95 s\tp99 s\t")
	for _, policy := range result.Policies {
		for _, kind := range policy.Kinds {
			fmt.Fprintf(kinds, "%s\t%s\t%d\t%d\t%d\t%d\t%s\t\n", policy.Policy, kind.Kind, kind.Programs,
				kind.Completed, kind.InTime, kind.Refused, latencyCells(kind.Latency))
		}
	}
	if err := kinds.Flush(); err != nil {
		return err
	}
	for _, policy := range result.Policies {
		for _, finding := range policy.Findings {
			fmt.Fprintf(writer, "%s broke %s\n", policy.Policy, finding)
		}
	}
	return nil
}

// millisecondsPerSecond converts latencies in milliseconds to seconds.
const millisecondsPerSecond = 1000

// latencyCells returns the percentiles, in seconds, as three table cells.
func latencyCells(latency emulator.Percentiles) string {
	return fmt.Sprintf("%.2f\t%.2f\t%.2f", latency.P50/millisecondsPerSecond,
		latency.P95/millisecondsPerSecond, latency.P99/millisecondsPerSecond)
}

// sweepLoads are the loads of the sweep that --plot draws, as shares of the
// capacity.
var sweepLoads = []float64{0.2, 0.4, 0.6, 0.8, 1, 1.5, 2, 3}

// plotBench draws the result and a load sweep if a directory is given. The
// number of programs is proportional to the load, so that each run of the
// sweep covers the same span of arrivals.
func plotBench(config emulator.BenchConfig, result emulator.BenchResult, directory string, bar *progressBar) error {
	if directory == "" {
		return nil
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	if err := benchplot.LatencyCDF(directory, result); err != nil {
		return err
	}
	perLoad := float64(config.Programs) / config.Load
	config.KeepLatencies = false
	var sweep []emulator.BenchResult
	for _, load := range sweepLoads {
		config.Load = load
		config.Programs = max(1, int(perLoad*load))
		swept, err := emulator.RunBench(config)
		bar.clear()
		if err != nil {
			return err
		}
		sweep = append(sweep, swept)
	}
	return benchplot.LoadSweep(directory, sweep)
}
