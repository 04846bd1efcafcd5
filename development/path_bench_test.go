package development_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/config"
	"birchwood.example/birchwood/development"
	"birchwood.example/birchwood/engine"
	"birchwood.example/birchwood/engine/enginehttp"
	"birchwood.example/birchwood/httpclient"
	"birchwood.example/birchwood/infra/infrahttp"
	"birchwood.example/birchwood/machine"
)

// benchmarkEngineSpeed is the speed of the engines, as a multiple of the default
// rates. It makes the engines' compute time small compared with the rest of the
// request path.
const benchmarkEngineSpeed = 5000

func startForBenchmark(b *testing.B) *development.System {
	b.Helper()
	settings := config.Dev()
	for i := range settings.Standin.Standin.Engines {
		settings.Standin.Standin.Engines[i].Speed = benchmarkEngineSpeed
	}
	ctx, cancel := context.WithTimeout(context.Background(), ioTimeout)
	defer cancel()
	system, err := development.Start(ctx, settings, discardLogs)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		if err := system.Stop(); err != nil {
			b.Error(err)
		}
	})
	return system
}

// client is a client of the callers' API that returns errors instead of making
// test assertions.
type client struct {
	address string
	http    *http.Client
}

func newClient(system *development.System, node int) *client {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	return &client{address: system.Nodes[node].CallerAddress(), http: &http.Client{Transport: transport}}
}

func (c *client) post(path string, body any) (*http.Response, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+c.address+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+config.DevCallerToken)
	response, err := c.http.Do(request)
	if err == nil && response.StatusCode >= http.StatusBadRequest {
		defer response.Body.Close()
		var refusal json.RawMessage
		_ = json.NewDecoder(response.Body).Decode(&refusal)
		return nil, fmt.Errorf("status %d: %s", response.StatusCode, refusal)
	}
	return response, err
}

func (c *client) create(key string) (api.ProgramID, error) {
	response, err := c.post("/v1/programs", api.CreateProgram{Branch: string(config.DevBranch), Key: key})
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	var program api.Program
	err = json.NewDecoder(response.Body).Decode(&program)
	return program.ID, err
}

// stream makes a streamed call and returns the time to its first text and the
// number of output tokens.
func (c *client) stream(id api.ProgramID, key string) (time.Duration, int, error) {
	call := modelCall(key, "How warm is pallet seven? ")
	call.Stream = true
	started := time.Now()
	response, err := c.post(fmt.Sprintf("/v1/programs/%s/calls", id), call)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	var first time.Duration
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if first == 0 && lines.Text() == "event: text" {
			first = time.Since(started)
		}
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok && strings.Contains(data, `"status"`) {
			var ended api.Call
			if err := json.Unmarshal([]byte(data), &ended); err == nil && ended.Status == api.StatusSucceeded {
				return first, ended.Usage.OutputTokens, nil
			}
		}
	}
	return first, 0, fmt.Errorf("the stream of call %s ended without an answer: %w", key, lines.Err())
}

// reportPercentiles reports the median and the 99th percentile as metrics, in µs.
func reportPercentiles(b *testing.B, name string, samples []time.Duration) {
	slices.Sort(samples)
	b.ReportMetric(float64(samples[len(samples)/2].Microseconds()), name+"-p50-µs")
	b.ReportMetric(float64(samples[len(samples)*99/100].Microseconds()), name+"-p99-µs")
}

// BenchmarkFirstToken sends the same call alternately to an engine directly and
// through birchwood. It reports the time to the first token of each, and the
// time of one append to the log service for comparison, with 10, 1,000 and
// 100,000 programs in the store.
func BenchmarkFirstToken(b *testing.B) {
	for _, held := range []int{10, 1000, 100_000} {
		b.Run(fmt.Sprintf("programs=%d", held), func(b *testing.B) {
			system := startForBenchmark(b)
			createIdlePrograms(b, system, held)
			measureFirstToken(b, system)
		})
	}
}

// createIdlePrograms creates programs that make no calls.
func createIdlePrograms(b *testing.B, system *development.System, count int) {
	b.Helper()
	const workers = 64
	var group sync.WaitGroup
	for worker := range workers {
		caller := newClient(system, worker%len(system.Nodes))
		group.Go(func() {
			for i := worker; i < count; i += workers {
				if _, err := caller.create(fmt.Sprintf("held-%d", i)); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	group.Wait()
}

func measureFirstToken(b *testing.B, system *development.System) {
	addresses := system.Standins.Addresses()
	direct := enginehttp.NewDialer(httpclient.Options{Zone: "north", Timeout: ioTimeout}).
		Engine(machine.Machine{ID: "engine-1", Address: addresses.Engines["engine-1"]})
	logService := infrahttp.New(httpclient.Options{Address: addresses.Platform, Timeout: ioTimeout})
	caller := newClient(system, 0)
	id, err := caller.create(fmt.Sprintf("measured-%d", b.N))
	if err != nil {
		b.Fatal(err)
	}
	var directTimes, birchwoodTimes, appendTimes []time.Duration
	for i := range b.N {
		directTimes = append(directTimes, engineTimeToFirstToken(b, direct, i))
		first, _, err := caller.stream(id, fmt.Sprintf("call-%d", i))
		if err != nil {
			b.Fatal(err)
		}
		birchwoodTimes = append(birchwoodTimes, first)
		started := time.Now()
		if _, err := logService.Append(context.Background(), "bench", [][]byte{[]byte(`{}`)}); err != nil {
			b.Fatal(err)
		}
		appendTimes = append(appendTimes, time.Since(started))
		if i%50 == 49 {
			if id, err = caller.create(fmt.Sprintf("measured-%d-%d", b.N, i)); err != nil {
				b.Fatal(err)
			}
		}
	}
	reportPercentiles(b, "direct", directTimes)
	reportPercentiles(b, "birchwood", birchwoodTimes)
	reportPercentiles(b, "append", appendTimes)
}

func engineTimeToFirstToken(b *testing.B, direct engine.Client, i int) time.Duration {
	b.Helper()
	started := time.Now()
	var first time.Duration
	err := direct.Generate(context.Background(), engine.GenerateRequest{
		Stream: fmt.Sprintf("direct/%d/1", i), Owner: "direct", Model: config.DevModel,
		Prompt: "How warm is pallet seven? ", MaxOutputTokens: 40,
	}, func(engine.Chunk) error {
		if first == 0 {
			first = time.Since(started)
		}
		return nil
	})
	if err != nil {
		b.Fatal(err)
	}
	return first
}

// BenchmarkThroughput makes streamed calls from 64 concurrent callers, spread
// over the nodes. It reports calls and tokens per second and core of this
// machine, and the bytes allocated per call by the whole process: callers, nodes
// and stand-ins together.
func BenchmarkThroughput(b *testing.B) {
	const callers = 64
	system := startForBenchmark(b)
	var group sync.WaitGroup
	var mutex sync.Mutex
	tokens := 0
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	for worker := range callers {
		caller := newClient(system, worker%len(system.Nodes))
		group.Go(func() {
			id, err := caller.create(fmt.Sprintf("worker-%d-%d", worker, b.N))
			for i := worker; err == nil && i < b.N; i += callers {
				var output int
				if _, output, err = caller.stream(id, fmt.Sprintf("call-%d", i)); err != nil {
					break
				}
				mutex.Lock()
				tokens += output
				mutex.Unlock()
				if i/callers%50 == 49 {
					id, err = caller.create(fmt.Sprintf("worker-%d-%d-%d", worker, b.N, i))
				}
			}
			if err != nil {
				b.Error(err)
			}
		})
	}
	group.Wait()
	b.StopTimer()
	runtime.ReadMemStats(&after)
	cores := float64(runtime.NumCPU())
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds()/cores, "calls/s/core")
	b.ReportMetric(float64(tokens)/b.Elapsed().Seconds()/cores, "tokens/s/core")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/float64(b.N), "B/call")
}
