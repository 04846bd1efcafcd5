package scale

import (
	"context"
	"fmt"
	"math"
	"os"
	"runtime"
	"sync"
	"time"
)

// Run starts a fleet, measures it idle and busy, and ends it.
func Run(ctx context.Context, config Config) (Result, error) {
	if err := config.validate(); err != nil {
		return Result{}, err
	}
	f, err := newFleet(config)
	if err != nil {
		return Result{}, err
	}
	defer f.close()
	f.baseline = baseline()
	result := Result{
		Nodes: config.Nodes, RealNodes: config.RealNodes, Programs: config.Programs,
		Replicas: config.Replicas, Seed: config.Seed, Seconds: config.Duration.Seconds(),
		ProbeTimeout: config.ProbeTimeout.Seconds(), Processors: runtime.NumCPU(),
	}
	started := time.Now()
	if err := f.start(ctx); err != nil {
		return Result{}, err
	}
	if err := f.settle(ctx); err != nil {
		return Result{}, err
	}
	result.ReadySeconds = round(time.Since(started).Seconds())
	config.progress("%d nodes are ready after %.1f s", config.Nodes, result.ReadySeconds)
	if err := f.idle(ctx, &result); err != nil {
		return Result{}, err
	}
	err = f.busy(ctx, &result)
	f.conclude(&result)
	return result, err
}

// baseline is the memory of the process before the first node.
func baseline() int64 {
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return int64(statistics.HeapAlloc + statistics.StackInuse)
}

// idle measures the fleet without work.
func (f *fleet) idle(ctx context.Context, result *Result) error {
	before := f.usage()
	if err := sleep(ctx, f.config.IdleTime); err != nil {
		return err
	}
	result.Idle = f.perNode(ctx, before, f.usage())
	result.Balance = f.balance()
	f.config.progress("idle: %.2f%% of a core, %.0f bytes/s a node", result.Idle.ControlCPUPercent, result.Idle.ControlBytes)
	return nil
}

// busy runs the programs, the settings changes and the churn.
func (f *fleet) busy(ctx context.Context, result *Result) error {
	programs := &load{fleet: f}
	failures := &churn{fleet: f, random: newRandom(f.config.Seed, "churn")}
	before := f.usage()
	begun := time.Now()
	var group sync.WaitGroup
	group.Go(func() { programs.run(ctx) })
	group.Go(func() { result.SettingsChanges = f.changeSettings(ctx) })
	if f.config.Churn {
		group.Go(func() { failures.run(ctx) })
	}
	err := sleep(ctx, time.Until(begun.Add(f.config.Duration)))
	result.PerNode = f.perNode(ctx, before, f.usage())
	group.Wait()
	f.config.progress("the busy phase is over: %d programs, %d calls", programs.created.Load(), programs.answered.Load())
	f.finish(ctx, programs)
	result.Created = programs.created.Load()
	result.Answered = programs.answered.Load()
	result.Retried = programs.retried.Load()
	result.Latency = programs.latency.quantiles()
	result.NodeRecovery = failures.node.quantiles()
	result.ZoneRecovery = failures.zone.quantiles()
	result.Recovery = quantilesOf(append(failures.node.took, failures.zone.took...))
	result.Unrecovered = len(failures.unrecovered.took)
	result.HealedSeconds = round(failures.healed.Seconds())
	result.BalanceEnd = f.balance()
	return err
}

// finish ends the programs and checks what must hold then.
func (f *fleet) finish(ctx context.Context, programs *load) {
	f.config.progress("ending %d programs", len(programs.open))
	programs.end(ctx)
	programs.checkTools()
	// Two sweeps free what a release has missed.
	if sleep(ctx, 2*f.config.SweepPeriod+sweepMargin) == nil {
		programs.checkMemory()
	}
}

// machineLoad is the load average of the last minute, or zero where the system
// does not tell it.
func machineLoad() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	var load float64
	if _, err := fmt.Sscan(string(text), &load); err != nil {
		return 0
	}
	return load
}

// sweepMargin is the time that a sweep's questions and releases may take.
const sweepMargin = 2 * time.Second

// conclude counts the nodes that are behind and the violations.
func (f *fleet) conclude(result *Result) {
	for _, joined := range f.live() {
		joined.mutex.RLock()
		if joined.revision < uint64(f.revision) {
			result.SettingsBehind++
		}
		joined.mutex.RUnlock()
	}
	result.SettingsSpread = quantilesOf(f.spread.samples())
	result.Violations = f.violations.total()
	result.ByKind = f.violations.counts
	result.Examples = f.violations.examples
	result.Seconds = math.Round(result.Seconds)
	result.Load = machineLoad()
}
