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

// invalidFields are lines that are no fields, with a part of the error.
func invalidFields() map[string]string {
	lines := map[string]string{
		"X Odd: a": `name of a field "X Odd"`, "X-Odd : a": `name of a field "X-Odd "`, "X-Odd\t: a": "name", "Content Length: 1": "name", "Content-Length : 1": "name",
		"Transfer Encoding: chunked": "name", "X-Id : other": "name", ": a": "without a name", "X-Odd": "without a field",
		" X-Odd: a": "folded", "\tX-Odd: a": "folded", "  folded": "folded", "X(Odd): a": "name", "X-Odd: a\x00": `control byte in the value of "X-Odd"`, "X-Odd: a\rb": "control byte",
	}
	for _, char := range []byte{0x00, 0x01, 0x09, 0x0D, 0x1F, 0x7F, 0x80, 0xFF} {
		lines["X"+string([]byte{char})+"Odd: a"] = "name"
		lines["X-Odd"+string([]byte{char})+": a"] = "name"
	}
	return lines
}

func TestPeekResponseRefusesInvalidFields(t *testing.T) {
	for line, why := range invalidFields() {
		expectInvalid(t, "HTTP/1.1 200 OK\r\n"+line+"\r\nA: b\r\n\r\n", why)
		expectInvalid(t, "HTTP/1.1 200 OK\r\nA: b\r\n"+line+"\r\n", why)
	}
	expectInvalid(t, "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "transfer coding")
}

func TestPeekResponseAcceptsValidFields(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\nX-Empty:\r\nX_1.2~!#$%&'*+^`|: a\tb: \xe9 \r\nTransfer-Encoding: chunked\r\n\r\n"
	if head, err := header.PeekResponse(bufio.NewReader(strings.NewReader(text))); err != nil || head.Length != len(text) {
		t.Errorf("%+v, %v", head, err)
	}
}

func TestSkipTrailerRefusesInvalidFields(t *testing.T) {
	for line := range invalidFields() {
		err := header.SkipTrailer(bufio.NewReader(strings.NewReader("A: b\r\n" + line + "\r\n\r\n")))
		var invalid *header.InvalidError
		if !errors.As(err, &invalid) {
			t.Errorf("%q: %v", line, err)
		}
	}
}

func TestSkipTrailerEndsAfterTheEmptyLine(t *testing.T) {
	for _, trailer := range []string{"\r\n", "A: b\r\n\r\n", "A: b\nC:\n\n"} {
		reader := bufio.NewReader(strings.NewReader(trailer + "next"))
		err := header.SkipTrailer(reader)
		if rest, _ := io.ReadAll(reader); err != nil || string(rest) != "next" {
			t.Errorf("%q: %v, %q is left", trailer, err, rest)
		}
	}
}
