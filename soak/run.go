package soak

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"birchwood.example/birchwood/findings"
	"birchwood.example/birchwood/platform/standin"
	"birchwood.example/birchwood/soak/promise"
)

// ErrBroken is returned by Run if a promise was broken that is not in Options.KnownBroken.
var ErrBroken = errors.New("a promise was broken")

// minSeconds is the shortest run with time for a fault and the recovery from it.
const minSeconds = 25

// validate returns all findings about a scenario. location names its source in them.
func (s *Scenario) validate(location string) error {
	found := findings.Of(location)
	found.Require(s.Seconds >= minSeconds, "seconds", "got %d, want at least %d", s.Seconds, minSeconds)
	found.Require(s.Nodes > 0, "nodes", "got %d, want at least 1", s.Nodes)
	return found.Err()
}

// Run runs a scenario and reports it. It returns ErrBroken if a promise was broken that is not
// in Options.KnownBroken. It stops everything that it started before it returns, also
// when ctx is cancelled.
func Run(ctx context.Context, options Options) (err error) {
	if err := options.validate("soak"); err != nil {
		return err
	}
	options.Replicas = replicaCount
	if len(options.Faults) == 0 {
		options.Faults = Schedule(options.Scenario)
		releases, cuts := Releases(options.Scenario), Cuts(options.Scenario, options.Faults)
		lethals := Lethals(options.Scenario, options.Faults)
		if options.Series {
			options.Faults = append(options.Faults, Series(options.Scenario, options.Faults)...)
		}
		options.Faults = slices.Concat(options.Faults, releases, cuts, lethals)
	}
	run, err := newSoak(options)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, run.close()) }()
	run.print(fmt.Sprintf("seed %d: %d nodes, %d s, %d faults, without %q", options.Seed, options.Nodes, options.Seconds, len(options.Faults), options.Disabled))
	if err := run.open(); err != nil {
		return err
	}
	monitorCtx, stopMonitor := context.WithCancel(ctx)
	monitorDone := make(chan struct{})
	go func() {
		defer close(monitorDone)
		run.monitor(monitorCtx)
	}()
	err = run.drive(ctx)
	stopMonitor()
	<-monitorDone
	return err
}

func newSoak(options Options) (*soak, error) {
	folder := options.Logs
	if folder == "" {
		created, err := os.MkdirTemp("", "birchwood-soak-")
		if err != nil {
			return nil, err
		}
		folder = created
	} else if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	return &soak{
		options: options, startedAt: time.Now(), folder: folder, host: randomHost(), starter: newStarter(), checker: promise.New(bounds),
		random: rand.New(rand.NewPCG(options.Seed, 0)), cutRandom: rand.New(rand.NewPCG(options.Seed, cutSalt)), ready: make(map[*process]bool), proxies: make(map[string]*proxy),
		activeFaults: make(map[Kind]int), keys: keys{next: validKeyCount}, replicas: []*standin.Replica{},
	}, nil
}

// drive waits for the nodes, runs the load and the faults for the duration of the scenario,
// and reports the verdict.
func (s *soak) drive(ctx context.Context) error {
	if err := s.awaitReady(ctx); err != nil {
		return err
	}
	s.startedAt = time.Now()
	runCtx, cancel := context.WithTimeout(ctx, time.Duration(s.options.Seconds)*time.Second)
	defer cancel()
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		s.injectFaults(runCtx)
	}()
	s.load(runCtx)
	<-faultsDone
	s.replacing.Wait()
	return s.verdict(ctx)
}

func (s *soak) verdict(ctx context.Context) error {
	s.checkerMutex.Lock()
	defer s.checkerMutex.Unlock()
	counts := s.checker.Counts()
	sent, served := s.checker.RequestCounts()
	resumed, wentOn := s.checker.StreamCounts()
	s.print(fmt.Sprintf("streams taken up while their version served: %d, went on: %d", resumed, wentOn))
	broken := 0
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		known := ""
		if slices.Contains(s.options.KnownBroken, string(name)) {
			known = " (known)"
		} else {
			broken++
		}
		s.print(fmt.Sprintf("broken %d times%s: %s", counts[name], known, name))
	}
	result := "every promise held"
	switch {
	case broken > 0:
		result = "BROKEN"
	case len(counts) > 0:
		result = "no promise was broken but known ones"
	case ctx.Err() != nil:
		result = "interrupted; no promise was broken until then"
	}
	s.print(fmt.Sprintf("verdict: seed %d, %.0f s, %d requests, %d served: %s", s.options.Seed, time.Since(s.startedAt).Seconds(), sent, served, result))
	if broken > 0 {
		return ErrBroken
	}
	return ctx.Err()
}
