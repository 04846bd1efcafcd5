package history_test

import (
	"bytes"
	"fmt"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/history"
	"birchwood.example/birchwood/machine"
)

// A call that may not be repeated started at two tool services.
func ExampleCheck() {
	var file bytes.Buffer
	recorder := history.NewRecorder(&file)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	record := func(event history.Event) {
		now = now.Add(time.Second)
		event.At = now
		recorder.Record(event)
	}
	record(history.Event{Run: &history.Run{Name: "example", Seed: 7}})
	record(history.Event{Sent: &history.Sent{
		Request: "1", Operation: history.OperationSubmit, Program: "seals.0.00000000000000aa",
		Key: "notice", Sequence: 1, Kind: api.CallTool, Input: "seal 17 broken",
	}})
	for _, backend := range []machine.ID{"depot-1", "depot-2"} {
		record(history.Event{AttemptStarted: &history.AttemptStarted{
			Backend: backend, Program: "seals.0.00000000000000aa", Sequence: 1, Kind: api.CallTool,
		}})
	}
	if err := recorder.Flush(); err != nil {
		fmt.Println(err)
		return
	}
	report, err := history.Check(&file)
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, finding := range report.Findings {
		fmt.Println(finding)
	}
	// Output:
	// at-most-once: call 1 of program seals.0.00000000000000aa may not be repeated and started 2 times (lines [3 4], seed 7)
}
