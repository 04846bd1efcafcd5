package header_test

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"birchwood.example/birchwood/header"
)

// readers are ways in which the bytes of a head arrive.
var readers = map[string]func(io.Reader) io.Reader{
	"whole":                    func(reader io.Reader) io.Reader { return reader },
	"one byte at a time":       iotest.OneByteReader,
	"with the end of the data": iotest.DataErrReader,
}

func TestPeekResponseAcceptsValidStatusLines(t *testing.T) {
	for line, status := range map[string]int{
		"HTTP/1.1 200 OK": 200, "HTTP/1.0 200 OK": 200, "HTTP/1.1 200": 200, "HTTP/1.1 200 ": 200, "HTTP/1.1 100 Continue": 100,
		"HTTP/1.1 404 a\tb \xe9": 404, "HTTP/1.1 600 Odd": 600, "HTTP/1.1 999 Odd": 999,
	} {
		text := line + "\r\nA: b\r\n\r\n"
		for name, arrive := range readers {
			reader := bufio.NewReader(arrive(strings.NewReader(text + "body")))
			head, err := header.PeekResponse(reader)
			if err != nil || head.Status != status || head.Length != len(text) {
				t.Errorf("%q, %s: %+v, %v", line, name, head, err)
			}
			if rest, _ := io.ReadAll(reader); string(rest) != text+"body" {
				t.Errorf("%q, %s: consumed some: %q is left", line, name, rest)
			}
		}
	}
}

// expectInvalid checks that text is refused in whatever pieces it arrives, with an error that says
// why.
func expectInvalid(t *testing.T, text, why string) {
	t.Helper()
	for name, arrive := range readers {
		_, err := header.PeekResponse(bufio.NewReader(arrive(strings.NewReader(text))))
		var invalid *header.InvalidError
		if !errors.As(err, &invalid) || !strings.Contains(err.Error(), why) {
			t.Errorf("%q, %s: %v, want an InvalidError with %q", text, name, err, why)
		}
	}
}

func TestPeekResponseRefusesInvalidStatusLines(t *testing.T) {
	for line, why := range map[string]string{
		"HTTP/1.1 000": `status "000"`, "HTTP/1.1 000 OK": `status "000"`, "HTTP/1.1 099 OK": `status "099"`, "HTTP/1.1 0 OK": "status", "HTTP/1.1 20 OK": "status",
		"HTTP/1.1 2000 OK": "status", "HTTP/1.1 00200 OK": "status", "HTTP/1.1 -20 OK": "status", "HTTP/1.1 +20 OK": "status", "HTTP/1.1 2_0 OK": "status", "HTTP/1.1 OK": "status",
		"HTTP/1.1 ": "status", "HTTP/1.1": "status", "HTTP/1.1  200 OK": "status", "HTTP/1.1\t200 OK": "version", "": "version", "garbage": "version", " HTTP/1.1 200 OK": "version",
		"HTTP/2.0 200 OK": `version "HTTP/2.0"`, "HTTP/0.9 200 OK": "version", "HTTP/1.2 200 OK": "version", "http/1.1 200 OK": "version",
		"HTTP/1.1 200 O\x00K": "control byte", "HTTP/1.1 200 O\rK": "control byte", "HTTP/1.1 200 O\x7fK": "control byte",
	} {
		expectInvalid(t, line+"\r\nA: b\r\n\r\n", why)
		expectInvalid(t, line+"\r\n", why)
	}
}

func TestPeekResponseRefusesLinesWithoutCR(t *testing.T) {
	expectInvalid(t, "HTTP/1.1 200 OK\nA: b\r\n\r\n", "without CR")
	expectInvalid(t, "HTTP/1.1 200 OK\r\nA: b\n\r\n", "without CR")
	expectInvalid(t, "HTTP/1.1 200 OK\r\nA: b\r\n\nbody\r\n\r\n", "without CR")
}

func TestPeekResponseRefusesHeadsLargerThanTheBuffer(t *testing.T) {
	expectInvalid(t, "HTTP/1.1 200 OK\r\nA: "+strings.Repeat("b", 64<<10), "too large")
	expectInvalid(t, strings.Repeat("x", 64<<10), "too large")
}

func TestPeekResponseTellsWhereTheBytesEnd(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nA: b\r\n\r\n"
	for length := range len(head) {
		want := io.ErrUnexpectedEOF
		if length == 0 {
			want = io.EOF
		}
		for name, arrive := range readers {
			if _, err := header.PeekResponse(bufio.NewReader(arrive(strings.NewReader(head[:length])))); !errors.Is(err, want) {
				t.Errorf("after %d bytes, %s: %v, want %v", length, name, err, want)
			}
		}
	}
}
