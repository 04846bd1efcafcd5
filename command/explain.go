package command

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/spf13/cobra"
)

// newExplainCommand returns the subcommand that prints the log lines relevant
// to the outcome of a request.
func newExplainCommand() *cobra.Command {
	span := defaultExplainSpan
	command := &cobra.Command{
		Use:   "explain REQUEST-ID",
		Short: "Show what decided a request's end, from nodes' logs on standard input",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			return explain(command.InOrStdin(), command.OutOrStdout(), arguments[0], span)
		},
	}
	command.Flags().DurationVar(&span, "span", span, "how long before the request's end to look")
	return command
}

// defaultExplainSpan is the time before the end of a request from which related
// log lines are shown.
const defaultExplainSpan = 10 * time.Second

// maxLogLineBytes is the maximum length of a log line.
const maxLogLineBytes = 1 << 20

// logLine is one line of a node's log. Fields missing from the line are zero.
type logLine struct {
	Time      time.Time `json:"time"`
	Level     string    `json:"level"`
	Node      string    `json:"node"`
	Message   string    `json:"message"`
	Request   string    `json:"request"`
	Partition *int      `json:"partition"`
	Replica   string    `json:"replica"`
	// Fingerprint is the same for all tries of a request.
	Fingerprint string `json:"fingerprint"`
	// Counted is the node that counted the request towards its tenant's limit.
	Counted string `json:"counted"`
	// Evacuated is the zone whose evacuation the line reports.
	Evacuated string `json:"evacuated"`
	raw       []byte
}

// explain prints, in order of time, the lines about a request and those about
// what affected it: its partition's owner, its replica, the configuration, the
// node that handled it, and the node that counted it towards its tenant's
// limit. The latter must lie within the span before the request's last line,
// except for lines about evacuated zones, and about other tries of the request and
// the replicas that ended under them, whose age is not limited.
func explain(input io.Reader, output io.Writer, request string, span time.Duration) error {
	lines, err := readLog(input)
	if err != nil {
		return err
	}
	var requestLines []logLine
	for _, line := range lines {
		if line.Request == request {
			requestLines = append(requestLines, line)
		}
	}
	if len(requestLines) == 0 {
		return &ExitError{Code: ExitFailure, Cause: fmt.Errorf("no line about request %q in %d lines", request, len(lines))}
	}
	last := requestLines[len(requestLines)-1]
	for _, line := range lines {
		earlier := !line.Time.After(last.Time)
		recent := earlier && (last.Time.Sub(line.Time) <= span || line.Evacuated != "")
		otherTry := earlier && isOtherTry(line, requestLines)
		if line.Request == request || otherTry || (recent && line.Request == "" && affectsRequest(line, requestLines)) {
			if _, err := fmt.Fprintf(output, "%s\n", line.raw); err != nil {
				return err
			}
		}
	}
	return nil
}

// isOtherTry reports whether a line is about another try of the request.
func isOtherTry(line logLine, requestLines []logLine) bool {
	return line.Fingerprint != "" && slices.ContainsFunc(requestLines, func(own logLine) bool { return own.Fingerprint == line.Fingerprint })
}

// affectsRequest reports whether a line is about a partition, replica or node
// that one of the request's own lines names.
func affectsRequest(line logLine, requestLines []logLine) bool {
	for _, requestLine := range requestLines {
		switch {
		case line.Partition != nil:
			if requestLine.Partition != nil && *line.Partition == *requestLine.Partition {
				return true
			}
		case line.Replica != "":
			if line.Replica == requestLine.Replica {
				return true
			}
		case line.Node == requestLine.Node || line.Node == requestLine.Counted && requestLine.Counted != "":
			return true
		}
	}
	return false
}

// readLog reads JSON lines and sorts them by time. It ignores the text before
// the first brace of a line, and lines without a JSON object or a time.
func readLog(input io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, 0, maxLogLineBytes/16), maxLogLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		line := logLine{raw: slices.Clone(scanner.Bytes()[start:])}
		if json.Unmarshal(line.raw, &line) == nil && !line.Time.IsZero() {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, &ExitError{Code: ExitFailure, Cause: fmt.Errorf("reading the log: %w", err)}
	}
	slices.SortStableFunc(lines, func(left, right logLine) int { return left.Time.Compare(right.Time) })
	return lines, nil
}
