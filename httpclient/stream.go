package httpclient

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"
)

// lineBufferSize is the first size of the buffer that lines are read into,
// and maximumLine the longest line that is taken, in bytes.
const (
	lineBufferSize = 4 << 10
	maximumLine    = 8 << 20
)

// Lines sends message as JSON and calls receive for each line of the answer,
// without the line break. Empty lines, which keep the connection alive, are
// skipped. The line is valid during the call only. Lines returns nil at the
// end of the answer, receive's error, or the error that cut the answer; the
// end of the context closes the connection.
func (c *Client) Lines(ctx context.Context, path string, message any, receive func(line []byte) error) error {
	response, err := c.roundTrip(ctx, fasthttp.MethodPost, path, message, true)
	if err != nil {
		return err
	}
	defer fasthttp.ReleaseResponse(response)
	defer func() { _ = response.CloseBodyStream() }()
	body, ok := response.BodyStream().(fasthttp.ReadCloserWithError)
	if !ok {
		return fmt.Errorf("%s: no answer to read", path)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(body, maximumLine))
		return &StatusError{Status: response.StatusCode(), Body: string(text)}
	}
	interrupted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(interrupted)
		_ = body.CloseWithError(ctx.Err())
	})
	err = scanLines(body, receive)
	if !stop() {
		<-interrupted
		return ctx.Err()
	}
	return err
}

// scanLines calls receive for each line that is not empty.
func scanLines(reader io.Reader, receive func(line []byte) error) error {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 0, lineBufferSize), maximumLine)
	for scanner.Scan() {
		line := bytes.TrimSpace(scanner.Bytes())
		if len(line) == 0 {
			continue
		}
		if err := receive(line); err != nil {
			return err
		}
	}
	return scanner.Err()
}
