package edge

import (
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/internal/wait"
	"birchwood.example/birchwood/liveness"
	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/upstream"
)

// probeTimeout bounds a request for a replica's health, which may wait for a slot there.
const probeTimeout = 500 * time.Millisecond

// Errors of bodies that end with their connection.
var (
	errReplicaEnded   = errors.New("the replica has ended")
	errReplicaUnknown = errors.New("the replica is not shown to live")
)

// watch gathers evidence about the process of a doubt's replica until its outcome is final.
func (n *Node) watch(d *doubt) {
	watched := n.processes.add(d)
	if watched == nil {
		return
	}
	n.run(func(ctx context.Context) { n.checkProcess(ctx, d.entry.ID, watched) })
}

// checkProcess decides the doubts about the processes of a replica.
func (n *Node) checkProcess(ctx context.Context, id replica.ID, watched *watchedProcess) {
	for {
		step, about, until, abandoned := n.processes.next(time.Now(), id)
		for _, d := range abandoned {
			n.logger.Warn().Str("replica", string(id)).Uint64("incarnation", d.entry.Incarnation).Dur("after", time.Since(d.At())).
				Msg("replica: not known whether its process ended")
		}
		switch step {
		case stepEnd:
			return
		case stepConnect:
			n.connect(about)
		case stepProbe:
			n.probe(about)
		case stepWait:
			if !waitUntil(ctx, until, watched.added) {
				return
			}
		}
	}
}

// waitUntil waits for a time or a signal. It returns false if the context is done.
func waitUntil(ctx context.Context, until time.Time, signal <-chan struct{}) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-signal:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// connect opens a connection to see whether a process listens at the replica's address. That one
// accepts shows nothing.
func (n *Node) connect(d *doubt) {
	entry := d.entry
	listed, known := n.replicas.lookup(entry.ID)
	if known && listed.Incarnation != entry.Incarnation {
		n.processGone(entry, "another process is listed")
		return
	}
	if !known && !d.servesUnlisted {
		n.entryGone(entry)
		return
	}
	if err := n.pool.Connect(targetOf(entry), time.Now().Add(probeTimeout)); upstream.Refused(err) {
		n.processGone(entry, "it refuses connections")
	}
}

// probe asks the replica for its health, on the connection that was opened first.
func (n *Node) probe(d *doubt) {
	request := n.healthRequest(d.entry, d.host)
	if request == nil {
		n.connect(d)
		return
	}
	sentAt := time.Now()
	response, err := n.pool.SendOnOldest(targetOf(d.entry), request, &upstream.Cancel{})
	n.probed(d.entry, sentAt, response, err)
}

// healthRequest returns a request for the health of a replica, or nil if its service has none.
func (n *Node) healthRequest(entry replica.Entry, host string) *upstream.Request {
	table := n.routes.Current()
	if table == nil || table.Services[entry.Service].HealthPath == "" {
		return nil
	}
	return &upstream.Request{
		Method: fasthttp.MethodGet, Target: table.Services[entry.Service].HealthPath, Host: host,
		Fields: appendField(nil, n.adapter.Names.ExpectReplica, string(entry.ID)), Deadline: time.Now().Add(probeTimeout),
	}
}

// probed takes the result of a probe into account, and reports whether the replica's process
// answered.
func (n *Node) probed(entry replica.Entry, sentAt time.Time, response *upstream.Response, err error) (answered bool) {
	if err != nil {
		if upstream.Refused(err) {
			n.processGone(entry, "it refuses connections")
		}
		return false
	}
	n.replicaAnswered(entry, sentAt, response)
	response.Discard()
	return !n.misdirected(response)
}

// replicaAnswered takes into account that a replica answered a request.
func (n *Node) replicaAnswered(entry replica.Entry, sentAt time.Time, response *upstream.Response) {
	n.processes.hear(entry.ID, time.Now())
	if n.misdirected(response) {
		n.processGone(entry, "another process answers at its address")
		return
	}
	sign := liveness.Sign{ConnectedAt: response.ConnectedAt(), SentAt: sentAt, Unique: n.rejectsOthers(entry)}
	report(n.processes.observe(entry, func(d *doubt) { d.Observe(sign) }))
}

// entryGone takes into account that a replica is no longer listed.
func (n *Node) entryGone(entry replica.Entry) {
	report(n.processes.observe(entry, func(d *doubt) {
		if !d.servesUnlisted {
			d.ObserveGone()
		}
	}))
}

// processGone takes into account that the process of an entry is no longer there.
func (n *Node) processGone(entry replica.Entry, reason string) {
	reports := n.processes.observe(entry, func(d *doubt) { d.ObserveGone() })
	if len(reports) == 0 {
		return
	}
	n.logger.Info().Str("replica", string(entry.ID)).Uint64("incarnation", entry.Incarnation).Int("runs", len(reports)).Str("reason", reason).
		Msg("replica: process ended")
	report(reports)
}

// report makes the reports of new outcomes.
func report(reports []func()) {
	for _, report := range reports {
		report()
	}
}

// rejectsOthers reports whether any other process at the replica's address rejects requests for
// the replica. Replicas that may start again under their ID report when they started.
func (n *Node) rejectsOthers(entry replica.Entry) bool {
	return n.adapter.Names.ExpectReplica != "" && entry.Incarnation == 0
}

// survived returns nil if the process of a replica survived the end of an exchange.
func (n *Node) survived(entry replica.Entry, host string, closed upstream.ClosedExchange) error {
	if closed.Witness != nil && n.witnessed(entry, host, &closed) {
		return nil
	}
	outcome := make(chan liveness.Outcome, 1)
	n.watch(&doubt{
		Doubt: liveness.NewDoubt(closed.Since, closed.At), entry: entry, host: host, counted: true, servesUnlisted: true,
		decided: func(decided liveness.Outcome, _ uint32) {
			select {
			case outcome <- decided:
			default:
			}
		},
	})
	ctx, cancel := context.WithDeadline(n.ctx, closed.Deadline)
	defer cancel()
	select {
	case decided := <-outcome:
		if decided.Lives() {
			return nil
		}
		return errReplicaEnded
	case <-ctx.Done():
		return errReplicaUnknown
	}
}

// witnessed reports whether the process answers on the exchange's witness.
func (n *Node) witnessed(entry replica.Entry, host string, closed *upstream.ClosedExchange) bool {
	settled := closed.At.Add(liveness.SettleDelay)
	request := n.healthRequest(entry, host)
	if request == nil || settled.After(closed.Deadline) || !wait.Until(n.ctx, settled) {
		return false
	}
	sentAt := time.Now()
	request.Deadline = minTime(closed.Deadline, sentAt.Add(probeTimeout))
	response, err := closed.Witness.Send(request)
	return n.probed(entry, sentAt, response, err)
}
