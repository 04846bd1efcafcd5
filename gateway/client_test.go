package gateway_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/api"
)

// reply is an HTTP answer with its whole body.
type reply struct {
	status int
	header http.Header
	body   string
}

// error returns the error in the body.
func (r reply) error() api.Error {
	var body struct{ Error api.Error }
	Expect(json.Unmarshal([]byte(r.body), &body)).To(Succeed(), r.body)
	return body.Error
}

// call returns the call in the body.
func (r reply) call() api.Call {
	var found api.Call
	Expect(json.Unmarshal([]byte(r.body), &found)).To(Succeed(), r.body)
	return found
}

// open sends a request and returns the response with its body unread.
func open(method, url, token, body string, headers ...string) *http.Response {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+token)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
	Expect(err).NotTo(HaveOccurred())
	return response
}

// ask sends a request and reads the whole answer.
func ask(method, url, token, body string, headers ...string) reply {
	response := open(method, url, token, body, headers...)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return reply{status: response.StatusCode, header: response.Header, body: string(text)}
}

// received is one event of a stream.
type received struct{ kind, id, data string }

// events reads a stream of server-sent events.
type events struct {
	response *http.Response
	reader   *bufio.Reader
}

func openEvents(method, url, token, body string, headers ...string) *events {
	response := open(method, url, token, body, headers...)
	Expect(response.Header.Get("Content-Type")).To(HavePrefix("text/event-stream"))
	return &events{response: response, reader: bufio.NewReader(response.Body)}
}

// next returns the next event and skips comments.
func (e *events) next() received {
	var found received
	for {
		line, err := e.reader.ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		line = strings.TrimSuffix(line, "\n")
		name, value, _ := strings.Cut(line, ": ")
		switch {
		case line == "" && found.kind != "":
			return found
		case name == "event":
			found.kind = value
		case name == "id":
			found.id = value
		case name == "data":
			found.data = value
		}
	}
}

// text reads the stream to its end, and returns the text since the last restart
// and the last event.
func (e *events) text() (string, received) {
	var text strings.Builder
	for {
		next := e.next()
		switch next.kind {
		case "text":
			var data struct {
				Offset int
				Text   string
			}
			Expect(json.Unmarshal([]byte(next.data), &data)).To(Succeed())
			text.WriteString(data.Text)
		case "restart":
			text.Reset()
		case "end", "error":
			return text.String(), next
		}
	}
}

func (e *events) close() { _ = e.response.Body.Close() }
