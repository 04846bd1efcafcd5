//go:build review

package standin

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// replicaProcess is one replica. It reports to the platform over HTTP: its entry with each
// heartbeat, and each request that it begins to run.
type replicaProcess struct {
	id, service, version, zone string
	// platform is the platform's address for replicas, and listen the replica's own.
	platform, listen string
	// events is the number of events in a stream; 0 makes the replica a plain service, whose
	// answers have parts parts. Either are sent step apart.
	events, parts int
	step          time.Duration
	// untilClose makes answers have neither a length nor chunks and end with their connection.
	untilClose bool
	// firstBeat is how long after its start the replica writes its entry first.
	firstBeat time.Duration

	born     int64
	sequence atomic.Int64
	// running has an element for each slot in use.
	running chan struct{}
}

// slots is the number of requests that a replica works on at once. Others wait.
const slots = 8

// heartbeat is the time between two heartbeats of a replica.
const heartbeat = 1200 * time.Millisecond

func runReplica(arguments []string) error {
	r := &replicaProcess{born: time.Now().UnixMilli(), running: make(chan struct{}, slots)}
	flags := flag.NewFlagSet("replica", flag.ContinueOnError)
	flags.StringVar(&r.id, "id", "", "")
	flags.StringVar(&r.service, "service", "", "")
	flags.StringVar(&r.version, "version", "", "")
	flags.StringVar(&r.zone, "zone", "", "")
	flags.StringVar(&r.platform, "platform", "", "")
	flags.StringVar(&r.listen, "listen", "", "")
	flags.IntVar(&r.events, "events", 0, "")
	flags.IntVar(&r.parts, "parts", 1, "")
	flags.DurationVar(&r.step, "step", 0, "")
	flags.BoolVar(&r.untilClose, "until-close", false, "")
	flags.DurationVar(&r.firstBeat, "first-beat", 0, "")
	if err := flags.Parse(arguments); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", r.listen)
	if err != nil {
		return err
	}
	go r.beat()
	for {
		connection, err := listener.Accept()
		if err != nil {
			return err
		}
		go r.serve(connection)
	}
}

// beat writes the replica's entry with each heartbeat.
func (r *replicaProcess) beat() {
	time.Sleep(r.firstBeat)
	for {
		entry := fmt.Sprintf(`{"service":%q,"addr":%q,"zone":%q,"version":%q,"slots":%d,"state":"ready","coldLeftMs":0,"born":%d,"seq":%d}`,
			r.service, r.listen, r.zone, r.version, slots, r.born, r.sequence.Add(1))
		r.tell("/entry?id="+r.id, entry)
		time.Sleep(heartbeat)
	}
}

// tell sends a message to the platform.
func (r *replicaProcess) tell(path, body string) {
	response, err := http.Post("http://"+r.platform+path, "application/json", strings.NewReader(body))
	if err == nil {
		_ = response.Body.Close()
	}
}

// serve handles the requests of one connection.
func (r *replicaProcess) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || !r.answer(connection, request, body) {
			return
		}
	}
}

// answer answers one request and reports whether the connection stays open.
func (r *replicaProcess) answer(connection net.Conn, request *http.Request, body []byte) (open bool) {
	id := request.Header.Get(names.RequestID)
	if expected := request.Header.Get(names.ExpectReplica); expected != "" && expected != r.id {
		return r.write(connection, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", names.RequestID, id)
	}
	if request.URL.Path == "/-/report" {
		report := fmt.Sprintf(`{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"born":%d,"seq":1}`, r.born)
		return r.write(connection, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
	}
	r.running <- struct{}{}
	defer func() { <-r.running }()
	if request.Method == http.MethodGet && request.URL.Path == "/healthz" {
		return r.write(connection, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.id)
	}
	at := fmt.Sprintf("%s, version %s, process %d, after event %q, previous turn %q",
		r.id, r.version, os.Getpid(), request.Header.Get(names.LastEvent), request.Header.Get(names.PreviousTurn))
	r.tell("/run?"+url.Values{"id": {id}, "at": {at}}.Encode(), string(body))
	return r.send(connection, id, body, r.pieces(id, request.Header.Get(names.LastEvent)))
}

// pieces returns the pieces of an answer: the events after one, or the parts of a plain body.
func (r *replicaProcess) pieces(id, after string) (pieces []string) {
	first, _ := strconv.Atoi(after)
	for event := first + 1; event <= r.events; event++ {
		pieces = append(pieces, fmt.Sprintf("id: %d\ndata: %s\n\n", event, eventData(r.version, event)))
	}
	if r.events > 0 {
		return pieces
	}
	for part := range r.parts {
		pieces = append(pieces, plainPart(id, part, r.parts))
	}
	return pieces
}

// eventData is the data of one event. It names the version that wrote it.
func eventData(version string, event int) string { return fmt.Sprintf("%s-%d", version, event) }

// plainPart is one part of the body of a plain answer.
func plainPart(id string, part, parts int) string {
	return fmt.Sprintf("part %d of %d of the answer to %s\n", part+1, parts, id)
}

// send sends a whole answer, piece by piece. The process ends in the middle of that to a lethal
// request.
func (r *replicaProcess) send(connection net.Conn, id string, body []byte, pieces []string) (open bool) {
	kind, framing := "text/plain", "Content-Length: "+strconv.Itoa(len(strings.Join(pieces, "")))
	chunked := r.events > 0 && !r.untilClose
	if r.events > 0 {
		kind, framing = "text/event-stream", "Transfer-Encoding: chunked"
	}
	if r.untilClose {
		framing = "Connection: close"
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s-%d\r\nContent-Type: %s\r\n%s\r\n\r\n",
		names.RequestID, id, names.Seal, r.id, r.born, kind, framing)
	if !r.write(connection, "%s", head) {
		return false
	}
	for number, piece := range pieces {
		time.Sleep(r.step)
		if number == len(pieces)/2 && string(body) == lethalBody {
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		}
		if chunked {
			piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		if !r.write(connection, "%s", piece) {
			return false
		}
	}
	return !r.untilClose && (!chunked || r.write(connection, "0\r\n\r\n"))
}

func (r *replicaProcess) write(connection net.Conn, format string, values ...any) (written bool) {
	var text bytes.Buffer
	fmt.Fprintf(&text, format, values...)
	_, err := connection.Write(text.Bytes())
	return err == nil
}
