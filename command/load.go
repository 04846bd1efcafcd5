package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/history"
	"birchwood.example/birchwood/load"
	"birchwood.example/birchwood/workload"
)

// tokenEnvironmentVariable names the environment variable with the caller's token.
const tokenEnvironmentVariable = "BIRCHWOOD_TOKEN"

// errFailedCalls makes load exit with 1 after it has printed its result.
var errFailedCalls = errors.New("some calls got no answer, got a wrong answer or ran twice")

// loadFlags are the flags of the load command.
type loadFlags struct {
	targets     []string
	operators   []string
	tools       []string
	engines     []string
	deployment  string
	programs    int
	seed        uint64
	rate        float64
	speed       float64
	tokens      map[string]string
	branch      string
	model       string
	callTimeout time.Duration
	stopAfter   time.Duration
	record      string
	output      string
	anyAnswer   bool
	probes      int
}

// newLoadCommand returns the subcommand that generates load.
func newLoadCommand() *cobra.Command {
	flags := loadFlags{}
	command := &cobra.Command{
		Use:   "load --target ADDRESS --deployment NAME --programs N --seed S",
		Short: "Run a deployment's agent programs against real nodes",
		Long: "Starts agent programs at their intended times, whether or not earlier ones have ended, and\n" +
			"measures what their callers feel. The caller's token is taken from --token, else from " + tokenEnvironmentVariable + ",\n" +
			"else it is the example token of the deployment's settings. Exits with 1 when a call was left\n" +
			"unanswered or got a wrong answer.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return runLoad(command, flags) },
	}
	flagSet := command.Flags()
	flagSet.StringSliceVar(&flags.targets, "target", nil, "gateways, ip:port, separated by commas")
	flagSet.StringSliceVar(&flags.operators, "operator", nil, "operators' addresses, to read the nodes' control traffic from")
	flagSet.StringSliceVar(&flags.tools, "tool-service", nil, "stand-in tool services, to ask afterwards what they ran")
	flagSet.StringSliceVar(&flags.engines, "engine", nil, "stand-in engines, to ask afterwards what they hold")
	flagSet.StringVar(&flags.deployment, "deployment", "koudeketting", strings.Join(workload.Names(), ", "))
	flagSet.IntVar(&flags.programs, "programs", 100, "how many programs to start")
	flagSet.Uint64Var(&flags.seed, "seed", 1, "the seed of the programs")
	flagSet.Float64Var(&flags.rate, "rate", 2, "programs that start in a second")
	flagSet.Float64Var(&flags.speed, "speed", 1, "how many times shorter the pauses of people are")
	flagSet.StringToStringVar(&flags.tokens, "token", nil, "bearer tokens, BRANCH=TOKEN; an empty branch stands for all")
	flagSet.StringVar(&flags.branch, "branch", "", "start every program on this branch instead")
	flagSet.StringVar(&flags.model, "model", "", "use this model in every call instead")
	flagSet.DurationVar(&flags.callTimeout, "call-timeout", 3*time.Minute, "how long a call is asked for, retries included")
	flagSet.DurationVar(&flags.stopAfter, "stop-after", 0, "when programs make no further step and are ended; 0 means never")
	flagSet.IntVar(&flags.probes, "probes", 0, "how many programs stand by, to measure how long they are without an owner")
	flagSet.StringVar(&flags.record, "record", "", "write the history to this file, for verify")
	flagSet.StringVar(&flags.output, "output", "text", "text or json")
	flagSet.BoolVar(&flags.anyAnswer, "any-answer", false, "accept answers of engines that are not the stand-ins")
	if err := command.MarkFlagRequired("target"); err != nil {
		panic(err)
	}
	return command
}

// runLoad runs the load and prints its result.
func runLoad(command *cobra.Command, flags loadFlags) error {
	config, err := flags.config()
	if err != nil {
		return &ExitError{Code: ExitUsage, Cause: err}
	}
	recorder, closeRecord, err := openRecord(flags.record)
	if err != nil {
		return &ExitError{Code: ExitUsage, Cause: err}
	}
	defer closeRecord()
	config.Recorder = recorder
	ctx, stop := signal.NotifyContext(contextOf(command), os.Interrupt, syscall.SIGTERM)
	defer stop()
	result, err := load.Run(ctx, config)
	err = errors.Join(err, config.Recorder.Flush())
	if result.Seconds > 0 {
		err = errors.Join(err, printLoad(command, result, flags.output))
	}
	if err != nil {
		return &ExitError{Code: ExitFailure, Cause: err}
	}
	if result.Failed() {
		return &ExitError{Code: ExitFailure, Cause: errFailedCalls}
	}
	return nil
}

// openRecord creates a file and returns a recorder that writes a history to it,
// and a function that closes the file. Without a name it returns a nil
// recorder, which records nothing.
func openRecord(name string) (*history.Recorder, func(), error) {
	if name == "" {
		return nil, func() {}, nil
	}
	file, err := os.Create(name)
	if err != nil {
		return nil, nil, err
	}
	recorder := history.NewRecorder(file)
	return recorder, func() { _ = errors.Join(recorder.Flush(), file.Close()) }, nil
}

// contextOf returns the command's context, or the background context when the
// command runs outside of Execute and has none.
func contextOf(command *cobra.Command) context.Context {
	if ctx := command.Context(); ctx != nil {
		return ctx
	}
	return context.Background()
}

// config returns the configuration that the flags describe.
func (f loadFlags) config() (load.Config, error) {
	if f.output != "text" && f.output != "json" {
		return load.Config{}, fmt.Errorf("output %q: want text or json", f.output)
	}
	deployment, err := workload.ByName(f.deployment)
	if err != nil {
		return load.Config{}, err
	}
	tokens := map[contract.Path]string{}
	for branch, token := range f.tokens {
		tokens[contract.Path(branch)] = token
	}
	if len(tokens) == 0 {
		tokens[contract.Root] = f.defaultToken()
	}
	return load.Config{
		Targets: f.targets, Operators: f.operators, ToolServices: f.tools, Engines: f.engines, Deployment: deployment,
		Programs: f.programs, Seed: f.seed, Rate: f.rate, Speed: f.speed, Tokens: tokens,
		Branch: contract.Path(f.branch), Model: f.model, CallTimeout: f.callTimeout, StopAfter: f.stopAfter, SkipAnswerCheck: f.anyAnswer,
		Probes: f.probes,
	}, nil
}

// defaultToken returns the token from the environment or, if there is none, the
// example token in the deployment's settings in config/.
func (f loadFlags) defaultToken() string {
	if token := os.Getenv(tokenEnvironmentVariable); token != "" {
		return token
	}
	return f.deployment + "-example-token"
}

// printLoad writes the result as text or JSON.
func printLoad(command *cobra.Command, result load.Result, output string) error {
	if output == "text" {
		_, err := fmt.Fprint(command.OutOrStdout(), result)
		return err
	}
	encoder := json.NewEncoder(command.OutOrStdout())
	encoder.SetIndent("", "  ")
	return encoder.Encode(result)
}
