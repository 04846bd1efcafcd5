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
	// designCallsPerSecond is the calls a second that each node is sized for.
	designCallsPerSecond = 8.5
	// measureDuration is how long control time is measured.
	measureDuration = 10 * time.Second
	// callsPerProgram is how many calls each program makes.
	callsPerProgram = 20
)

// BenchmarkControl reports the share of one core that the control goroutine of
// a node takes, idle and at the design rate, and what one event takes. The
// share is elapsed time: on a machine with other work it counts the waits for
// a core too, and is an upper bound.
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

// callAtRate makes calls at the rate, through each node in turn, without
// waiting for the answers.
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

// controlTime adds up the nodes' own measurements of their control events.
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

// metricValue returns the value on a line of the metric, else zero.
func metricValue(line, metric string) float64 {
	text, found := strings.CutPrefix(line, metric)
	if !found {
		return 0
	}
	value, _ := strconv.ParseFloat(text, 64)
	return value
}
