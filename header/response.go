package header

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// InvalidError means that bytes which a peer sent are not valid HTTP/1.1. It names the part that is
// not valid, but no values of fields: they may belong to another request.
type InvalidError struct {
	Problem string
	// Part is the beginning of that part; empty if Problem says enough.
	Part string
}

func (e *InvalidError) Error() string {
	if e.Part == "" {
		return "not valid HTTP: " + e.Problem
	}
	return fmt.Sprintf("not valid HTTP: %s %q", e.Problem, e.Part)
}

// maxQuotedBytes bounds the bytes of a peer that an InvalidError quotes.
const maxQuotedBytes = 40

func invalid(problem string, part []byte) *InvalidError {
	return &InvalidError{Problem: problem, Part: string(part[:min(len(part), maxQuotedBytes)])}
}

// The range of status codes in the first line of a response. HTTP defines those below 600; clients
// treat the others as server errors.
const (
	minStatus = 100
	maxStatus = 999
)

// ResponseHead describes the head of a response.
type ResponseHead struct {
	// Length is the number of bytes of the head, including the empty line that ends it.
	Length int
	Status int
	// http10 is set for HTTP/1.0.
	http10 bool
}

// PeekResponse waits until the whole head of a response is buffered, and checks it. It consumes
// nothing. Each line is checked as soon as it is complete, so that bytes that are no response are
// found without waiting for more. Its errors are *InvalidError; io.EOF before the first byte and
// io.ErrUnexpectedEOF after it; or that of the reader.
func PeekResponse(reader *bufio.Reader) (ResponseHead, error) {
	var head ResponseHead
	if _, err := reader.Peek(1); err != nil {
		return head, err
	}
	for {
		buffered, err := reader.Peek(reader.Buffered())
		if err != nil {
			return head, err
		}
		whole, err := head.addLines(buffered)
		if whole || err != nil {
			return head, err
		}
		if err := awaitMore(reader); err != nil {
			return head, err
		}
	}
}

// awaitMore waits until more bytes than now are buffered.
func awaitMore(reader *bufio.Reader) error {
	_, err := reader.Peek(reader.Buffered() + 1)
	switch {
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	case errors.Is(err, bufio.ErrBufferFull):
		return &InvalidError{Problem: "the head is too large"}
	default:
		return err
	}
}

// addLines checks the complete lines that follow those already checked, and reports whether the
// head is whole.
func (h *ResponseHead) addLines(buffered []byte) (whole bool, err error) {
	for {
		line, _, complete := bytes.Cut(buffered[h.Length:], []byte("\n"))
		if !complete {
			return false, nil
		}
		first := h.Length == 0
		h.Length += len(line) + len("\n")
		line, endsInCRLF := bytes.CutSuffix(line, []byte("\r"))
		switch {
		case !endsInCRLF:
			return false, &InvalidError{Problem: "a line of the head ends without CR"}
		case first:
			err = h.parseStatusLine(line)
		case len(line) == 0:
			return true, nil
		default:
			err = h.checkField(line)
		}
		if err != nil {
			return false, err
		}
	}
}

// parseStatusLine parses the first line of a response.
func (h *ResponseHead) parseStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	if string(version) != "HTTP/1.1" && string(version) != "HTTP/1.0" {
		return invalid("version", version)
	}
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	status, err := strconv.ParseUint(string(code), 10, 16)
	if err != nil || len(code) != len("200") || status < minStatus || status > maxStatus {
		return invalid("status", code)
	}
	if !isText(reason) {
		return &InvalidError{Problem: "a control byte in the reason of the status"}
	}
	h.Status, h.http10 = int(status), string(version) == "HTTP/1.0"
	return nil
}

var transferEncoding = []byte(TransferEncoding)

// checkField checks a field of the head. HTTP/1.0 has no transfer codings, so that the end of a
// body with one is not certain.
func (h *ResponseHead) checkField(line []byte) error {
	name, err := FieldName(line)
	if err == nil && h.http10 && bytes.EqualFold(name, transferEncoding) {
		err = &InvalidError{Problem: "a transfer coding in HTTP/1.0"}
	}
	return err
}
