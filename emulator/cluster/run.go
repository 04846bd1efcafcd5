package cluster

import (
	"flag"
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// FuzzConfig describes a series of runs of Property.
type FuzzConfig struct {
	// Seed is the first run's seed, incremented by one for each further run.
	Seed uint64
	// Runs limits the number of runs, MaxDuration their total time: no run
	// starts after it. At least one must be set.
	Runs        int
	MaxDuration time.Duration
	// MaxShrinkTime limits the time spent on shrinking a failure.
	MaxShrinkTime time.Duration
	// Progress is called after each run with the number of runs; it may be nil.
	Progress func(runs int)
}

// FuzzFailure is a run that violated a guarantee.
type FuzzFailure struct {
	Seed uint64
	// Text holds the shrunk scenario and the findings.
	Text string
	// Replay is the command that repeats the run.
	Replay string
}

// prepareFlags registers and parses the flags of testing, so that rapid can be
// used outside of a test.
var prepareFlags = sync.OnceFunc(func() {
	testing.Init()
	_ = flag.CommandLine.Parse(nil)
})

// Fuzz runs Property until a run fails or the bounds are reached, and returns
// the number of runs and the failure, if there is one. It must not run
// concurrently with other users of rapid, because rapid's settings are
// process-wide flags.
func Fuzz(config FuzzConfig) (int, *FuzzFailure, error) {
	prepareFlags()
	settings := map[string]string{
		"rapid.checks":     "1",
		"rapid.nofailfile": "true",
		"rapid.shrinktime": config.MaxShrinkTime.String(),
	}
	for name, value := range settings {
		if err := flag.Set(name, value); err != nil {
			return 0, nil, err
		}
	}
	begin := time.Now()
	runs := 0
	for config.mayRun(runs, time.Since(begin)) {
		seed := config.Seed + uint64(runs)
		if err := flag.Set("rapid.seed", strconv.FormatUint(seed, 10)); err != nil {
			return runs, nil, err
		}
		text := checkOnce()
		runs++
		if config.Progress != nil {
			config.Progress(runs)
		}
		if text != "" {
			return runs, &FuzzFailure{
				Seed: seed, Text: text, Replay: fmt.Sprintf("birchwood fuzz --seed %d --runs 1", seed),
			}, nil
		}
	}
	return runs, nil, nil
}

// mayRun reports whether the limits permit another run.
func (c FuzzConfig) mayRun(runs int, elapsed time.Duration) bool {
	if c.Runs > 0 && runs >= c.Runs {
		return false
	}
	if c.MaxDuration > 0 && elapsed >= c.MaxDuration {
		return false
	}
	return c.Runs > 0 || c.MaxDuration > 0
}

// checkOnce runs the property with the current flags and returns the text of a
// failure, or "". It uses a goroutine of its own, because rapid ends a failed
// test with runtime.Goexit.
func checkOnce() string {
	collected := &collector{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(collected, Property)
	}()
	<-done
	if !collected.failed {
		return ""
	}
	return strings.Join(collected.lines, "\n")
}

// collector is a rapid.TB that collects the output of a test.
type collector struct {
	lines  []string
	failed bool
}

var _ rapid.TB = (*collector)(nil)

// Helper implements rapid.TB.
func (c *collector) Helper() {}

// Name implements rapid.TB.
func (c *collector) Name() string { return "fuzz" }

// Logf implements rapid.TB.
func (c *collector) Logf(format string, arguments ...any) {
	c.lines = append(c.lines, fmt.Sprintf(format, arguments...))
}

// Log implements rapid.TB.
func (c *collector) Log(arguments ...any) { c.lines = append(c.lines, fmt.Sprint(arguments...)) }

// Skipf implements rapid.TB.
func (c *collector) Skipf(format string, arguments ...any) {
	c.Logf(format, arguments...)
	c.SkipNow()
}

// Skip implements rapid.TB.
func (c *collector) Skip(arguments ...any) {
	c.Log(arguments...)
	c.SkipNow()
}

// SkipNow implements rapid.TB.
func (c *collector) SkipNow() { runtime.Goexit() }

// Errorf implements rapid.TB.
func (c *collector) Errorf(format string, arguments ...any) {
	c.Logf(format, arguments...)
	c.Fail()
}

// Error implements rapid.TB.
func (c *collector) Error(arguments ...any) {
	c.Log(arguments...)
	c.Fail()
}

// Fatalf implements rapid.TB.
func (c *collector) Fatalf(format string, arguments ...any) {
	c.Logf(format, arguments...)
	c.FailNow()
}

// Fatal implements rapid.TB.
func (c *collector) Fatal(arguments ...any) {
	c.Log(arguments...)
	c.FailNow()
}

// FailNow implements rapid.TB.
func (c *collector) FailNow() {
	c.Fail()
	runtime.Goexit()
}

// Fail implements rapid.TB.
func (c *collector) Fail() { c.failed = true }

// Failed implements rapid.TB.
func (c *collector) Failed() bool { return c.failed }
