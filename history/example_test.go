package history_test

import (
	"bytes"
	"fmt"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/history"
)

// A run records what its back ends saw; the checker finds that a notice which
// may not be repeated went out twice.
func Example() {
	var file bytes.Buffer
	recorder := history.NewRecorder(&file)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	recorder.Record(history.Event{At: start, Run: &history.Run{Name: "example", Seed: 7}})
	for attempt := 1; attempt <= 2; attempt++ {
		recorder.Record(history.Event{
			At: start.Add(time.Duration(attempt) * time.Second),
			Started: &history.Started{
				Backend: "depot-events-1", Program: "depot.0.00000000000000aa",
				Sequence: 1, Attempt: attempt, Kind: api.CallTool,
			},
		})
	}
	if err := recorder.Flush(); err != nil {
		fmt.Println(err)
	}
	report, err := history.Check(&file)
	if err != nil {
		fmt.Println(err)
	}
	for _, finding := range report.Findings {
		fmt.Println(finding.Invariant, "broken, seed", finding.Seed)
	}
	// Output: at-most-once broken, seed 7
}
