package development_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"birchwood.example/birchwood/development"
)

const (
	// designCallsPerSecond is the number of calls per second that each node is
	// sized for.
	designCallsPerSecond = 8.5
	// measureDuration is the time over which control time is measured.
	measureDuration = 10 * time.Second
	// callsPerProgram is the number of calls that each program makes.
	callsPerProgram = 20
)

// BenchmarkControl reports the share of one core that the control goroutine of
// a node uses, idle and at the design rate, and the time per event. The share
// is computed from elapsed time: on a machine with other load it includes the
// waits for a core and is an upper bound.
func BenchmarkControl(b *testing.B) {
	for name, rate := range map[string]float64{"idle": 0, "design-rate": designCallsPerSecond} {
		b.Run(name, func(b *testing.B) {
			for range b.N {
				measureControl(b, rate)
			}
		})
	}
}

func measureControl(b *testing.B, rate float64) {
	system := startForBenchmark(b)
	nodes := float64(len(system.Nodes))
	stop := make(chan struct{})
	var group sync.WaitGroup
	if rate > 0 {
		group.Go(func() { callAtRate(b, system, rate*nodes, stop) })
		time.Sleep(time.Second)
	}
	secondsBefore, eventsBefore := controlTime(b, system)
	started := time.Now()
	time.Sleep(measureDuration)
	seconds, events := controlTime(b, system)
	elapsed := time.Since(started).Seconds()
	close(stop)
	group.Wait()
	b.ReportMetric(100*(seconds-secondsBefore)/elapsed/nodes, "%core/node")
	b.ReportMetric((events-eventsBefore)/elapsed/nodes, "events/s/node")
	b.ReportMetric(1e6*(seconds-secondsBefore)/(events-eventsBefore), "µs/event")
}

// callAtRate makes calls at a fixed rate through the nodes in turn, without
// waiting for earlier answers, until stop is closed.
func callAtRate(b *testing.B, system *development.System, rate float64, stop <-chan struct{}) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		caller := newClient(system, number%len(system.Nodes))
		group.Go(func() {
			id, err := caller.create(fmt.Sprintf("steady-%v-%d", rate, number/callsPerProgram))
			if err == nil {
				_, _, err = caller.stream(id, fmt.Sprintf("call-%d", number))
			}
			if err != nil {
				b.Error(err)
			}
		})
	}
}

// controlTime returns the total time in seconds and the number of control
// events, summed over the metrics of all nodes.
func controlTime(b *testing.B, system *development.System) (seconds, events float64) {
	b.Helper()
	for _, node := range system.Nodes {
		response, err := http.Get("http://" + node.OperatorAddress() + "/metrics")
		if err != nil {
			b.Fatal(err)
		}
		lines := bufio.NewScanner(response.Body)
		for lines.Scan() {
			seconds += metricValue(lines.Text(), "birchwood_control_step_seconds_sum ")
			events += metricValue(lines.Text(), "birchwood_control_step_seconds_count ")
		}
		_ = response.Body.Close()
	}
	return seconds, events
}

// metricValue returns the value on the line, or 0 if the line is not of the metric.
func metricValue(line, metric string) float64 {
	text, found := strings.CutPrefix(line, metric)
	if !found {
		return 0
	}
	value, _ := strconv.ParseFloat(text, 64)
	return value
}
