package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/history"
	"birchwood.example/birchwood/httpclient"
	"birchwood.example/birchwood/machine"
)

// The range of the exponential backoff between two requests for the same
// operation.
const (
	firstBackoff   = 50 * time.Millisecond
	longestBackoff = 2 * time.Second
)

// errIncomplete is the error for an answer that is incomplete or inconsistent.
var errIncomplete = errors.New("answer is incomplete or inconsistent")

// caller sends the requests of one program. It is not safe for concurrent use.
type caller struct {
	config  *Config
	targets []*httpclient.Client
	// addresses are the targets' addresses. targetIndex selects the current one.
	addresses     []string
	targetIndex   int
	totals        *totals
	lastRequestID *atomic.Uint64
}

// operation is one operation of a caller, such as creating a program. It may
// take several requests because of retries.
type operation struct {
	// sent is the recorded request, without its ID and node.
	sent history.Sent
	// send performs one request and returns the answer for the history.
	send func(ctx context.Context, client *httpclient.Client) (history.Got, error)
}

// resolve sends requests until one gets a final answer or CallTimeout has
// passed. The error is an *api.Error if the answer is a refusal.
func (c *caller) resolve(ctx context.Context, op operation) (history.Got, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.CallTimeout)
	defer cancel()
	backoff := firstBackoff
	var failedAt time.Time
	for {
		sentAt := time.Now()
		got, err := c.once(ctx, op)
		var refusal *api.Error
		if err == nil || errors.As(err, &refusal) && !refusal.Retry && refusal.Ran != api.RanOutcomeUnknown {
			c.totals.interrupted(failedAt)
			return got, err
		}
		if failedAt.IsZero() {
			failedAt = sentAt
		}
		wait := backoff
		if refusal != nil {
			wait = max(wait, time.Duration(refusal.RetryAfterMilliseconds)*time.Millisecond)
		}
		backoff = min(2*backoff, longestBackoff)
		c.targetIndex = (c.targetIndex + 1) % len(c.targets)
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			// Not wrapped, as a refusal that permits a retry is not a final answer.
			return got, fmt.Errorf("no final answer before the call timed out: %v", err)
		}
	}
}

// once sends one request and records it.
func (c *caller) once(ctx context.Context, op operation) (history.Got, error) {
	sent := op.sent
	sent.Request = strconv.FormatUint(c.lastRequestID.Add(1), 10)
	sent.Node = machine.ID(c.addresses[c.targetIndex])
	c.config.Recorder.Record(history.Event{At: time.Now(), Sent: &sent})
	got, err := op.send(ctx, c.targets[c.targetIndex])
	err = refusalOf(err)
	got.Request = sent.Request
	var refusal *api.Error
	switch {
	case err == nil:
		c.config.Recorder.Record(history.Event{At: time.Now(), Got: &got})
	case errors.As(err, &refusal):
		got.Code, got.Ran = refusal.Code, refusal.Ran
		c.totals.refused(refusal)
		c.config.Recorder.Record(history.Event{At: time.Now(), Got: &got})
	default:
		hungUp := errors.Is(err, context.Canceled)
		c.totals.lostConnection(hungUp)
		var notSent *httpclient.NotSentError
		lost := &history.Lost{Request: sent.Request, HungUp: hungUp, NotSent: errors.As(err, &notSent)}
		c.config.Recorder.Record(history.Event{At: time.Now(), Lost: lost})
	}
	return got, err
}

// refusalOf returns the *api.Error in the body of an HTTP error status, or the
// error itself if there is none.
func refusalOf(err error) error {
	var status *httpclient.StatusError
	if !errors.As(err, &status) {
		return err
	}
	if refusal := api.DecodeError([]byte(status.Body)); refusal != nil {
		return refusal
	}
	return err
}

// create creates a program, or a sub-agent if parent is set.
func (c *caller) create(ctx context.Context, request api.CreateProgram, parent api.ProgramID) (api.Program, error) {
	path := "/v1/programs"
	if parent != "" {
		path = "/v1/programs/" + string(parent) + "/agents"
	}
	var program api.Program
	_, err := c.resolve(ctx, operation{
		sent: history.Sent{Operation: history.OperationCreate, Branch: request.Branch, Key: request.Key},
		send: func(ctx context.Context, client *httpclient.Client) (history.Got, error) {
			err := client.Do(ctx, http.MethodPost, path, request, &program)
			return history.Got{Program: program.ID}, err
		},
	})
	return program, err
}

// end ends a program.
func (c *caller) end(ctx context.Context, id api.ProgramID) error {
	_, err := c.resolve(ctx, operation{
		sent: history.Sent{Operation: history.OperationEnd, Program: id},
		send: func(ctx context.Context, client *httpclient.Client) (history.Got, error) {
			return history.Got{Program: id}, client.Do(ctx, http.MethodPost, "/v1/programs/"+string(id)+"/end", nil, nil)
		},
	})
	return err
}

// describe reads a program's budget.
func (c *caller) describe(ctx context.Context, id api.ProgramID) (api.Program, error) {
	var program api.Program
	_, err := c.resolve(ctx, operation{
		sent: history.Sent{Operation: history.OperationDescribe, Program: id},
		send: func(ctx context.Context, client *httpclient.Client) (history.Got, error) {
			err := client.Do(ctx, http.MethodGet, "/v1/programs/"+string(id), nil, &program)
			return history.Got{Program: id, SpentTokens: program.SpentTokens, BudgetTokens: program.BudgetTokens}, err
		},
	})
	return program, err
}

// readHistory reads all calls of a program and records them.
func (c *caller) readHistory(ctx context.Context, id api.ProgramID) ([]api.Call, error) {
	var calls []api.Call
	sentAt := time.Now()
	for from := uint64(1); from != 0; {
		var part api.History
		path := fmt.Sprintf("/v1/programs/%s/history?from=%d", id, from)
		_, err := c.resolve(ctx, operation{
			sent: history.Sent{Operation: history.OperationAttach, Program: id},
			send: func(ctx context.Context, client *httpclient.Client) (history.Got, error) {
				return history.Got{Program: id}, client.Do(ctx, http.MethodGet, path, nil, &part)
			},
		})
		if err != nil {
			return nil, err
		}
		calls = append(calls, part.Calls...)
		from = part.Next
	}
	read := &history.Read{Program: id, SentAt: sentAt}
	for _, call := range calls {
		read.Calls = append(read.Calls, history.ReadCall{
			Sequence: call.Sequence, Key: call.Key, Status: call.Status, Input: call.Input, Output: call.Output,
		})
	}
	c.config.Recorder.Record(history.Event{At: time.Now(), Read: read})
	return calls, nil
}

// answered is a finished call and the time to its first text.
type answered struct {
	call      api.Call
	firstText time.Duration
}

// submit makes a call and reads its event stream to the end.
func (c *caller) submit(ctx context.Context, id api.ProgramID, request api.SubmitCall) (answered, error) {
	request.Stream = true
	begin := time.Now()
	result := answered{}
	_, err := c.resolve(ctx, operation{
		sent: history.Sent{
			Operation: history.OperationSubmit, Program: id, Key: request.Key, Sequence: request.Sequence,
			Kind: request.Kind, Repeatable: request.Repeatable || request.Kind == api.CallModel,
			Input: request.Input, OutputCap: request.MaxOutputTokens,
		},
		send: func(ctx context.Context, client *httpclient.Client) (history.Got, error) {
			reader := streamReader{firstText: func() {
				if result.firstText == 0 {
					result.firstText = time.Since(begin)
				}
			}}
			path := "/v1/programs/" + string(id) + "/calls"
			err := client.Lines(ctx, path, request, reader.line)
			if err == nil && reader.final == nil {
				err = errIncomplete
			}
			if err != nil {
				return history.Got{Program: id, Sequence: reader.sequence}, err
			}
			result.call = *reader.final
			return recordedAnswer(result.call), nil
		},
	})
	return result, err
}

// recordedAnswer converts a finished call to the answer that the history records.
func recordedAnswer(call api.Call) history.Got {
	got := history.Got{
		Program: call.Program, Sequence: call.Sequence, Status: call.Status, Output: call.Output, Usage: call.Usage,
	}
	if call.Error != nil {
		got.Code, got.Ran = call.Error.Code, call.Error.Ran
	}
	return got
}

// streamReader parses the event stream of an answer.
type streamReader struct {
	firstText func()
	event     string
	sequence  uint64
	text      []byte
	final     *api.Call
}

// textEvent is the data of a "text" event.
type textEvent struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
}

// line processes one line. It returns the refusal that ended the stream, or
// another error if the stream is inconsistent.
func (f *streamReader) line(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(": "))
	switch string(name) {
	case "event":
		f.event = string(value)
	case "data":
		return f.data(value)
	}
	return nil
}

// data processes the data of an event.
func (f *streamReader) data(value []byte) error {
	switch f.event {
	case "accepted":
		var call api.Call
		if err := json.Unmarshal(value, &call); err != nil {
			return err
		}
		f.sequence = call.Sequence
	case "text":
		return f.addText(value)
	case "restart":
		f.text = nil
	case "error":
		if refusal := api.DecodeError(value); refusal != nil {
			return refusal
		}
		return errIncomplete
	case "end":
		return f.end(value)
	}
	return nil
}

// addText appends the text of an event. Its offset must be the length of the
// text received so far.
func (f *streamReader) addText(value []byte) error {
	var event textEvent
	if err := json.Unmarshal(value, &event); err != nil {
		return err
	}
	if event.Offset != len(f.text) {
		return fmt.Errorf("text at offset %d after %d bytes: %w", event.Offset, len(f.text), errIncomplete)
	}
	f.text = append(f.text, event.Text...)
	f.firstText()
	return nil
}

// end stores the finished call. The streamed text must be the call's output.
func (f *streamReader) end(value []byte) error {
	var call api.Call
	if err := json.Unmarshal(value, &call); err != nil {
		return err
	}
	if call.Status == api.StatusSucceeded {
		if call.Output == "" {
			call.Output = string(f.text)
		}
		if call.Output != string(f.text) {
			return fmt.Errorf("streamed text differs from the call's output: %w", errIncomplete)
		}
	}
	f.final = &call
	return nil
}
