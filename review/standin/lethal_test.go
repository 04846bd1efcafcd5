//go:build review

package standin

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// The case of a request that ends its replicas.
const (
	lethalReplicas = 12
	lethalPath     = "/lookup/"
	lethalRest     = `"timeoutMs":3000,"maxAttempts":2`
	lethalTries    = 6
	// lethalBody makes a replica's process end in the middle of its answer.
	lethalBody = "lethal"
	// endsLimit is the number of replicas that may end under one request.
	endsLimit = 3
)

// lethal: a replica ends whenever it runs a certain request, whose client tries it again at other
// nodes. Nothing of it may be sent after three replicas have ended.
func lethal(d *deployment) (held bool, err error) {
	for range lethalReplicas {
		if _, err := d.startReplica("plain", "1", "-parts", fmt.Sprint(plainParts), "-step", "20ms"); err != nil {
			return false, err
		}
	}
	d.configure(route(lethalPath, "safe", "plain", lethalRest))
	if err := d.startNodes(3); err != nil {
		return false, err
	}
	d.warmUp(48)
	for _, r := range d.replicas {
		if err := d.connectOthers(r); err != nil {
			return false, err
		}
	}
	d.warmUp(96)
	body := "harmless"
	if d.trouble {
		body = lethalBody
	}
	for try := range lethalTries {
		received := d.send(d.nodes[try%len(d.nodes)], d.newID(), lethalPath+"item", map[string]string{names.Deadline: "3000"}, body)
		if received.status == 200 {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	var ended []string
	for _, r := range d.replicas {
		if !accepts(r.address) {
			ended = append(ended, r.id)
		}
	}
	d.note("%d replicas ended under the request: %s", len(ended), strings.Join(ended, ", "))
	return len(ended) <= endsLimit, nil
}

// warmUp sends requests through all nodes at once, which then have idle connections to the
// replicas.
func (d *deployment) warmUp(requests int) {
	var sent sync.WaitGroup
	for index := range requests {
		sent.Go(func() {
			d.send(d.nodes[index%len(d.nodes)], d.newID(), lethalPath+"other", map[string]string{names.Deadline: "3000"}, fmt.Sprint("warm-up ", index))
		})
	}
	sent.Wait()
}
