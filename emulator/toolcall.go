package emulator

import (
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
)

// toolTimeout is how long a node waits for the answer to a tool call.
const toolTimeout = 30 * time.Second

// sendTool sends a tool call. A call that must not be repeated is not sent again
// once it may have reached the service.
func (n *node) sendTool(placed *call) {
	host := n.run.toolByID[placed.backend]
	attempt := placed.attempt
	n.run.measure.placed(placed)
	n.run.clock.after(toolTimeout, func() { n.toolTimedOut(placed, attempt) })
	if n.run.links.isBlocked(n.zone, host.machine.Zone) {
		n.run.clock.after(failureDetectionDelay, func() { n.attemptNotSent(placed, attempt, host.machine.ID) })
		return
	}
	n.run.clock.after(n.run.links.delay(n.zone, host.machine.Zone), func() {
		if placed.closed || placed.attempt != attempt {
			return
		}
		n.run.check.arrives(n.run, placed, host.leavingSince)
		placed.sent = placed.sent || !host.down
		host.start(placed)
	})
}

// attemptNotSent retries a call unless it is closed or a later attempt has been
// made.
func (n *node) attemptNotSent(placed *call, attempt int, backend machine.ID) {
	if !placed.closed && placed.attempt == attempt {
		n.releaseAndRetry(placed, backend)
	}
}

// toolFinished processes the answer of a tool service.
func (n *node) toolFinished(ended *call) {
	if ended.closed {
		return
	}
	n.policy.Finished(n.run.clock.now, ended.ref(), ended.backend, api.Usage{}, 0)
	n.markDirty()
	ended.agent.settleTool(ended)
	n.finish(ended, api.StatusSucceeded, "")
}

// toolTimedOut ends an attempt at a tool call that got no answer. A repeatable
// call is retried; otherwise its outcome is unknown.
func (n *node) toolTimedOut(waiting *call, attempt int) {
	if waiting.closed || waiting.attempt != attempt {
		return
	}
	n.policy.Finished(n.run.clock.now, waiting.ref(), waiting.backend, api.Usage{}, 0)
	n.markDirty()
	if waiting.step.Repeatable {
		n.retry(waiting, waiting.backend)
		return
	}
	n.finish(waiting, api.StatusOutcomeUnknown, api.CodeOutcomeUnknown)
}
