package load

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// controlBytesPrefix begins the names of the metrics that count the bytes of
// control messages, sent and received.
const controlBytesPrefix = "birchwood_control_bytes"

// metricsTimeout bounds one look at a node's metrics.
const metricsTimeout = 5 * time.Second

// controlBytes reads how many bytes of control messages each node has sent
// and received. A node that does not answer is left out.
func (r *runner) controlBytes() map[string]float64 {
	totals := map[string]float64{}
	for _, address := range r.config.Operators {
		if total, err := readControlBytes(address); err == nil {
			totals[address] = total
		}
	}
	return totals
}

// readControlBytes sums the control traffic in one node's metrics.
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

// controlBytesOf reads one line of the Prometheus text form.
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

// ratesBetween turns two readings into bytes a second.
func ratesBetween(before, after map[string]float64, seconds float64) map[string]float64 {
	rates := map[string]float64{}
	for address, total := range after {
		if earlier, found := before[address]; found && seconds > 0 {
			if total < earlier { // The node has started again and counts from zero.
				earlier = 0
			}
			rates[address] = (total - earlier) / seconds
		}
	}
	return rates
}
