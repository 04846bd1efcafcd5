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
	// designRate is the calls a second that each node is sized for.
	designRate = 8.5
	// controlWindow is how long control time is measured.
	controlWindow = 10 * time.Second
	// callsAProgram is how many calls each program makes.
	callsAProgram = 20
)

// BenchmarkControl reports the share of one core that the control goroutine of
// a node takes, idle and at the design rate, and what one event takes. The
// share is elapsed time: on a machine with other work it counts the waits for
// a core too, and is an upper bound.
func BenchmarkControl(b *testing.B) {
	for name, rate := range map[string]float64{"idle": 0, "design-rate": designRate} {
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
		group.Go(func() { callSteadily(b, system, rate*nodes, stop) })
		time.Sleep(time.Second)
	}
	secondsBefore, eventsBefore := controlTime(b, system)
	started := time.Now()
	time.Sleep(controlWindow)
	seconds, events := controlTime(b, system)
	elapsed := time.Since(started).Seconds()
	close(stop)
	group.Wait()
	b.ReportMetric(100*(seconds-secondsBefore)/elapsed/nodes, "%core/node")
	b.ReportMetric((events-eventsBefore)/elapsed/nodes, "events/s/node")
	b.ReportMetric(1e6*(seconds-secondsBefore)/(events-eventsBefore), "µs/event")
}

// callSteadily makes calls at the rate, through each node in turn, without
// waiting for the answers.
func callSteadily(b *testing.B, system *development.System, rate float64, stop <-chan struct{}) {
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
			id, err := caller.create(fmt.Sprintf("steady-%v-%d", rate, number/callsAProgram))
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
		response, err := http.Get("http://" + node.Operator() + "/metrics")
		if err != nil {
			b.Fatal(err)
		}
		lines := bufio.NewScanner(response.Body)
		for lines.Scan() {
			seconds += sample(lines.Text(), "birchwood_control_step_seconds_sum ")
			events += sample(lines.Text(), "birchwood_control_step_seconds_count ")
		}
		_ = response.Body.Close()
	}
	return seconds, events
}

// sample returns the value on a line of the metric, else zero.
func sample(line, metric string) float64 {
	text, found := strings.CutPrefix(line, metric)
	if !found {
		return 0
	}
	value, _ := strconv.ParseFloat(text, 64)
	return value
}
