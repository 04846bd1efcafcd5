package scale

import (
	"fmt"
	"strings"
)

// Result is what a run measured.
type Result struct {
	Nodes     int     `json:"nodes"`
	RealNodes int     `json:"real_nodes"`
	Programs  int     `json:"programs"`
	Replicas  int     `json:"replicas"`
	Seed      uint64  `json:"seed"`
	Seconds   float64 `json:"seconds"`
	// ProbeTimeout is zero when it was that of production.
	ProbeTimeout float64 `json:"probe_timeout_s"`
	// Load is the machine's load average over the last minute and the number
	// of its processors, at the end: others may have used the machine too.
	Load       float64 `json:"machine_load"`
	Processors int     `json:"machine_processors"`
	// Ready is how long the fleet took to become ready.
	ReadySeconds float64 `json:"ready_s"`
	// PerNode is of the busy phase, Idle of the phase before it.
	PerNode PerNode `json:"per_node"`
	Idle    PerNode `json:"idle_per_node"`
	// SettingsSpread is over all changes and nodes.
	SettingsSpread  Quantiles `json:"settings_spread_s"`
	SettingsChanges int       `json:"settings_changes"`
	// SettingsBehind counts nodes without the last revision at the end.
	SettingsBehind int `json:"settings_behind"`
	// Recovery is after single failures and the loss of a zone together.
	Recovery     Quantiles `json:"recovery_s"`
	NodeRecovery Quantiles `json:"node_recovery_s"`
	ZoneRecovery Quantiles `json:"zone_recovery_s"`
	Unrecovered  int       `json:"unrecovered"`
	// Healed is how long after the region's cut every node saw every other.
	HealedSeconds float64 `json:"region_healed_s"`
	// Balance is of ownership, before the failures and at the end.
	Balance    Balance   `json:"balance"`
	BalanceEnd Balance   `json:"balance_end"`
	Created    int64     `json:"programs_created"`
	Answered   int64     `json:"calls_answered"`
	Retried    int64     `json:"requests_retried"`
	Latency    Quantiles `json:"call_latency_s"`
	Violations int       `json:"violations"`
	// ByKind and Examples describe the violations.
	ByKind   map[Kind]int      `json:"violations_by_kind,omitempty"`
	Examples map[Kind][]string `json:"violation_examples,omitempty"`
}

// PerNode is the cost of one node.
type PerNode struct {
	// ControlCPUPercent is of one core, by the clock.
	ControlCPUPercent float64 `json:"control_cpu_percent"`
	// ProcessCPUPercent is the processor time of the whole process, stand-ins
	// and callers included, divided by the nodes.
	ProcessCPUPercent float64 `json:"process_cpu_percent"`
	MemoryMB          float64 `json:"memory_mb"`
	// ControlBytes are sent and received in a second.
	ControlBytes float64     `json:"control_bytes_per_s"`
	BytesByKind  BytesByKind `json:"control_bytes_by_kind"`
	// MachineListBytes are read from the platform in a second.
	MachineListBytes float64 `json:"machine_list_bytes_per_s"`
}

// BytesByKind splits the control bytes of hollow nodes, sent and received.
type BytesByKind struct {
	Membership float64 `json:"membership"`
	Partition  float64 `json:"partition"`
	Sweep      float64 `json:"sweep"`
	Load       float64 `json:"load"`
}

// Quantiles are in seconds.
type Quantiles struct {
	P50     float64 `json:"p50"`
	P99     float64 `json:"p99"`
	Maximum float64 `json:"max"`
	Samples int     `json:"samples"`
}

// Balance tells how evenly partitions are owned.
type Balance struct {
	Partitions     int     `json:"partitions"`
	MeanPerNode    float64 `json:"mean_per_node"`
	MaximumPerNode int     `json:"max_per_node"`
}

// String returns the result as text.
func (r Result) String() string {
	var text strings.Builder
	line := func(name, format string, arguments ...any) {
		fmt.Fprintf(&text, "%-28s %s\n", name, fmt.Sprintf(format, arguments...))
	}
	line("nodes", "%d, of which %d over loopback; %d replicas", r.Nodes, r.RealNodes, r.Replicas)
	line("ready after", "%.1f s", r.ReadySeconds)
	for _, phase := range []struct {
		name string
		cost PerNode
	}{{"idle", r.Idle}, {"busy", r.PerNode}} {
		line(phase.name+": a node", "%.2f%% of a core in control, %.1f MB, %.0f control bytes/s, %.0f machine list bytes/s",
			phase.cost.ControlCPUPercent, phase.cost.MemoryMB, phase.cost.ControlBytes, phase.cost.MachineListBytes)
	}
	line("settings in force", "p50 %.2f s, p99 %.2f s over %d changes; %d nodes behind at the end",
		r.SettingsSpread.P50, r.SettingsSpread.P99, r.SettingsChanges, r.SettingsBehind)
	line("recovery after a failure", "p50 %.2f s, p99 %.2f s", r.NodeRecovery.P50, r.NodeRecovery.P99)
	line("recovery after a zone's loss", "p50 %.2f s, p99 %.2f s; %d without an owner", r.ZoneRecovery.P50, r.ZoneRecovery.P99, r.Unrecovered)
	line("region healed after", "%.1f s", r.HealedSeconds)
	line("partitions", "%d, %.1f a node, at most %d", r.Balance.Partitions, r.Balance.MeanPerNode, r.Balance.MaximumPerNode)
	line("programs", "%d created, %d calls answered, p50 %.2f s, p99 %.2f s; %d requests retried",
		r.Created, r.Answered, r.Latency.P50, r.Latency.P99, r.Retried)
	line("violations", "%d %v", r.Violations, r.ByKind)
	return text.String()
}
