//go:build review

package standin

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// The case of streams that hold events of two software versions.
const (
	modelReplicas  = 8
	streamEvents   = 24
	streamStep     = 100 * time.Millisecond
	streamRequests = 48
	streamPath     = "/chat/"
	streamRest     = `"timeoutMs":4000,"maxAttempts":1,"retain":false,"retainS":60.0,"sticky":true,"resumable":true,"gapSloMs":200`
	oldVersion     = "1.4"
	newVersion     = "1.5"
	// The times of the disruptions. A replica writes its entry within a heartbeat of its start.
	beforeStart  = 300 * time.Millisecond
	firstBeat    = 900 * time.Millisecond
	afterRestart = 200 * time.Millisecond
	beforeEnd    = 1200 * time.Millisecond
	// allowedMixed is the number of streams of two versions that the rule allows.
	allowedMixed = 2
)

// versions: one of eight replicas crashes and starts again under its id with newer software, whose
// entry it writes within a heartbeat. Streams begin there before that, and it crashes again. No more
// than two streams may hold events of both versions. With TROUBLE=prompt it writes its entry at once.
func versions(d *deployment) (held bool, err error) {
	for range modelReplicas {
		if _, err := d.startReplica("model", oldVersion, "-events", fmt.Sprint(streamEvents), "-step", streamStep.String()); err != nil {
			return false, err
		}
	}
	d.configure(route(streamPath, "streaming", "model", streamRest))
	if err := d.startNodes(3); err != nil {
		return false, err
	}
	if mixed := d.countMixed(d.sendStreams(func() {})); mixed > 0 {
		return false, fmt.Errorf("%d streams are mixed before any disruption", mixed)
	}
	if !d.trouble {
		return d.countMixed(d.sendStreams(func() {})) <= allowedMixed, nil
	}
	upgraded := d.replicas[3]
	d.crash(upgraded)
	time.Sleep(beforeStart)
	upgraded.version = newVersion
	if os.Getenv("TROUBLE") != "prompt" {
		upgraded.flags = append(upgraded.flags, "-first-beat", firstBeat.String())
	}
	if err := d.runReplica(upgraded); err != nil {
		return false, err
	}
	time.Sleep(afterRestart)
	answers := d.sendStreams(func() {
		time.Sleep(beforeEnd)
		d.crash(upgraded)
	})
	return d.countMixed(answers) <= allowedMixed, nil
}

// sendStreams sends turns of as many programs to the nodes at once, and calls during while they
// run.
func (d *deployment) sendStreams(during func()) []*answer {
	answers := make([]*answer, streamRequests)
	var sent sync.WaitGroup
	for index := range answers {
		sent.Go(func() {
			id := d.newID()
			answers[index] = d.send(d.nodes[index%len(d.nodes)], id, streamPath+"turn", turnFields("p"+id), "a question")
		})
	}
	during()
	sent.Wait()
	return answers
}

// turnFields are the header fields of a turn of a program.
func turnFields(program string) map[string]string {
	return map[string]string{
		names.Deadline: "4000", names.Program: program, names.Session: program, names.Finish: "9000", "X-Model": "m",
		names.TokenBudget: "2304", names.TokenCounts: "40,288", names.PromptPrefix: "5c1e07a2:30," + program[1:] + ":10",
	}
}

// countMixed returns how many streams hold events of both versions.
func (d *deployment) countMixed(answers []*answer) (count int) {
	for _, received := range answers {
		data := strings.Join(received.events(), " ")
		if strings.Contains(data, oldVersion+"-") && strings.Contains(data, newVersion+"-") {
			count++
			d.note("ORDER: the stream of request %s holds events of two versions: %s", received.id, data)
		}
	}
	d.note("%d streams, %d of them of two versions", len(answers), count)
	return count
}
