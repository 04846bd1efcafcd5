package load

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// controlBytesPrefix is the common prefix of the names of the metrics that
// count the bytes of control messages sent and received.
const controlBytesPrefix = "birchwood_control_bytes"

// metricsTimeout limits one request for a node's metrics.
const metricsTimeout = 5 * time.Second

// controlBytes reads the number of bytes of control messages that each node
// has sent and received. A node that does not answer is omitted.
func (r *runner) controlBytes() map[string]float64 {
	totals := map[string]float64{}
	for _, address := range r.config.Operators {
		if total, err := readControlBytes(address); err == nil {
			totals[address] = total
		}
	}
	return totals
}

// readControlBytes returns the sum of the control bytes in a node's metrics.
func readControlBytes(address string) (float64, error) {
	status, body, err := fasthttp.GetTimeout(nil, "http://"+address+"/metrics", metricsTimeout)
	if err != nil {
		return 0, err
	}
	if status != fasthttp.StatusOK {
		return 0, fmt.Errorf("metrics of %s: status %d", address, status)
	}
	total := 0.0
	for line := range strings.Lines(string(body)) {
		total += controlBytesOf(strings.TrimSpace(line))
	}
	return total, nil
}

// controlBytesOf returns the control bytes in one line of the Prometheus text
// format, or zero for a line of another metric.
func controlBytesOf(line string) float64 {
	if !strings.HasPrefix(line, controlBytesPrefix) {
		return 0
	}
	value, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
	if err != nil {
		return 0
	}
	return value
}

// ratesBetween converts two readings to bytes per second.
func ratesBetween(before, after map[string]float64, seconds float64) map[string]float64 {
	rates := map[string]float64{}
	for address, total := range after {
		if earlier, found := before[address]; found && seconds > 0 {
			if total < earlier { // The node restarted, and its counters began at zero.
				earlier = 0
			}
			rates[address] = (total - earlier) / seconds
		}
	}
	return rates
}
