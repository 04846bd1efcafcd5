package emulator

import (
	"fmt"
	"slices"
	"time"

	"birchwood.example/birchwood/emulator/enginemodel"
	"birchwood.example/birchwood/findings"
	"birchwood.example/birchwood/schedule"
	"birchwood.example/birchwood/workload"
)

// PolicyBirchwood is the project's own policy; the others are the baselines.
const PolicyBirchwood = "birchwood"

// AllPolicies returns the names of every policy, the project's own first.
func AllPolicies() []string {
	return []string{
		PolicyBirchwood, schedule.BaselineRoundRobin, schedule.BaselineLeastLoaded, schedule.BaselineSticky,
	}
}

// Defaults of BenchConfig.
const (
	// defaultNodesPerZone bounds the nodes of a large deployment: each node
	// hears of every engine's load, which costs a run more than it tells.
	defaultNodesPerZone = 3
	// defaultJournalDelay is the group commit of one record to the log.
	defaultJournalDelay = 3 * time.Millisecond
)

// BenchConfig describes one run for each policy.
type BenchConfig struct {
	Deployment workload.Deployment
	// Policies are names of AllPolicies.
	Policies []string
	Seed     uint64
	// Programs is how many programs arrive; their sub-agents come on top.
	Programs int
	// Load is the arrival rate as a share of Capacity.
	Load float64
	// Faults happen at their time in every policy's run.
	Faults []Fault
	// NodesPerZone zero means the deployment's, but at most three.
	NodesPerZone int
	// JournalDelay is how long a record takes to become durable; zero means
	// three milliseconds.
	JournalDelay time.Duration
	// Tune, if set, changes the configuration that every policy gets.
	TuneScheduler func(*schedule.Config)
	// NewPolicy, if set, makes the policy of each node in place of those that
	// Policies names; the names then only label the results.
	NewPolicy func(name string, config schedule.Config) (schedule.Policy, error)
	// Rates, if set, changes the engines' configuration.
	TuneEngines func(*enginemodel.Config)
	// Progress, if set, hears how many programs of a policy's run have ended.
	Progress func(policy string, ended, programs int)
	// KeepLatencies adds every program's latency to the result, for plots.
	KeepLatencies bool
}

// validate collects everything that is wrong.
func (c BenchConfig) validate() error {
	found := findings.Of("bench")
	found.Require(len(c.Deployment.Replicas) > 0, "deployment", "has no replicas")
	found.Require(len(c.Policies) > 0, "policies", "want at least one")
	for _, name := range c.Policies {
		known := c.NewPolicy != nil || slices.Contains(AllPolicies(), name)
		found.Require(known, fmt.Sprintf("policy %q", name), "want one of %v", AllPolicies())
	}
	findings.Positive(found, "programs", c.Programs)
	findings.Positive(found, "load", c.Load)
	for i, fault := range c.Faults {
		found.NoError(fmt.Sprintf("faults[%d]", i), fault.validate(c.Deployment))
	}
	return found.Err()
}

// withDefaults fills the zero fields.
func (c BenchConfig) withDefaults() BenchConfig {
	if c.NodesPerZone <= 0 {
		c.NodesPerZone = max(1, min(c.Deployment.NodesPerZone, defaultNodesPerZone))
	}
	if c.JournalDelay <= 0 {
		c.JournalDelay = defaultJournalDelay
	}
	return c
}

// BenchResult is what RunBench measured. Its JSON form is stable.
type BenchResult struct {
	Deployment string  `json:"deployment"`
	Seed       uint64  `json:"seed"`
	Load       float64 `json:"load"`
	Programs   int     `json:"programs"`
	// CapacityProgramsPerSecond is the arrival rate of load 1, with the models
	// as they are placed; FleetCapacityProgramsPerSecond is that of a fleet
	// whose replicas follow the demand.
	CapacityProgramsPerSecond      float64        `json:"capacity_programs_per_s"`
	FleetCapacityProgramsPerSecond float64        `json:"fleet_capacity_programs_per_s"`
	Policies                       []PolicyResult `json:"policies"`
}

// Percentiles of a latency, in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// WastedCache is KV memory and prefill that brought nothing.
type WastedCache struct {
	// RecomputedTokens is prefill of tokens whose KV an engine had computed
	// for the same program before.
	RecomputedTokens int64 `json:"recomputed_tokens"`
	// IdleTokenSeconds is KV memory from its last use to its eviction or
	// release, where it was not used again.
	IdleTokenSeconds float64 `json:"idle_kv_token_seconds"`
}

// KindResult is a policy's result for one kind of program.
type KindResult struct {
	Kind      string      `json:"kind"`
	Programs  int         `json:"programs"`
	Completed int         `json:"completed"`
	InTime    int         `json:"in_time"`
	Refused   int         `json:"refused"`
	Latency   Percentiles `json:"program_latency_ms"`
	Waiting   Percentiles `json:"program_waiting_ms"`
}

// TenantResult is a policy's result for one branch.
type TenantResult struct {
	Branch    string      `json:"branch"`
	Programs  int         `json:"programs"`
	Completed int         `json:"completed"`
	Latency   Percentiles `json:"program_latency_ms"`
	Waiting   Percentiles `json:"program_waiting_ms"`
}

// PolicyResult is what one policy's run gave.
type PolicyResult struct {
	Policy string `json:"policy"`
	// Latency is of the programs that completed, from the intended start.
	Latency Percentiles `json:"program_latency_ms"`
	// Waiting is the same less the pauses in which a person reads and types:
	// what callers waited for.
	Waiting Percentiles `json:"program_waiting_ms"`
	// FirstToken is of model calls, from the moment their node held them to
	// their first token there; TokenGap is the mean time between a call's
	// further tokens.
	FirstToken Percentiles `json:"first_token_ms"`
	TokenGap   Percentiles `json:"token_gap_ms"`
	Wasted     WastedCache `json:"wasted_cache"`
	// Goodput counts the programs that completed within their deadline, and
	// Offered all of them: those that arrived in the middle three fifths of
	// the arrivals, over that time.
	Goodput float64 `json:"goodput_programs_per_s"`
	Offered float64 `json:"offered_programs_per_s"`
	// Refused counts programs that ended because a call was refused.
	Refused    int `json:"refused"`
	Violations int `json:"violations"`
	// Findings describe the first violations.
	Findings []string `json:"findings,omitempty"`

	Completed int `json:"completed"`
	InTime    int `json:"in_time"`
	// HungUp, Limited and Failed count the programs that ended because their
	// caller hung up, at a limit of their contract, or by a failed call.
	HungUp  int `json:"hung_up"`
	Limited int `json:"limited"`
	Failed  int `json:"failed"`

	ModelCalls int `json:"model_calls"`
	ToolCalls  int `json:"tool_calls"`
	// Moves counts model calls that ran at another engine than the program's
	// last one; Imports those that brought the prefix along.
	Moves       int   `json:"moves"`
	Imports     int   `json:"imports"`
	Retries     int   `json:"retries"`
	Drops       int   `json:"drops"`
	ModelOrders int   `json:"model_orders"`
	Evictions   int   `json:"evictions"`
	Prefilled   int64 `json:"prefill_tokens"`
	CacheHits   int64 `json:"cached_tokens"`
	Decoded     int64 `json:"output_tokens"`
	// Utilisation is the share of the engines' time with a running batch.
	Utilisation float64 `json:"utilisation"`
	// Imbalance is how unevenly the replicas of one model are loaded: the
	// standard deviation of their calls over the mean, on average over time
	// and calls. Nodes that herd on one engine make it large.
	Imbalance float64 `json:"imbalance"`
	// VirtualSeconds is how long the run lasted in virtual time.
	VirtualSeconds float64        `json:"virtual_seconds"`
	Kinds          []KindResult   `json:"kinds"`
	Tenants        []TenantResult `json:"tenants,omitempty"`
	// Latencies are in milliseconds, sorted; for plots.
	Latencies []float64 `json:"latencies_ms,omitempty"`
}

// RunBench runs every policy under the same arrivals.
func RunBench(config BenchConfig) (BenchResult, error) {
	if err := config.validate(); err != nil {
		return BenchResult{}, err
	}
	config = config.withDefaults()
	capacity, fleet := Capacity(config.Deployment, config.TuneEngines)
	result := BenchResult{
		Deployment:                     config.Deployment.Name,
		Seed:                           config.Seed,
		Load:                           config.Load,
		Programs:                       config.Programs,
		CapacityProgramsPerSecond:      capacity,
		FleetCapacityProgramsPerSecond: fleet,
	}
	for _, name := range config.Policies {
		run, err := newSimulation(config, name, capacity*config.Load)
		if err != nil {
			return BenchResult{}, err
		}
		run.run()
		result.Policies = append(result.Policies, run.result())
	}
	return result, nil
}
