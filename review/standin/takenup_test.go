//go:build review

package standin

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The case of streams that clients take up again.
const (
	takenUpStreams  = 24
	takenUpReplicas = 6
	// receivedBefore is how many events a client has when the node is killed.
	receivedBefore = 5
	turnTimeout    = 4 * time.Second
	// minimumTakenUp is the number of streams from which on the rule binds.
	minimumTakenUp = 12
	newStreams     = 24
)

// takenUp: programs of two turns have the budget that two turns may generate. A node is killed in
// the middle of their second turns, and their clients take these up again at the other nodes.
// They have to go on at least half as often as new streams begin there. With TROUBLE=loose the
// programs have four times that budget.
func takenUp(d *deployment) (held bool, err error) {
	for range takenUpReplicas {
		if _, err := d.startReplica("model", oldVersion, "-events", fmt.Sprint(streamEvents), "-step", streamStep.String()); err != nil {
			return false, err
		}
	}
	d.configure(route(streamPath, "streaming", "model", streamRest))
	if err := d.startNodes(3); err != nil {
		return false, err
	}
	d.sendStreams(func() {})
	streams := make([]*takenUpStream, takenUpStreams)
	var begun, done sync.WaitGroup
	begun.Add(len(streams))
	for index := range streams {
		streams[index] = &takenUpStream{first: d.newID(), fields: programFields(index)}
		done.Go(func() { streams[index].perform(d, index, begun.Done) })
	}
	begun.Wait()
	if d.trouble {
		d.killNode(d.nodes[0])
	}
	started := d.beginNew()
	done.Wait()
	return d.compareShares(streams, started), nil
}

// programFields are the header fields of a program of two turns.
func programFields(index int) map[string]string {
	fields := turnFields(fmt.Sprintf("p%04x", 0x8000+index))
	fields[names.TokenBudget] = "576"
	if os.Getenv("TROUBLE") == "loose" {
		fields[names.TokenBudget] = "2304"
	}
	return fields
}

// takenUpStream is the stream of the second turn of a program.
type takenUpStream struct {
	first  string
	fields map[string]string
	events int
	// resumed is set if the client took the stream up again, wentOn if it then got an event.
	resumed, wentOn bool
}

// perform sends both turns, and takes the second one's stream up again if it breaks off, until the
// client's time is up.
func (s *takenUpStream) perform(d *deployment, index int, begun func()) {
	var once sync.Once
	defer once.Do(begun)
	if before := d.send(d.nodes[0], d.newID(), streamPath+"turn", s.fields, "a first question"); !before.complete || before.status != http.StatusOK {
		d.note("client: the first turn before %s was not served", s.first)
		return
	}
	deadline := time.Now().Add(turnTimeout)
	d.note("client: request %s sent to %s: %s %v", s.first, d.nodes[0].name, streamPath, s.fields)
	err := readEvents(d.nodes[0].clients, requestText(s.first, streamPath+"turn", s.fields, "a question"), func(string) {
		if s.events++; s.events == receivedBefore {
			once.Do(begun)
		}
	})
	d.note("client: request %s answered: %d events, %v", s.first, s.events, err)
	for try := 0; err != nil && s.events > 0 && !s.wentOn && time.Until(deadline) > 0; try++ {
		s.resumed = true
		s.takeUp(d, d.nodes[1+(index+try)%2], time.Until(deadline))
	}
}

// takeUp sends one attempt to take the stream up, and waits as long as a refusal says.
func (s *takenUpStream) takeUp(d *deployment, n *node, left time.Duration) {
	fields := make(map[string]string, len(s.fields))
	for name, value := range s.fields {
		fields[name] = value
	}
	fields[names.LastEvent], fields[names.Resumes] = strconv.Itoa(s.events), s.first
	fields[names.Deadline] = strconv.FormatInt(left.Milliseconds(), 10)
	received := d.send(n, d.newID(), streamPath+"turn", fields, "a question")
	s.wentOn = received.status == http.StatusOK && len(received.events()) > 0
	if s.wentOn {
		return
	}
	d.note("client: not taken up: %s", strings.TrimSpace(received.body))
	wait, err := strconv.ParseFloat(received.header.Get("Retry-After"), 64)
	if err != nil {
		wait = 0.1
	}
	time.Sleep(min(time.Duration(wait*float64(time.Second)), left/3))
}

// beginNew sends new streams to the nodes that live, and returns how many begin.
func (d *deployment) beginNew() (started int) {
	answers := make([]*answer, newStreams)
	var sent sync.WaitGroup
	for index := range answers {
		sent.Go(func() {
			answers[index] = d.send(d.nodes[1+index%2], d.newID(), streamPath+"turn", programFields(takenUpStreams+index), "a question")
		})
	}
	sent.Wait()
	for _, received := range answers {
		if received.status == http.StatusOK && len(received.events()) > 0 {
			started++
		}
	}
	return started
}

// compareShares reports whether the streams that were taken up went on at least half as often as
// new ones began.
func (d *deployment) compareShares(streams []*takenUpStream, started int) (held bool) {
	resumed, wentOn := 0, 0
	for _, s := range streams {
		if s.resumed {
			resumed++
		}
		if s.wentOn {
			wentOn++
		}
	}
	d.note("taken up: %d streams, %d of them went on; new: %d streams, %d of them began", resumed, wentOn, newStreams, started)
	if resumed < minimumTakenUp {
		return true
	}
	return float64(wentOn)/float64(resumed) >= float64(started)/newStreams/2
}
