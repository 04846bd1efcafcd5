//go:build review

package standin

import (
	"fmt"
	"net/http"
	"time"
)

// shortRounds is the number of rounds of the scenario of streams.
const shortRounds = 10

// truncatedStreams is like truncated for streams, whose replicas delimit them by the end of the
// connection alone. No stream may end as complete ahead of its last event.
func truncatedStreams(d *deployment) (held bool, err error) {
	for range modelReplicas {
		flags := []string{"-events", fmt.Sprint(streamEvents), "-step", "50ms", "-until-close"}
		r, err := d.startReplica("model", oldVersion, flags...)
		if err != nil {
			return false, err
		}
		if err := d.connectOthers(r); err != nil {
			return false, err
		}
	}
	d.configure(route(streamPath, "streaming", "model", streamRest))
	if err := d.startNodes(3); err != nil {
		return false, err
	}
	broken := 0
	for round := range shortRounds {
		answers := d.sendStreams(func() {
			time.Sleep(beforeCrash)
			if d.trouble {
				crashed := d.replicas[round%modelReplicas]
				d.crash(crashed)
				time.Sleep(beforeRestart)
				_ = d.runReplica(crashed)
				_ = d.connectOthers(crashed)
			}
		})
		if d.countShort(answers) > 0 {
			broken++
		}
	}
	d.note("%d of %d rounds broke the rule", broken, shortRounds)
	return broken == 0, nil
}

// countShort returns how many streams ended as complete without their last events.
func (d *deployment) countShort(answers []*answer) (count int) {
	for _, received := range answers {
		if events := len(received.events()); received.status == http.StatusOK && received.complete && events < streamEvents {
			count++
			d.note("ORDER: the stream of request %s ended as complete after %d of %d events", received.id, events, streamEvents)
		}
	}
	return count
}
