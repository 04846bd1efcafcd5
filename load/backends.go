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

// How long the engines' memory is looked at after a run, and how often.
const (
	releaseBound = 60 * time.Second
	releasePoll  = 2 * time.Second
)

// toolRuns is what a stand-in tool service answers about its runs.
type toolRuns struct {
	Runs []struct {
		Key   string `json:"key"`
		Count int    `json:"count"`
	} `json:"runs"`
}

// prefixes is what a stand-in engine answers about its cache.
type prefixes struct {
	Prefixes []engine.Prefix `json:"prefixes"`
}

// readToolRuns counts the calls of this load that may not be repeated and that
// tool services ran twice.
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
				r.totals.ran(call, run.Count)
			}
		}
		client.Close()
	}
	return errors.Join(failures...)
}

// callOf reads the key under which nodes call tools: the program, the call's
// place and the caller's key.
func callOf(key string) (program.CallRef, bool) {
	parts := strings.SplitN(key, "/", 3)
	if len(parts) != 3 {
		return program.CallRef{}, false
	}
	sequence, err := strconv.ParseUint(parts[1], 10, 64)
	return program.CallRef{Program: api.ProgramID(parts[0]), Sequence: sequence}, err == nil
}

// awaitRelease looks at the engines until they hold nothing of the programs
// that ended, and returns how long that took; it gives up at the bound.
func (r *runner) awaitRelease(ctx context.Context) (time.Duration, int) {
	begin := time.Now()
	for {
		held := r.readHeld(ctx)
		if held == 0 || time.Since(begin) > releaseBound {
			return time.Since(begin), held
		}
		select {
		case <-time.After(releasePoll):
		case <-ctx.Done():
			return time.Since(begin), held
		}
	}
}

// readHeld records what each engine holds and returns how many prefixes are of
// programs that this load has ended.
func (r *runner) readHeld(ctx context.Context) int {
	gone := 0
	for _, address := range r.config.Engines {
		client := httpclient.New(httpclient.Options{Address: address})
		var answer prefixes
		err := client.Do(ctx, http.MethodGet, "/prefixes", nil, &answer)
		client.Close()
		if err != nil {
			continue
		}
		held := &history.Held{Backend: machine.ID(address)}
		for _, prefix := range answer.Prefixes {
			held.Programs = append(held.Programs, prefix.Owner)
			if r.totals.hasEnded(prefix.Owner) {
				gone++
			}
		}
		r.config.Recorder.Record(history.Event{At: time.Now(), Held: held})
	}
	return gone
}
