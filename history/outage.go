package history

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"birchwood.example/birchwood/api"
)

// Gap records that an observer got no answer from a program's owner between
// Since and the event's At.
type Gap struct {
	Program api.ProgramID `json:"program"`
	Since   time.Time     `json:"since"`
}

// The causes of gaps besides the values of FaultKind.
const (
	causeStop = "planned stop"
	causeNone = "no disturbance"
)

// maxCauseDelay is the maximum delay from the start of a gap to the start of
// its cause. A gap begins when the observer sends its request, and the fault
// may begin while the observer waits for the answer.
const maxCauseDelay = time.Second

// Outage summarizes the lengths of the gaps with one cause.
type Outage struct {
	Gaps int           `json:"gaps"`
	P50  time.Duration `json:"p50"`
	P95  time.Duration `json:"p95"`
	Max  time.Duration `json:"max"`
}

// outages summarizes the gaps by cause.
func (x *index) outages() map[string]Outage {
	lengths := map[string][]time.Duration{}
	for _, r := range x.gaps {
		cause := x.causeOf(r)
		lengths[cause] = append(lengths[cause], r.At.Sub(r.Gap.Since))
	}
	outages := map[string]Outage{}
	for cause, each := range lengths {
		slices.Sort(each)
		outages[cause] = Outage{
			Gaps: len(each), P50: quantile(each, 50), P95: quantile(each, 95), Max: each[len(each)-1],
		}
	}
	return outages
}

// causeOf returns the cause of a gap: the latest fault or planned stop that
// began before the gap, or during it within maxCauseDelay of its start.
func (x *index) causeOf(gap *record) string {
	latest := gap.Gap.Since.Add(maxCauseDelay)
	if gap.At.Before(latest) {
		latest = gap.At
	}
	cause, beganAt := causeNone, time.Time{}
	consider := func(r *record, name string) {
		if !r.At.After(latest) && !r.At.Before(beganAt) {
			cause, beganAt = name, r.At
		}
	}
	for _, r := range x.faults {
		if r.Fault.Begin {
			consider(r, string(r.Fault.Kind))
		}
	}
	for _, r := range x.plannedStops {
		if !r.PlannedStop.Done {
			consider(r, causeStop)
		}
	}
	return cause
}

// quantile returns the percentile of the sorted values by nearest rank.
func quantile(sorted []time.Duration, percent int) time.Duration {
	rank := (len(sorted)*percent + 99) / 100
	return sorted[max(rank, 1)-1]
}

// formatOutages formats the outages, one per line.
func formatOutages(outages map[string]Outage) string {
	var text strings.Builder
	for _, cause := range slices.SortedFunc(maps.Keys(outages), cmp.Compare[string]) {
		each := outages[cause]
		fmt.Fprintf(&text, "gaps by %s: %d, p50 %s, p95 %s, max %s\n", cause, each.Gaps,
			each.P50.Round(time.Millisecond), each.P95.Round(time.Millisecond), each.Max.Round(time.Millisecond))
	}
	return text.String()
}
