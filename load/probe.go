package load

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/history"
)

// The timing of probes. Each probe polls its idle program every probeInterval.
// After a failed attempt it tries the next gateway. A poll that takes longer
// than gapThreshold is recorded as a gap.
const (
	probeInterval      = 100 * time.Millisecond
	probeTimeout       = time.Second
	probeRetryDelay    = 20 * time.Millisecond
	gapThreshold       = 250 * time.Millisecond
	probeCreateTimeout = 30 * time.Second
)

// startProbes creates idle programs, distributed over the branches, and polls
// them until the returned function is called. The gaps in the answers show how
// long a program has no owner.
func (r *runner) startProbes(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	branches := []contract.Path{r.config.Branch}
	if r.config.Branch == "" {
		branches = nil
		for _, branch := range r.config.Deployment.Branches {
			branches = append(branches, branch.Path)
		}
	}
	for i := range r.config.Probes {
		group.Go(func() {
			branch := branches[i%len(branches)]
			prober := r.caller(branch, i)
			proberConfig := *prober.config
			proberConfig.Recorder, proberConfig.CallTimeout = nil, probeCreateTimeout
			prober.config, prober.totals = &proberConfig, newTotals()
			request := api.CreateProgram{Branch: string(branch), Key: fmt.Sprintf("probe-%d-%d", r.config.Seed, i)}
			created, err := prober.create(ctx, request, "")
			if err != nil {
				r.totals.probeResult(0, fmt.Errorf("probe %d: %w", i, err))
				return
			}
			r.watch(ctx, prober, created.ID)
		})
	}
	return func() { cancel(); group.Wait() }
}

// watch polls one program until the context ends and records each gap.
func (r *runner) watch(ctx context.Context, prober *caller, id api.ProgramID) {
	for ctx.Err() == nil {
		begin := time.Now()
		if prober.poll(ctx, id) {
			now := time.Now()
			r.totals.probeResult(now.Sub(begin), nil)
			r.config.Recorder.Record(history.Event{At: now, Gap: &history.Gap{Program: id, Since: begin}})
		}
		select {
		case <-time.After(probeInterval):
		case <-ctx.Done():
		}
	}
}

// poll requests a program's description until a gateway returns it, and
// reports whether the wait was a gap. It is no gap if only the first gateway
// failed and the second attempt succeeded within gapThreshold: the program had
// an owner.
func (c *caller) poll(ctx context.Context, id api.ProgramID) bool {
	begin := time.Now()
	for attempt := 1; ctx.Err() == nil; attempt++ {
		attemptedAt := time.Now()
		if c.describeOnce(ctx, id) == nil {
			answeredQuickly := time.Since(attemptedAt) < gapThreshold
			return time.Since(begin) >= gapThreshold && (attempt != 2 || !answeredQuickly)
		}
		c.targetIndex = (c.targetIndex + 1) % len(c.targets)
		select {
		case <-time.After(probeRetryDelay):
		case <-ctx.Done():
		}
	}
	return false
}

// describeOnce requests a program's description from the current gateway.
func (c *caller) describeOnce(ctx context.Context, id api.ProgramID) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var program api.Program
	return c.targets[c.targetIndex].Do(ctx, http.MethodGet, "/v1/programs/"+string(id), nil, &program)
}

// probeResult records a gap, or the error of a probe that could not be started.
func (t *totals) probeResult(gap time.Duration, err error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if err != nil {
		t.addError(err)
		return
	}
	record(t.unavailability, gap)
}
