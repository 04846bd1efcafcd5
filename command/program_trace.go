package command

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/gateway"
	"birchwood.example/birchwood/schedule"
)

// programTrace holds a program, its calls, and how the back end of each attempt
// was chosen.
type programTrace struct {
	Program  api.Program         `json:"program"`
	Calls    []api.Call          `json:"calls"`
	Attempts []control.CallTrace `json:"attempts"`
}

func newProgramTraceCommand(flags *operatorFlags) *cobra.Command {
	return operatorCommand[programTrace]{
		use:   "trace ID",
		short: "Show a program's life: each call, where it ran, why there, what it waited for, what it cost",
		long: "Shows a program's calls in their order. WAITED is the time from a call's acceptance to the\n" +
			"choice of its back end, RAN the time from there to its end. WHY gives the terms of the\n" +
			"choice: the predicted queueing, prefill, transfer, decode and link times, and how many back\n" +
			"ends were feasible. Attempts made before the program's last change of owner are not kept.",
		arguments: cobra.ExactArgs(1),
		fetch: func(ctx context.Context, client *operatorClient, arguments []string) (programTrace, error) {
			return readTrace(ctx, client, arguments[0])
		},
		printText: printTrace,
	}.command(flags)
}

// readTrace requests the program, its attempts and all pages of its history.
func readTrace(ctx context.Context, client *operatorClient, id string) (programTrace, error) {
	var trace programTrace
	path := "/programs/" + url.PathEscape(id)
	if err := client.get(ctx, path, &trace.Program); err != nil {
		return trace, err
	}
	var placements gateway.ProgramTrace
	if err := client.get(ctx, path+"/trace", &placements); err != nil {
		return trace, err
	}
	trace.Attempts = placements.Attempts
	for from := uint64(1); from > 0; {
		var history api.History
		if err := client.get(ctx, fmt.Sprintf("%s/history?from=%d", path, from), &history); err != nil {
			return trace, err
		}
		trace.Calls = append(trace.Calls, history.Calls...)
		from = history.Next
	}
	return trace, nil
}

func printTrace(writer io.Writer, trace programTrace) {
	printProgram(writer, trace.Program)
	printRow(writer)
	printRow(writer, "SEQ", "KEY", "KIND", "STATUS", "TRY", "BACKEND", "WAITED", "RAN", "PROMPT", "CACHED", "OUTPUT", "WHY")
	attempts := make(map[uint64][]control.CallTrace)
	for _, attempt := range trace.Attempts {
		attempts[attempt.Sequence] = append(attempts[attempt.Sequence], attempt)
	}
	for _, call := range trace.Calls {
		callAttempts := attempts[call.Sequence]
		if len(callAttempts) == 0 {
			callAttempts = []control.CallTrace{{Attempt: call.Attempt}}
		}
		for i, attempt := range callAttempts {
			if i == len(callAttempts)-1 {
				printAttempt(writer, call, attempt)
				continue
			}
			printRow(writer, call.Sequence, call.Key, call.Kind, "retried", attempt.Attempt, attempt.Backend,
				elapsedText(attempt.Accepted, attempt.Placed), elapsedText(attempt.Placed, attempt.Ended), "", "", "", choiceText(attempt.Terms))
		}
	}
}

// printAttempt writes the row of a call's last attempt, with the call's status
// and usage.
func printAttempt(writer io.Writer, call api.Call, attempt control.CallTrace) {
	backend := call.Backend
	if backend == "" {
		backend = string(attempt.Backend)
	}
	reason := choiceText(attempt.Terms)
	if call.Error != nil {
		reason = strings.TrimSpace(fmt.Sprintf("%s: %s %s", call.Error.Code, call.Error.Message, reason))
	}
	printRow(writer, call.Sequence, call.Key, call.Kind, call.Status, attempt.Attempt, orDash(backend),
		elapsedText(attempt.Accepted, attempt.Placed), elapsedText(attempt.Placed, attempt.Ended),
		call.Usage.PromptTokens, call.Usage.CachedTokens, call.Usage.OutputTokens, reason)
}

// elapsedText returns the time between two moments, or "-" if one is unknown.
func elapsedText(from, to time.Time) string {
	if from.IsZero() || to.IsZero() {
		return "-"
	}
	return to.Sub(from).Round(time.Millisecond).String()
}

// choiceText describes why a back end was chosen: the reason, the number of
// feasible back ends and the predicted times.
func choiceText(terms schedule.Terms) string {
	if terms.Feasible == 0 {
		return terms.Reason
	}
	parts := []string{terms.Reason, fmt.Sprintf("of %d", terms.Feasible)}
	for _, term := range []struct {
		name     string
		duration time.Duration
	}{
		{"queue", terms.Queue}, {"prefill", terms.Prefill}, {"transfer", terms.Transfer},
		{"decode", terms.Decode}, {"link", terms.Link},
	} {
		if term.duration > 0 {
			parts = append(parts, term.name+" "+term.duration.Round(100*time.Microsecond).String())
		}
	}
	return strings.TrimSpace(strings.Join(parts, ", "))
}
