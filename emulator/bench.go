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

// PolicyBirchwood is the policy of the daemon. The other policies are baselines.
const PolicyBirchwood = "birchwood"

// AllPolicies returns the names of all policies, PolicyBirchwood first.
func AllPolicies() []string {
	return []string{
		PolicyBirchwood, schedule.BaselineRoundRobin, schedule.BaselineLeastLoaded, schedule.BaselineSticky,
	}
}

// Defaults of BenchConfig.
const (
	// defaultNodesPerZone limits the nodes of a large deployment. Every node
	// receives the load of every engine, and the run time that more nodes cost is
	// not worth what they add to the result.
	defaultNodesPerZone = 3
	// defaultJournalDelay is the time of a group commit to the log.
	defaultJournalDelay = 3 * time.Millisecond
)

// BenchConfig configures a bench, which makes one run for each policy.
type BenchConfig struct {
	Deployment workload.Deployment
	// Policies are names from AllPolicies.
	Policies []string
	Seed     uint64
	// Programs is the number of programs that arrive, sub-agents excluded.
	Programs int
	// Load is the arrival rate as a multiple of Capacity.
	Load float64
	// Faults are injected at the same times in every policy's run.
	Faults []Fault
	// NodesPerZone is the number of nodes in each zone. Zero means that of the
	// deployment, but at most three.
	NodesPerZone int
	// JournalDelay is how long a record takes to become durable. Zero means 3 ms.
	JournalDelay time.Duration
	// TuneScheduler, if set, changes the configuration of every policy.
	TuneScheduler func(*schedule.Config)
	// NewPolicy, if set, creates the policy of each node. The names in Policies
	// then only label the results.
	NewPolicy func(name string, config schedule.Config) (schedule.Policy, error)
	// TuneEngines, if set, changes the configuration of every engine.
	TuneEngines func(*enginemodel.Config)
	// Progress, if set, is called after each end of a program in a policy's run.
	Progress func(policy string, ended, programs int)
	// KeepLatencies adds every program's latency to the result, for plots.
	KeepLatencies bool
}

// validate returns all findings on the configuration as one error.
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

// withDefaults returns the configuration with zero fields set to their defaults.
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
	// CapacityProgramsPerSecond is the arrival rate of load 1 with the models
	// placed as configured. FleetCapacityProgramsPerSecond is the arrival rate of
	// load 1 if models were placed in proportion to the demand.
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

// WastedCache counts tokens that were prefilled more than once and KV memory
// that was not used again.
type WastedCache struct {
	// RecomputedTokens is prefill of tokens whose KV an engine had computed
	// for the same program before.
	RecomputedTokens int64 `json:"recomputed_tokens"`
	// IdleTokenSeconds is KV memory that was not used again, in tokens times the
	// seconds from its last use to its eviction or release.
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

// PolicyResult holds the measurements of one policy's run.
type PolicyResult struct {
	Policy string `json:"policy"`
	// Latency is the latency of completed programs, from the intended start.
	Latency Percentiles `json:"program_latency_ms"`
	// Waiting is Latency without the pauses in which a person reads and types:
	// the time that callers spent waiting.
	Waiting Percentiles `json:"program_waiting_ms"`
	// FirstToken is the time from when a node passed a model call to its policy
	// to the arrival of the first token at that node. TokenGap is the mean time
	// between the later tokens of a call.
	FirstToken Percentiles `json:"first_token_ms"`
	TokenGap   Percentiles `json:"token_gap_ms"`
	Wasted     WastedCache `json:"wasted_cache"`
	// Goodput is the rate of programs that completed within their deadline, and
	// Offered the rate of all programs. Both count only the programs that arrived
	// in the middle three fifths of the arrival period.
	Goodput float64 `json:"goodput_programs_per_s"`
	Offered float64 `json:"offered_programs_per_s"`
	// Refused counts programs that ended because a call was refused.
	Refused    int `json:"refused"`
	Violations int `json:"violations"`
	// Findings describes the first violations.
	Findings []string `json:"findings,omitempty"`

	Completed int `json:"completed"`
	InTime    int `json:"in_time"`
	// HungUp, Limited and Failed count the programs that ended because their
	// caller disconnected, because they reached a limit of their contract, or
	// because a model call failed.
	HungUp  int `json:"hung_up"`
	Limited int `json:"limited"`
	Failed  int `json:"failed"`

	ModelCalls int `json:"model_calls"`
	ToolCalls  int `json:"tool_calls"`
	// Moves counts the model calls that were sent to another engine than the
	// program's previous model call. Imports counts the prefix transfers.
	Moves           int   `json:"moves"`
	Imports         int   `json:"imports"`
	Retries         int   `json:"retries"`
	PrefixDrops     int   `json:"drops"`
	ModelOrders     int   `json:"model_orders"`
	Evictions       int   `json:"evictions"`
	PrefilledTokens int64 `json:"prefill_tokens"`
	CacheHitTokens  int64 `json:"cached_tokens"`
	DecodedTokens   int64 `json:"output_tokens"`
	// Utilisation is the share of time in which an engine ran a batch, over all
	// engines.
	Utilisation float64 `json:"utilisation"`
	// Imbalance is how unevenly the replicas of a model are loaded: the
	// coefficient of variation of their outstanding calls, averaged over samples
	// and models and weighted by the number of calls. It is large if nodes send
	// their calls to the same engine at the same time (herding).
	Imbalance float64 `json:"imbalance"`
	// VirtualSeconds is the duration of the run in virtual time.
	VirtualSeconds float64        `json:"virtual_seconds"`
	Kinds          []KindResult   `json:"kinds"`
	Tenants        []TenantResult `json:"tenants,omitempty"`
	// Latencies are the sorted program latencies in milliseconds, for plots. They
	// are empty unless BenchConfig.KeepLatencies is set.
	Latencies []float64 `json:"latencies_ms,omitempty"`
}

// RunBench makes one run for each policy, all with the same arrivals.
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
