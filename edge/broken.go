package edge

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/internal/wait"
	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/upstream"
)

// brokenRun is a run without a whole answer.
type brokenRun struct {
	request *requestState
	replica replica.Entry
	sentAt  time.Time
	cause   error
	// host is the host of the request, and healthPath that of the replica's service.
	host       string
	healthPath string
}

// newBrokenRun describes the end of a run.
func (n *Node) newBrokenRun(r *requestState, entry replica.Entry, sentAt time.Time, cause error) *brokenRun {
	broken := &brokenRun{request: r, replica: entry, sentAt: sentAt, cause: cause, host: r.exchange.Host}
	if table := n.routes.Current(); table != nil {
		broken.healthPath = table.Services[entry.Service].HealthPath
	}
	return broken
}

// brokeOff reports whether the run ended because the replica's side closed or reset the
// connection, as it does when its process ends.
func (b *brokenRun) brokeOff() bool {
	return upstream.BrokeOff(b.cause) && b.request.exchange.Cancel.Cause() == nil
}

// Probes of a replica's process.
const (
	// maxProbes is how often a replica is probed that resets the connections of probes too.
	maxProbes    = 3
	probePause   = 100 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
)

// probeProcess determines whether the process of a replica runs by its answer to a request for
// its health: another process at its address answers that it is not the one.
func (n *Node) probeProcess(broken *brokenRun) upstream.Process {
	if broken.healthPath == "" || !n.rejectsOthers(broken.replica) {
		return upstream.ProcessUnknown
	}
	fields := appendField(nil, n.adapter.Names.ExpectReplica, string(broken.replica.ID))
	for range maxProbes {
		request := &upstream.Request{
			Method: fasthttp.MethodGet, Target: broken.healthPath, Host: broken.host, Fields: fields, Deadline: time.Now().Add(probeTimeout),
		}
		response, err := n.pool.Send(targetOf(broken.replica), request, &upstream.Cancel{})
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return upstream.ProcessEnded
		case err == nil && n.misdirected(response):
			response.Discard()
			return upstream.ProcessEnded
		case err == nil:
			response.Discard()
			return upstream.ProcessLives
		}
		if !wait.For(n.ctx, probePause) {
			break
		}
	}
	return upstream.ProcessUnknown
}

// rejectsOthers reports whether any other process at the replica's address rejects requests for
// the replica. Replicas that may start again under their ID report when they started.
func (n *Node) rejectsOthers(entry replica.Entry) bool {
	return n.adapter.Names.ExpectReplica != "" && entry.Incarnation == 0
}

// checkReplica determines whether the replica of a run that broke off has ended, and logs it.
func (n *Node) checkReplica(f *flight, broken *brokenRun) {
	n.run(func(context.Context) {
		start := time.Now()
		process := n.pool.CheckProcess(targetOf(broken.replica), broken.sentAt)
		if process == upstream.ProcessUnknown {
			process = n.probeProcess(broken)
		}
		n.metrics.runBrokeOff(process)
		n.logger.Info().Str("request", broken.request.id).Str("fingerprint", broken.request.fingerprint.String()).
			Str("replica", string(broken.replica.ID)).Uint64("incarnation", broken.replica.Incarnation).Str("process", string(process)).Dur("ranFor", start.Sub(broken.sentAt)).
			Dur("took", time.Since(start)).Err(broken.cause).Msg("request: run broke off")
		if f != nil {
			n.replicaChecked(f, process)
		}
	})
}
