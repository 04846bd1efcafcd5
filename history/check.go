package history

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// checker collects the findings of one history.
type checker struct {
	*index
	findings  []Finding
	undecided int
}

// Check reads a history and verifies every invariant. It returns an error only
// if the history cannot be read; a violated invariant is a Finding. An
// incomplete last line, as a killed process leaves it, is skipped.
func Check(readers ...io.Reader) (Report, error) {
	var records []record
	line := 0
	for _, reader := range readers {
		read, err := readRecords(reader, &line)
		if err != nil {
			return Report{}, err
		}
		records = append(records, read...)
	}
	return check(records), nil
}

// CheckEvents verifies every invariant of a history in memory.
func CheckEvents(events []Event) Report {
	records := make([]record, len(events))
	for i, event := range events {
		records[i] = record{Event: event, line: i + 1}
	}
	return check(records)
}

// readRecords decodes the lines of one file and numbers them from *line+1.
func readRecords(reader io.Reader, line *int) ([]record, error) {
	var records []record
	buffered := bufio.NewReader(reader)
	for {
		text, err := buffered.ReadBytes('\n')
		last := errors.Is(err, io.EOF)
		if err != nil && !last {
			return nil, fmt.Errorf("line %d: %w", *line+1, err)
		}
		if len(bytes.TrimSpace(text)) > 0 {
			*line++
			var event Event
			decodeErr := json.Unmarshal(text, &event)
			if decodeErr != nil && !last {
				return nil, fmt.Errorf("line %d: %w", *line, decodeErr)
			}
			if decodeErr == nil {
				records = append(records, record{Event: event, line: *line})
			}
		}
		if last {
			return records, nil
		}
	}
}

// check runs every check over the records.
func check(records []record) Report {
	c := &checker{index: newIndex(records)}
	c.checkCalls()
	c.checkPrograms()
	c.checkMemory()
	c.checkLeaving()
	c.checkPlannedStops()
	c.checkSettings()
	c.checkPlacement()
	c.checkLinearizable()
	sortFindings(c.findings)
	return Report{
		Run:       c.run,
		Events:    len(records),
		Programs:  len(c.programs),
		Calls:     len(c.byCall),
		Findings:  c.findings,
		Undecided: c.undecided,
		Outcomes:  c.outcomes(),
		Outages:   c.outages(),
	}
}

// report adds a finding with the given records as evidence.
func (c *checker) report(invariant Invariant, evidence []*record, format string, arguments ...any) {
	finding := Finding{Invariant: invariant, Message: fmt.Sprintf(format, arguments...), Seed: c.run.Seed}
	for _, r := range evidence {
		if r != nil {
			finding.Lines = append(finding.Lines, r.line)
		}
	}
	c.findings = append(c.findings, finding)
}

// outcomes counts requests by the status or error code of their answer.
func (c *checker) outcomes() map[string]int {
	counts := map[string]int{}
	for _, each := range c.exchanges {
		switch {
		case each.got == nil && each.lost == nil:
			counts["unanswered"]++
		case each.got == nil:
			counts["lost"]++
		case each.got.Got.Code != "":
			counts[string(each.got.Got.Code)]++
		case each.got.Got.Status != "":
			counts[string(each.got.Got.Status)]++
		default:
			counts["ok"]++
		}
	}
	return counts
}
