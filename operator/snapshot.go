package operator

import (
	"github.com/prometheus/client_golang/prometheus"
)

// The metrics that are read from the node at each scrape.
var (
	ownedPartitions = describe("birchwood_owned_partitions", "Partitions that this node owns.")
	programs        = describe("birchwood_programs", "Programs in the partitions that this node owns.")
	runningCalls    = describe("birchwood_running_calls", "Calls that this node has at back ends.")
	unconfirmed     = describe("birchwood_unconfirmed_records", "Records that the log has not confirmed yet.")
	stalled         = describe("birchwood_stalled_partitions", "Partitions whose recovery on this node waits for mirrors.")
	controlBytes    = describe("birchwood_control_bytes_total",
		"Bytes of control messages between nodes, by direction.", labelDirection)
	settingsAge = describe("birchwood_settings_age_seconds",
		"Time since the settings were last known to be the newest.")
	settingsMayPlace = describe("birchwood_settings_may_place",
		"1 when the settings are fresh enough to place new work, else 0.")
	members = describe("birchwood_members", "Machines that this node knows, by kind and status.", labelKind, labelStatus)
)

func describe(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(name, help, labels, nil)
}

// snapshotCollector collects the node's snapshot at each scrape. It collects
// nothing until SetSnapshotSource is called.
type snapshotCollector struct{ metrics *Metrics }

// Describe implements prometheus.Collector.
func (c snapshotCollector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{
		ownedPartitions, programs, runningCalls, unconfirmed, stalled, controlBytes, settingsAge, settingsMayPlace, members,
	} {
		descriptions <- description
	}
}

// Collect implements prometheus.Collector.
func (c snapshotCollector) Collect(metrics chan<- prometheus.Metric) {
	read := c.metrics.snapshot.Load()
	if read == nil {
		return
	}
	snapshot := (*read)()
	gauge := func(description *prometheus.Desc, value float64, labels ...string) {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value, labels...)
	}
	gauge(ownedPartitions, float64(snapshot.OwnedPartitions))
	gauge(programs, float64(snapshot.Programs))
	gauge(runningCalls, float64(snapshot.RunningCalls))
	gauge(unconfirmed, float64(snapshot.UnconfirmedRecords))
	count := func(value int64, direction string) {
		metrics <- prometheus.MustNewConstMetric(controlBytes, prometheus.CounterValue, float64(value), direction)
	}
	count(snapshot.ControlBytesSent, "sent")
	count(snapshot.ControlBytesReceived, "received")
	gauge(stalled, float64(snapshot.StalledPartitions))
	gauge(settingsAge, snapshot.SettingsAge.Seconds())
	mayPlace := 0.0
	if snapshot.SettingsAllowNewWork {
		mayPlace = 1
	}
	gauge(settingsMayPlace, mayPlace)
	for member, count := range snapshot.Members {
		gauge(members, float64(count), member.Kind, member.Status)
	}
}
