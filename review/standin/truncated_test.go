//go:build review

package standin

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// The case of answers that a crash cuts short.
const (
	plainReplicas  = 10
	plainParts     = 8
	plainStep      = 80 * time.Millisecond
	plainPerNode   = 27
	crashRounds    = 20
	beforeCrash    = 350 * time.Millisecond
	beforeRestart  = 300 * time.Millisecond
	frozenFor      = 1500 * time.Millisecond
	plainPath      = "/receipt/"
	plainRouteRest = `"timeoutMs":5000,"maxAttempts":1`
)

// truncated: in each of some rounds, one of ten replicas crashes in the middle of its answers,
// which have neither a length nor chunks, and starts again. No client may get a part of an answer
// as a complete success. If no round breaks the rule, another one follows in which one of the
// three nodes stands still while the replica crashes and starts again.
func truncated(d *deployment) (held bool, err error) {
	for range plainReplicas {
		flags := []string{"-parts", fmt.Sprint(plainParts), "-step", plainStep.String(), "-until-close"}
		if _, err := d.startReplica("plain", "1", flags...); err != nil {
			return false, err
		}
	}
	d.configure(route(plainPath, "unsafe", "plain", plainRouteRest))
	if err := d.startNodes(3); err != nil {
		return false, err
	}
	broken := 0
	for round := range crashRounds {
		if d.countTruncated(d.sendReceipts(func() { d.crashAndRestart(d.replicas[round%plainReplicas], nil) })) > 0 {
			broken++
		}
	}
	d.note("a replica crashed alone: %d of %d rounds broke the rule", broken, crashRounds)
	if broken > 0 || !d.trouble {
		return broken == 0, nil
	}
	answers := d.sendReceipts(func() { d.crashAndRestart(d.replicas[0], d.nodes[0]) })
	return d.countTruncated(answers) == 0, nil
}

// crashAndRestart kills a replica in the middle of its answers and starts it again. If frozen is
// not nil, that node stands still meanwhile.
func (d *deployment) crashAndRestart(crashed *replica, frozen *node) {
	if !d.trouble {
		return
	}
	time.Sleep(beforeCrash)
	if frozen != nil {
		d.signal(frozen, syscall.SIGSTOP)
		defer d.signal(frozen, syscall.SIGCONT)
		defer time.Sleep(frozenFor - beforeRestart)
	}
	d.crash(crashed)
	time.Sleep(beforeRestart)
	if err := d.runReplica(crashed); err != nil {
		d.note("replica %s was not started again: %v", crashed.id, err)
	}
}

// sendReceipts sends requests to all nodes at once, and calls during while they run.
func (d *deployment) sendReceipts(during func()) []*answer {
	answers := make([]*answer, plainPerNode*len(d.nodes))
	var sent sync.WaitGroup
	for index := range answers {
		sent.Go(func() {
			n := d.nodes[index%len(d.nodes)]
			answers[index] = d.send(n, d.newID(), plainPath+"post", map[string]string{names.Deadline: "5000"}, "receipt")
		})
	}
	during()
	sent.Wait()
	return answers
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
