//go:build review

package standin

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case of answers that a crash cuts short.
const (
	plainReplicas = 10
	plainParts    = 8
	plainStep     = 80 * time.Millisecond
	plainPerNode  = 27
	crashRounds   = 20
	// otherConnections is the number of connections that other callers keep to each replica. Its
	// service accepts 110 in all.
	otherConnections = 64
	beforeCrash      = 350 * time.Millisecond
	beforeRestart    = 300 * time.Millisecond
	frozenFor        = 1500 * time.Millisecond
	plainPath        = "/receipt/"
	plainRouteRest   = `"timeoutMs":5000,"maxAttempts":1`
)

// truncated: in each of some rounds, one of ten replicas crashes in the middle of its answers,
// which have neither a length nor chunks, and starts again. No client may get a part of an answer
// as a complete success. If no round breaks the rule, another one follows in which one of the
// three nodes stands still while the replica crashes and starts again.
func truncated(d *deployment) (held bool, err error) {
	if err := d.startPlainReplicas(); err != nil {
		return false, err
	}
	d.configure(route(plainPath, "unsafe", "plain", plainRouteRest))
	if err := d.startNodes(3); err != nil {
		return false, err
	}
	broken := 0
	for range crashRounds {
		if d.countTruncated(d.sendReceipts(nil)) > 0 {
			broken++
		}
	}
	d.note("a replica crashed alone: %d of %d rounds broke the rule", broken, crashRounds)
	if broken > 0 || !d.trouble {
		return broken == 0, nil
	}
	return d.countTruncated(d.sendReceipts(d.nodes[0])) == 0, nil
}

// startPlainReplicas starts the replicas, and opens the connections of other callers to them.
func (d *deployment) startPlainReplicas() error {
	for range plainReplicas {
		r, err := d.startReplica("plain", "1", "-parts", fmt.Sprint(plainParts), "-step", plainStep.String(), "-until-close")
		if err != nil {
			return err
		}
		if err := d.connectOthers(r); err != nil {
			return err
		}
	}
	d.note("other callers keep %d connections to each replica", otherConnections)
	return nil
}

// connectOthers opens the connections of other callers to a replica's process. They stay idle
// until it ends.
func (d *deployment) connectOthers(r *replica) error {
	for _, ended := range r.others {
		_ = ended.Close()
	}
	r.others = nil
	for range otherConnections {
		other, err := net.DialTimeout("tcp", r.address, time.Second)
		if err != nil {
			return err
		}
		r.others = append(r.others, other)
	}
	return nil
}

// sendReceipts sends requests to all nodes at once. In the middle of the answers, a replica
// crashes and starts again. If frozen is not nil, that node stands still meanwhile.
func (d *deployment) sendReceipts(frozen *node) []*answer {
	answers := make([]*answer, plainPerNode*len(d.nodes))
	sentBy := make(map[*node][]string)
	var sent sync.WaitGroup
	for index := range answers {
		n, id := d.nodes[index%len(d.nodes)], d.newID()
		sentBy[n], sentBy[nil] = append(sentBy[n], id), append(sentBy[nil], id)
		sent.Go(func() {
			answers[index] = d.send(n, id, plainPath+"post", map[string]string{names.Deadline: "5000"}, "receipt")
		})
	}
	if d.trouble {
		d.crashAndRestart(sentBy[frozen], frozen)
	}
	sent.Wait()
	return answers
}

// crashAndRestart kills the replica that runs the most of some requests in the middle of its
// answers, and starts it again. If frozen is not nil, that node stands still meanwhile.
func (d *deployment) crashAndRestart(ids []string, frozen *node) {
	time.Sleep(beforeCrash)
	crashed := d.busiest(ids)
	if frozen != nil {
		d.signal(frozen, syscall.SIGSTOP)
		defer d.signal(frozen, syscall.SIGCONT)
		defer time.Sleep(frozenFor - beforeRestart)
	}
	d.crash(crashed)
	time.Sleep(beforeRestart)
	if err := d.runReplica(crashed); err != nil {
		d.note("replica %s was not started again: %v", crashed.id, err)
		return
	}
	if err := d.connectOthers(crashed); err != nil {
		d.note("replica %s: no connections of other callers: %v", crashed.id, err)
	}
}

// busiest returns the replica at which the most of some requests ran.
func (d *deployment) busiest(ids []string) *replica {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	runs := make(map[string]int)
	for _, id := range ids {
		at, _, _ := strings.Cut(d.ranAt[id], ",")
		runs[at]++
	}
	busiest := d.replicas[0]
	for _, r := range d.replicas {
		if runs[r.id] > runs[busiest.id] {
			busiest = r
		}
	}
	return busiest
}

// countTruncated returns how many complete successes lack a part of the replica's body.
func (d *deployment) countTruncated(answers []*answer) (count int) {
	succeeded := 0
	for _, received := range answers {
		if received.status != 200 || !received.complete {
			continue
		}
		succeeded++
		whole := ""
		for part := range plainParts {
			whole += plainPart(received.id, part, plainParts)
		}
		if received.body != whole {
			count++
			d.note("MIXED: request %s got a complete 200 with %d of the %d bytes of its answer: %q", received.id, len(received.body), len(whole), received.body)
		}
	}
	d.note("%d answers, %d complete with 200, %d of them cut short", len(answers), succeeded, count)
	return count
}
