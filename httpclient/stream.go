package httpclient

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// lineBufferSize is the initial size of the buffer for lines, and maxLineBytes
// the length of the longest line that is accepted, in bytes.
const (
	lineBufferSize = 4 << 10
	maxLineBytes   = 8 << 20
)

// ErrUnresponsive reports that the server has sent nothing for longer than
// Options.Silence, for example because of a network partition. The request may
// have taken effect.
var ErrUnresponsive = errors.New("the server has fallen silent")

// lineBuffers holds reusable buffers. Most streams need no larger one.
var lineBuffers = sync.Pool{New: func() any { return new([lineBufferSize]byte) }}

// Lines sends message as JSON and calls receive for each line of the answer,
// without the line break. It skips empty lines, which servers send as keep-alives.
// The line is valid only during the call. Lines returns nil at the end of the
// answer, receive's error, or the error that interrupted the answer. It closes the
// connection when the context ends or the server is unresponsive.
func (c *Client) Lines(ctx context.Context, path string, message any, receive func(line []byte) error) error {
	watchedContext, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silenceTimer := time.AfterFunc(c.options.Silence, func() { cancel(ErrUnresponsive) })
	defer silenceTimer.Stop()
	onLine := func() { silenceTimer.Reset(c.options.Silence) }
	err := c.readLines(watchedContext, path, message, onLine, receive)
	if errors.Is(context.Cause(watchedContext), ErrUnresponsive) && errors.Is(err, context.Canceled) {
		return fmt.Errorf("%s: %w for %s", path, ErrUnresponsive, c.options.Silence)
	}
	return err
}

// readLines implements Lines. It also calls onLine for each line, empty ones
// included.
func (c *Client) readLines(ctx context.Context, path string, message any, onLine func(), receive func(line []byte) error) error {
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
		text, _ := io.ReadAll(io.LimitReader(body, maxLineBytes))
		return &StatusError{Status: response.StatusCode(), Body: string(text)}
	}
	interrupted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(interrupted)
		_ = body.CloseWithError(ctx.Err())
	})
	err = scanLines(body, onLine, receive)
	if !stop() {
		<-interrupted
		return ctx.Err()
	}
	return err
}

// scanLines calls onLine for each line and receive for each line that is not
// empty. It returns io.ErrUnexpectedEOF if the last line has no line break: an answer
// that broke off may end inside a line, at a place where it can be read as a shorter one.
func scanLines(reader io.Reader, onLine func(), receive func(line []byte) error) error {
	buffer := lineBuffers.Get().(*[lineBufferSize]byte)
	defer lineBuffers.Put(buffer)
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(buffer[:0], maxLineBytes)
	scanner.Split(splitLine)
	for scanner.Scan() {
		onLine()
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

// splitLine is a bufio.SplitFunc for lines, each of which must have its line break.
func splitLine(data []byte, atEOF bool) (advance int, line []byte, err error) {
	if end := bytes.IndexByte(data, '\n'); end >= 0 {
		return end + 1, data[:end], nil
	}
	if atEOF && len(data) > 0 {
		return 0, nil, io.ErrUnexpectedEOF
	}
	return 0, nil, nil
}
