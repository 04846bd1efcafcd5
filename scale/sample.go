package scale

import (
	"context"
	"math"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/operator"
	"birchwood.example/birchwood/partition"
)

// latencies collects times. It is safe for concurrent use.
type latencies struct {
	mutex sync.Mutex
	took  []time.Duration
}

func (l *latencies) add(took time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.took = append(l.took, took)
}

func (l *latencies) quantiles() Quantiles {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return quantilesOf(l.took)
}

func quantilesOf(took []time.Duration) Quantiles {
	sorted := slices.Clone(took)
	slices.Sort(sorted)
	at := func(share float64) float64 {
		if len(sorted) == 0 {
			return 0
		}
		place := int(math.Ceil(share*float64(len(sorted)))) - 1
		return round(sorted[max(place, 0)].Seconds())
	}
	return Quantiles{P50: at(0.5), P99: at(0.99), Maximum: at(1), Samples: len(sorted)}
}

func round(value float64) float64 { return math.Round(value*1000) / 1000 }

// usage is what the run has used up to a moment.
type usage struct {
	at           time.Time
	controlTime  time.Duration
	controlBytes int64
	kinds        [4]int64
	processTime  time.Duration
	listReads    int64
}

func (f *fleet) usage() usage {
	taken := usage{at: time.Now(), processTime: processTime(), listReads: f.machines.reads.Load()}
	for _, joined := range f.members {
		taken.controlTime += time.Duration(joined.controlNanoseconds.Load())
		taken.controlBytes += joined.controlBytes()
		counted := &joined.traffic
		for i, kind := range []int64{counted.membership.Load(), counted.partition.Load(), counted.sweep.Load(), counted.load.Load()} {
			taken.kinds[i] += kind
		}
	}
	return taken
}

// processTime is the processor time of the whole process.
func processTime() time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// perNode is the difference of two usages, for one node and second.
func (f *fleet) perNode(ctx context.Context, from, to usage) PerNode {
	nodes := float64(f.config.Nodes)
	seconds := to.at.Sub(from.at).Seconds()
	rate := func(difference int64) float64 { return math.Round(float64(difference) / nodes / seconds) }
	const percent = 100
	return PerNode{
		ControlCPUPercent: round(percent * (to.controlTime - from.controlTime).Seconds() / seconds / nodes),
		ProcessCPUPercent: round(percent * (to.processTime - from.processTime).Seconds() / seconds / nodes),
		ControlBytes:      rate(to.controlBytes - from.controlBytes),
		MemoryMB:          round(float64(f.memory()) / nodes / (1 << 20)),
		BytesByKind: BytesByKind{
			Membership: 2 * rate(to.kinds[0]-from.kinds[0]),
			Partition:  2 * rate(to.kinds[1]-from.kinds[1]),
			Sweep:      2 * rate(to.kinds[2]-from.kinds[2]),
			Load:       2 * rate(to.kinds[3]-from.kinds[3]),
		},
		MachineListBytes: rate((to.listReads - from.listReads) * int64(f.machines.bytes(ctx))),
	}
}

// memory is the live heap and the stacks without what the log stand-in holds.
func (f *fleet) memory() int64 {
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return int64(statistics.HeapAlloc+statistics.StackInuse) - f.loggedBytes.Load() - f.baseline
}

// owned asks every live node what it owns.
func (f *fleet) owned() map[machine.ID]int {
	counts := make(map[machine.ID]int)
	for _, joined := range f.live() {
		counts[joined.entry.ID] = len(f.ownedBy(joined))
	}
	return counts
}

// ownedBy returns the partitions that a node owns.
func (f *fleet) ownedBy(owner *member) []partition.ID {
	running, ok := owner.running()
	if !ok {
		return nil
	}
	// A node that stops meanwhile owns nothing.
	statuses, _ := running.Owned(context.Background())
	var ids []partition.ID
	for _, status := range statuses {
		if status.State == partition.StateOwning {
			ids = append(ids, status.Partition)
		}
	}
	return ids
}

// balance compares the largest number of partitions of a node with the mean.
func (f *fleet) balance() Balance {
	counts := f.owned()
	total, most := 0, 0
	for _, count := range counts {
		total += count
		most = max(most, count)
	}
	mean := float64(total) / float64(max(len(counts), 1))
	return Balance{Partitions: total, MeanPerNode: round(mean), MaximumPerNode: most}
}

// awaitAgreement waits until every node sees every live node as live, and
// returns how long it took, or the limit.
func (f *fleet) awaitAgreement(ctx context.Context, limit time.Duration) time.Duration {
	started := time.Now()
	for time.Since(started) < limit && !f.agreed(ctx) {
		if sleep(ctx, recoveryPoll) != nil {
			break
		}
	}
	return time.Since(started)
}

func (f *fleet) agreed(ctx context.Context) bool {
	live := f.live()
	for _, joined := range live {
		running, ok := joined.running()
		if !ok {
			continue
		}
		states, err := running.Nodes(ctx)
		if err != nil || countLive(states) < len(live) {
			return false
		}
	}
	return true
}

func countLive(states []operator.NodeState) int {
	count := 0
	for _, state := range states {
		if state.Machine.Status == machine.StatusLive || state.Machine.Status == machine.StatusSuspect {
			count++
		}
	}
	return count
}
