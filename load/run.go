package load

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/history"
	"birchwood.example/birchwood/httpclient"
	"birchwood.example/birchwood/workload"
)

// runner is the state that the agents of one run share.
type runner struct {
	config        Config
	totals        *totals
	lastRequestID atomic.Uint64
	mutex         sync.Mutex
	clients       map[clientKey]*httpclient.Client
	done          int
}

// clientKey identifies a client. There is one for each target and token.
type clientKey struct {
	address string
	token   string
}

// Run performs one load run. It returns an error if the configuration is
// invalid, the context ended or a tool service could not be queried. Failures
// of calls are in the Result.
func Run(ctx context.Context, config Config) (Result, error) {
	if err := config.validate(); err != nil {
		return Result{}, err
	}
	r := &runner{config: config.withDefaults(), totals: newTotals(), clients: map[clientKey]*httpclient.Client{}}
	defer r.close()
	r.config.Recorder.Record(history.Event{At: time.Now(), Run: &history.Run{
		Name: "load " + config.Deployment.Name, Seed: config.Seed,
	}})
	r.recordPlacements()
	before := r.controlBytes()
	begin := time.Now()
	stopProbes := r.startProbes(ctx)
	r.start(ctx, begin)
	stopProbes()
	seconds := time.Since(begin).Seconds()
	controlBytes := ratesBetween(before, r.controlBytes(), seconds)
	toolErr := r.readToolRuns(ctx)
	release, left := r.awaitRelease(ctx)
	r.config.Recorder.Record(history.Event{At: time.Now(), RunEnded: &history.RunEnded{Settled: ctx.Err() == nil}})
	result := r.totals.summary()
	result.Deployment = config.Deployment.Name
	result.Seed = config.Seed
	result.Seconds = seconds
	result.ControlBytes = controlBytes
	result.ReleaseSeconds, result.PrefixesLeft = release.Seconds(), left
	return result, errors.Join(ctx.Err(), toolErr)
}

// recordPlacements records the placement of each branch. The records are valid
// as long as the deployment's settings do not change during the run.
func (r *runner) recordPlacements() {
	if r.config.Branch != "" {
		return
	}
	for _, branch := range r.config.Deployment.Branches {
		now := time.Now()
		r.config.Recorder.Record(history.Event{At: now, PlacementSet: &history.PlacementSet{
			Branch: string(branch.Path), Placement: r.config.Deployment.Placement(branch.Path), Since: now,
		}})
	}
}

// start starts each program at its intended time and waits until all started
// programs have ended.
func (r *runner) start(ctx context.Context, begin time.Time) {
	generator := r.config.Deployment.Generate(workload.Options{
		Seed: r.config.Seed, ProgramsPerSecond: r.config.Rate,
	})
	var group sync.WaitGroup
	defer group.Wait()
	for i := range r.config.Programs {
		program := generator.Next()
		intended := begin.Add(program.Start)
		select {
		case <-time.After(time.Until(intended)):
		case <-ctx.Done():
			return
		}
		started := &agent{program: program, transcriptKnown: true}
		if r.config.StopAfter > 0 {
			started.stopBy = begin.Add(r.config.StopAfter)
		}
		group.Go(func() { r.runProgram(ctx, started, intended, i) })
	}
}

// runProgram runs one program and records its latency.
func (r *runner) runProgram(ctx context.Context, running *agent, intended time.Time, number int) {
	running.newCaller = func() *caller { return r.caller(running.program.Branch, number) }
	running.caller = running.newCaller()
	err := running.run(ctx, "", 0)
	if err == nil && !running.hungUp && !running.stopped {
		r.totals.finished(running.program.Kind, time.Since(intended)-running.paused)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.done++
	if r.config.Progress != nil {
		r.config.Progress(r.done)
	}
}

// caller returns the caller of a program. The program's number selects the
// first target.
func (r *runner) caller(branch contract.Path, number int) *caller {
	token := r.config.token(branch)
	created := &caller{config: &r.config, addresses: r.config.Targets, totals: r.totals, lastRequestID: &r.lastRequestID}
	created.targetIndex = number % len(r.config.Targets)
	for _, address := range r.config.Targets {
		created.targets = append(created.targets, r.client(address, token))
	}
	return created
}

// client returns the client for a target and token. Callers with the same
// target and token share it.
func (r *runner) client(address, token string) *httpclient.Client {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	key := clientKey{address, token}
	if r.clients[key] == nil {
		r.clients[key] = httpclient.New(httpclient.Options{
			Address: address, Token: token, Timeout: r.config.CallTimeout,
		})
	}
	return r.clients[key]
}

// close closes all clients.
func (r *runner) close() {
	for _, client := range r.clients {
		client.Close()
	}
}
