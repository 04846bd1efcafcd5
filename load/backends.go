package load

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/engine"
	"birchwood.example/birchwood/history"
	"birchwood.example/birchwood/httpclient"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/program"
)

// The time limit and the interval for polling the engines' caches after a run.
const (
	releaseTimeout      = 60 * time.Second
	releasePollInterval = 2 * time.Second
)

// toolRuns is a stand-in tool service's list of the calls that it ran.
type toolRuns struct {
	Runs []struct {
		Key   string `json:"key"`
		Count int    `json:"count"`
	} `json:"runs"`
}

// prefixes is a stand-in engine's list of its cached prefixes.
type prefixes struct {
	Prefixes []engine.Prefix `json:"prefixes"`
}

// readToolRuns reads from the tool services how often each call ran, and
// counts the non-repeatable calls of this run that ran more than once.
func (r *runner) readToolRuns(ctx context.Context) error {
	var failures []error
	for _, address := range r.config.ToolServices {
		client := httpclient.New(httpclient.Options{Address: address})
		var answer toolRuns
		if err := client.Do(ctx, http.MethodGet, "/runs", nil, &answer); err != nil {
			failures = append(failures, err)
			continue
		}
		for _, run := range answer.Runs {
			if call, found := callOf(run.Key); found {
				r.totals.addToolRuns(call, run.Count)
			}
		}
		client.Close()
	}
	return errors.Join(failures...)
}

// callOf parses the idempotency key with which nodes call tools: the program,
// the call's sequence number and the caller's key.
func callOf(key string) (program.CallRef, bool) {
	parts := strings.SplitN(key, "/", 3)
	if len(parts) != 3 {
		return program.CallRef{}, false
	}
	sequence, err := strconv.ParseUint(parts[1], 10, 64)
	return program.CallRef{Program: api.ProgramID(parts[0]), Sequence: sequence}, err == nil
}

// awaitRelease polls the engines until they cache no prefixes of ended
// programs, or until releaseTimeout has passed. It returns the time taken and
// the number of prefixes left.
func (r *runner) awaitRelease(ctx context.Context) (time.Duration, int) {
	begin := time.Now()
	for {
		left := r.readCachedPrefixes(ctx)
		if left == 0 || time.Since(begin) > releaseTimeout {
			return time.Since(begin), left
		}
		select {
		case <-time.After(releasePollInterval):
		case <-ctx.Done():
			return time.Since(begin), left
		}
	}
}

// readCachedPrefixes records the programs in each engine's cache and returns
// the number of cached prefixes of programs that this run has ended.
func (r *runner) readCachedPrefixes(ctx context.Context) int {
	left := 0
	for _, address := range r.config.Engines {
		client := httpclient.New(httpclient.Options{Address: address})
		var answer prefixes
		err := client.Do(ctx, http.MethodGet, "/prefixes", nil, &answer)
		client.Close()
		if err != nil {
			continue
		}
		held := &history.EngineCache{Backend: machine.ID(address)}
		for _, prefix := range answer.Prefixes {
			held.Programs = append(held.Programs, prefix.Owner)
			if r.totals.hasEnded(prefix.Owner) {
				left++
			}
		}
		r.config.Recorder.Record(history.Event{At: time.Now(), EngineCache: held})
	}
	return left
}
