//go:build review

package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"birchwood.example/birchwood/platform/standin"
)

// The scenario of streams that clients take up after their last event.
const (
	finishedStreams  = 24
	finishedReplicas = 6
	finishedEvents   = 8
	finishedStep     = 50 * time.Millisecond
)

// finished: the client's connection breaks after the last event of a stream, ahead of the stream's
// end, and the client takes the stream up at another node. The replicas end their answers with the
// connection, and have no event to send. Each stream has to be answered as complete. With
// TROUBLE=chunked the replicas' answers come in chunks.
func finished(d *deployment) (held bool, err error) {
	flags := []string{"-events", fmt.Sprint(finishedEvents), "-step", finishedStep.String()}
	if os.Getenv("TROUBLE") != "chunked" {
		flags = append(flags, "-until-close")
	}
	for range finishedReplicas {
		if _, err := d.startReplica("model", oldVersion, flags...); err != nil {
			return false, err
		}
	}
	d.configure(route(streamPath, "streaming", "model", streamRest))
	if err := d.startNodes(3); err != nil {
		return false, err
	}
	d.sendStreams(func() {})
	answers := make([]*answer, finishedStreams)
	var sent sync.WaitGroup
	for index := range answers {
		sent.Go(func() { answers[index] = d.finish(index) })
	}
	sent.Wait()
	served := 0
	for _, received := range answers {
		if received != nil && received.status == http.StatusOK && received.complete {
			served++
		}
	}
	d.note("%d of %d streams were answered as complete", served, len(answers))
	return served == len(answers), nil
}

// finish sends a stream and takes it up after its last event, and returns the last answer. It
// returns nil if there was none.
func (d *deployment) finish(index int) *answer {
	id, question := d.newID(), fmt.Sprintf("question %d", index)
	fields := turnFields("p" + id)
	first, second := d.nodes[index%len(d.nodes)], d.nodes[(index+1)%len(d.nodes)]
	if !d.trouble {
		return d.send(first, id, streamPath+"turn", fields, question)
	}
	d.note("client: request %s sent to %s: %s %v", id, first.name, streamPath, fields)
	events, err := readWhole(first.clients, requestText(id, streamPath+"turn", fields, question), finishedEvents)
	d.note("client: request %s answered: %d events, then its connection breaks, %v", id, events, err)
	if events < finishedEvents {
		return nil
	}
	fields[names.LastEvent], fields[names.Resumes] = strconv.Itoa(events), id
	received := d.send(second, d.newID(), streamPath+"turn", fields, question)
	d.note("client: request %s: status %d, %q", received.id, received.status, received.body)
	return received
}

// readWhole sends a request and breaks the connection once it has read a number of whole events.
func readWhole(address, request string, count int) (events int, err error) {
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer standin.ResetConnection(connection)
	if _, err := io.WriteString(connection, request); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0, err
	}
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", response.StatusCode)
	}
	body := bufio.NewReader(response.Body)
	for events < count {
		line, err := body.ReadString('\n')
		if err != nil {
			return events, err
		}
		if line == "\n" {
			events++
		}
	}
	return events, nil
}
