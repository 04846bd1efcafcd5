package upstream

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/header"
)

// Request is one request as a replica gets it.
type Request struct {
	Method string
	// Target is the request target of the first line, as the client sent it.
	Target string
	Host   string
	// ID is the value of the request id that the answer must echo.
	ID string
	// Fields are raw header lines, each ended by CRLF.
	Fields []byte
	Body   []byte
	// HasBody says that a length is sent even for an empty body.
	HasBody bool
	// Deadline is when the exchange ends at the latest.
	Deadline time.Time
}

// inlineBody is the largest body that is written before the answer is read.
// A replica may answer before it has read a longer one.
const inlineBody = 16 << 10

// Send writes a request to the replica and reads the head of the answer. An
// error is a *NotSentError or an *UnknownError.
func (p *Pool) Send(to Target, request *Request, cancel *Cancel) (*Response, error) {
	connection, err := p.get(to, request.Deadline)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	if err := cancel.bind(connection.Conn, request.Deadline); err != nil {
		_ = connection.Close()
		return nil, &NotSentError{Cause: err}
	}
	response := &Response{pool: p, to: to, conn: connection, cancel: cancel}
	response.writing = writeRequest(connection.writer, request)
	if err := response.readHead(request.ID); err != nil {
		response.Abort()
		return nil, &UnknownError{Stage: "read answer", Cause: causeOr(cancel, err)}
	}
	return response, nil
}

// causeOr prefers the cause of a cancelled exchange over the broken connection
// that it led to.
func causeOr(cancel *Cancel, err error) error {
	if cause := cancel.Cause(); cause != nil {
		return cause
	}
	return err
}

// writeRequest writes the request, a long body beside the reading of the
// answer. The channel, nil where nothing is left to write, yields the result.
func writeRequest(writer *bufio.Writer, request *Request) <-chan error {
	writeHead(writer, request)
	if len(request.Body) <= inlineBody {
		_, _ = writer.Write(request.Body)
		// A failed write shows when the answer is read: the replica may have
		// answered before it closed.
		_ = writer.Flush()
		return nil
	}
	done := make(chan error, 1)
	go func() {
		_, _ = writer.Write(request.Body)
		done <- writer.Flush()
	}()
	return done
}

func writeHead(writer *bufio.Writer, request *Request) {
	for _, part := range []string{request.Method, " ", request.Target, " HTTP/1.1\r\n", header.Host, ": ", request.Host, "\r\n"} {
		_, _ = writer.WriteString(part)
	}
	_, _ = writer.Write(request.Fields)
	if request.HasBody || len(request.Body) > 0 {
		_, _ = writer.WriteString(header.ContentLength + ": " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	_, _ = writer.WriteString("\r\n")
}

// maximumSurplus bounds the answers of other requests that are skipped.
const maximumSurplus = 3

// errCrossed says that another request's answer came and could not be skipped.
var errCrossed = errors.New("the answer belongs to another request")

// readHead reads heads until the one of the request, skipping informational
// ones and the answers of earlier requests.
func (r *Response) readHead(id string) error {
	for range maximumSurplus {
		if err := r.readOneHead(); err != nil {
			return err
		}
		echoed := r.Header.Peek(r.pool.config.Names.RequestID)
		if len(echoed) == 0 || string(echoed) == id {
			return nil
		}
		r.surplus = true
		if r.length() < 0 {
			return errCrossed
		}
		if _, err := io.CopyN(io.Discard, r.conn.reader, int64(r.length())); err != nil {
			return err
		}
	}
	return errCrossed
}

func (r *Response) readOneHead() error {
	for {
		r.Header.Reset()
		r.Header.SetNoDefaultContentType(true)
		if err := r.Header.Read(r.conn.reader); err != nil {
			return err
		}
		if r.Header.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
	}
}
