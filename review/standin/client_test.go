//go:build review

package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client received.
type answer struct {
	id     string
	status int
	header http.Header
	body   string
	// complete is set if the answer ended as its framing says.
	complete bool
	// failure is why there is no complete answer.
	failure error
}

// events returns the data of the events that arrived whole.
func (a *answer) events() (data []string) {
	for _, event := range strings.SplitAfter(a.body, "\n\n") {
		_, value, found := strings.Cut(event, "data: ")
		if found && strings.HasSuffix(value, "\n\n") {
			data = append(data, strings.TrimSuffix(value, "\n\n"))
		}
	}
	return data
}

// newID returns the id of one client attempt.
func (d *deployment) newID() string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.requests++
	return fmt.Sprintf("%016x", 0x9c41d07be2a30000+uint64(d.requests))
}

// send sends one request to a node on a new connection and reads the answer to its end.
func (d *deployment) send(n *node, id, path string, fields map[string]string, body string) *answer {
	received := &answer{id: id}
	d.note("client: request %s sent to %s: %s %v %q", id, n.name, path, fields, body)
	received.failure = received.exchange(n.clients, requestText(id, path, fields, body))
	d.note("client: request %s answered: status %d, complete %t, %d bytes, %d events, failure: %v",
		id, received.status, received.complete, len(received.body), len(received.events()), received.failure)
	return received
}

// requestText returns a request as it is written to the connection.
func requestText(id, path string, fields map[string]string, body string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nContent-Length: %d\r\n", path, host, names.RequestID, id, len(body))
	for name, value := range fields {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	return text.String() + "\r\n" + body
}

// exchange sends a request and reads the answer.
func (a *answer) exchange(address, request string) error {
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(connection, request); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return err
	}
	a.status, a.header = response.StatusCode, response.Header
	body, err := io.ReadAll(response.Body)
	a.body = string(body)
	if err == nil && response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		err = errors.New("the answer has neither a length nor chunks")
	}
	a.complete = err == nil
	return err
}
