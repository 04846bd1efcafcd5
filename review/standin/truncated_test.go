//go:build review

package standin

import (
	"sync"
	"syscall"
	"time"
)

// The case of answers that a crash cuts short.
const (
	plainReplicas  = 10
	plainParts     = 8
	plainStep      = 100 * time.Millisecond
	plainRequests  = 40
	beforeFreeze   = 350 * time.Millisecond
	frozenFor      = 1500 * time.Millisecond
	beforeCrash    = 100 * time.Millisecond
	beforeRestart  = 200 * time.Millisecond
	plainPath      = "/receipt/"
	plainRouteRest = `"timeoutMs":5000,"maxAttempts":1`
)

// truncated: one of three nodes stands still. Meanwhile one of ten replicas crashes in the
// middle of its answers, which have neither a length nor chunks, and starts again under its id.
// No client may get a part of an answer as a complete success.
func truncated(d *deployment) (held bool, err error) {
	for range plainReplicas {
		if _, err := d.startReplica("plain", "1", "-parts", "8", "-step", plainStep.String(), "-until-close"); err != nil {
			return false, err
		}
	}
	d.configure(route(plainPath, "unsafe", "plain", plainRouteRest))
	if err := d.startNodes(3); err != nil {
		return false, err
	}
	answers := d.sendReceipts(d.nodes[0], func() error { return nil })
	if broken := d.countTruncated(answers); broken > 0 {
		return false, nil
	}
	if !d.trouble {
		return d.countTruncated(d.sendReceipts(d.nodes[0], func() error { return nil })) == 0, nil
	}
	var failure error
	answers = d.sendReceipts(d.nodes[0], func() error { failure = d.crashWhileFrozen(d.nodes[0], d.replicas[3]); return failure })
	return d.countTruncated(answers) == 0, failure
}

// crashWhileFrozen freezes a node for a while, in which a replica crashes and starts again.
func (d *deployment) crashWhileFrozen(frozen *node, crashed *replica) error {
	time.Sleep(beforeFreeze)
	d.signal(frozen, syscall.SIGSTOP)
	wake := time.Now().Add(frozenFor)
	time.Sleep(beforeCrash)
	d.crash(crashed)
	time.Sleep(beforeRestart)
	err := d.runReplica(crashed)
	time.Sleep(time.Until(wake))
	d.signal(frozen, syscall.SIGCONT)
	return err
}

// sendReceipts sends requests to a node at once, and calls during while they run.
func (d *deployment) sendReceipts(n *node, during func() error) []*answer {
	answers := make([]*answer, plainRequests)
	var sent sync.WaitGroup
	for index := range answers {
		sent.Go(func() {
			answers[index] = d.send(n, d.newID(), plainPath+"post", map[string]string{"X-Deadline-Ms": "5000"}, "receipt")
		})
	}
	_ = during()
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
