package edge

import (
	"context"
	"errors"
	"time"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/dispatch"
	"birchwood.example/birchwood/internal/wait"
	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/ownership"
	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/routing"
)

const (
	// reportOriginTimeout bounds the attempts to report where a stream began. Streams are
	// seldom longer.
	reportOriginTimeout = 5 * time.Second
	// maxOriginWait is how long the first event waits until the owner knows the origin.
	maxOriginWait = 50 * time.Millisecond
	// restartDelay is the retry delay of a request whose stream cannot be resumed: a client
	// that begins anew can be served at once.
	restartDelay = 50 * time.Millisecond
	// freshListAge is the age up to which this node counts as following the list of replicas. A
	// version that joined in that time may be missing in it.
	freshListAge = 3 * time.Second
)

// originSource is how the origin of a stream became known.
type originSource string

// The sources of an origin.
const (
	// sourceOwner: the partition's owner had a note of it.
	sourceOwner originSource = "owner"
	// sourceOnlyVersion: replicas of one version alone have served for as long as a stream
	// can be resumed, by this node's list and by the store's records.
	sourceOnlyVersion originSource = "only version"
)

// errOriginUnknown means that the version that began a stream is not known.
var errOriginUnknown = errors.New("the version that began it is not known")

// errOriginElsewhere means that the route no longer leads to the service that began the stream.
var errOriginElsewhere = errors.New("its route leads to another service")

// resumesStream reports whether the request resumes a stream of which its client has received
// events.
func (r *requestState) resumesStream() bool {
	return r.kind() == routing.KindStream && r.route.Resumable && r.resumedAfter != ""
}

// fixOrigin decides which version of which service may run a request for a stream. A resumed
// stream goes on where it began. A new one may begin anywhere, and its origin is fixed here
// only if all replicas have the same version. If fixOrigin returns false, the request has been
// answered.
func (n *Node) fixOrigin(ctx context.Context, r *requestState, table *routing.Table) bool {
	if !r.resumesStream() {
		n.expectOrigin(r)
		return true
	}
	origin, err := n.findOrigin(ctx, r)
	if errors.Is(err, errNoOwner) {
		n.refuse(r, dispatch.Refusal{Cause: dispatch.CauseNoOwner, Lasted: time.Since(r.exchange.Arrived)}, err.Error())
		return false
	}
	if err == nil && !r.route.Serves(origin.Service) {
		err = errOriginElsewhere
	}
	if err == nil {
		r.origin, r.service = origin, origin.Service
		if unservable := n.replicas.servable(n.selectionRequest(r)); errors.Is(unservable, replica.ErrNoVersion) {
			err = unservable
		}
	}
	if errors.Is(err, replica.ErrNoVersion) && !n.versionGone(ctx, replica.ServiceVersion{Service: origin.Service, Version: origin.Version}) {
		n.refuse(r, dispatch.Refusal{Cause: dispatch.CauseNoReplica, EndsIn: retrySoon}, "the replicas of the stream's version are not known here yet")
		return false
	}
	if err != nil {
		n.refuse(r, dispatch.Refusal{Cause: dispatch.CauseNotResumable, EndsIn: restartDelay},
			"the stream cannot be resumed, send the request without "+n.adapter.Names.LastEvent+": "+err.Error())
		return false
	}
	r.limitToRest(table.Services[r.service].TokensPerEvent)
	return true
}

// limitToRest lowers the most tokens that a resumed stream may use by those that its client is
// certain to have received, and sets the most that it can have received. IDs of events rise, but
// they need not count the events: after any ID the client has received one event or more, and no
// more events than from ID 0 on.
func (r *requestState) limitToRest(tokensPerEvent int) {
	mostTokens := r.maxTokens
	r.receivedTokens = mostTokens
	if mostTokens == 0 || tokensPerEvent <= 0 {
		return
	}
	r.maxTokens = max(mostTokens-tokensPerEvent, min(tokensPerEvent, mostTokens))
	lastID, err := parseCount(r.resumedAfter)
	if err != nil {
		return
	}
	events := min(lastID, mostTokens/tokensPerEvent) + 1
	r.receivedTokens = min(mostTokens, events*tokensPerEvent)
}

// findOrigin returns the origin of the stream that the request resumes.
func (n *Node) findOrigin(ctx context.Context, r *requestState) (*ledger.StreamOrigin, error) {
	if attempt := r.resumedTurnID(); attempt != "" {
		search := &requestState{exchange: r.exchange}
		request := coordinator.Request{Origin: &coordinator.OriginRequest{Attempt: attempt}}
		reply, err := n.callOwner(ctx, search, n.originPartition(r, attempt), request, ownerLookupTimeout)
		if err != nil {
			return nil, err
		}
		if reply.Origin != nil {
			r.originSource = sourceOwner
			return reply.Origin, nil
		}
	}
	service, single := r.route.SingleService()
	version, only, throughout := n.replicas.onlyVersion(service)
	if !single || !only {
		return nil, errOriginUnknown
	}
	// The owner of a named attempt would know an origin that this node has not seen.
	if r.resumed != "" && !(throughout && n.seesAllReplicas()) {
		return nil, errOriginUnknown
	}
	if !n.servedAlone(ctx, replica.ServiceVersion{Service: service, Version: version}) {
		return nil, errOriginUnknown
	}
	r.originSource = sourceOnlyVersion
	return &ledger.StreamOrigin{Service: service, Version: version}, nil
}

// seesAllReplicas reports whether this node's list of replicas is complete and fresh.
func (n *Node) seesAllReplicas() bool {
	return n.holdsAllReplicas.Load() && n.listAge() <= freshListAge
}

// originPartition returns the partition whose owner knows the origin of an attempt's stream:
// that of the program, or one by the attempt for requests without a program.
func (n *Node) originPartition(r *requestState, attempt string) int {
	if r.needsOwner() {
		return r.partition
	}
	return ownership.PartitionOf(attempt, n.settings.Partitions)
}

// expectOrigin fixes the origin of a new stream if all replicas have the same version. The
// owner is then informed with the request for admission.
func (n *Node) expectOrigin(r *requestState) {
	if !r.route.Resumable || !r.needsOwner() {
		return
	}
	if version, same := n.replicas.listedVersion(r.service); same {
		r.origin = &ledger.StreamOrigin{Service: r.service, Version: version}
	}
}

// beginWithAdmission returns the stream that begins with the admission of the request's turn,
// or nil if the request resumes one or its origin is not fixed yet.
func (r *requestState) beginWithAdmission() *ledger.Stream {
	if r.origin == nil || r.resumesStream() {
		return nil
	}
	return &ledger.Stream{Attempt: r.turnID(), Origin: *r.origin}
}

// bindOrigin makes the replica that sent the first event of a stream its origin, and reports
// it to the owner. It does nothing if the stream has an origin. The returned channel is closed
// once the owner is informed; it is nil if there is nothing to report.
func (n *Node) bindOrigin(r *requestState, entry replica.Entry) (reported <-chan struct{}) {
	if r.origin != nil || !r.route.Resumable {
		return nil
	}
	done := make(chan struct{})
	r.origin = &ledger.StreamOrigin{Service: entry.Service, Version: entry.Version}
	search := &requestState{exchange: r.exchange}
	stream := &ledger.Stream{Attempt: r.turnID(), Origin: *r.origin}
	partition := n.originPartition(r, stream.Attempt)
	n.run(func(ctx context.Context) {
		reportCtx, cancel := context.WithTimeout(ctx, reportOriginTimeout)
		defer cancel()
		for reportCtx.Err() == nil {
			reply, err := n.callOwnerOnce(reportCtx, search, partition, coordinator.Request{Begin: stream})
			if err == nil && reply.Status == coordinator.ReplyDone {
				close(done)
				return
			}
			wait.For(reportCtx, retrySoon)
		}
		n.metrics.originNotReported()
		n.logger.Warn().Str("attempt", stream.Attempt).Int("partition", partition).Msg("ledger: origin of a stream not reported")
	})
	return done
}

// awaitOrigin waits until the owner knows the stream's origin, for at most maxOriginWait: a
// client that resumes the stream without that is refused.
func (t *turnRun) awaitOrigin(ctx context.Context) {
	if t.originReported == nil {
		return
	}
	timer := time.NewTimer(maxOriginWait)
	defer timer.Stop()
	select {
	case <-t.originReported:
	case <-timer.C:
	case <-ctx.Done():
	}
	t.originReported = nil
}

// awaitVersionRecorded waits until the version that begins the stream is recorded.
func (t *turnRun) awaitVersionRecorded(ctx context.Context) {
	r := t.request
	if r.origin == nil || !r.route.Resumable || r.resumesStream() {
		return
	}
	t.node.awaitVersionRecorded(ctx, replica.ServiceVersion{Service: r.origin.Service, Version: r.origin.Version})
}

func (r *replicas) servable(request *replica.Request) error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.set.Servable(time.Now(), request)
}

func (r *replicas) listedVersion(service string) (version string, same bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.set.ListedVersion(service)
}

// onlyVersion returns the one version that the replicas of a service had for as long as a
// stream can be resumed, as far as this node has seen; throughout reports whether it has known the
// service for as long.
func (r *replicas) onlyVersion(service string) (version string, only, throughout bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	version, since, only := r.set.OnlyVersion(now, service, ledger.StreamLifetime)
	return version, only, now.Sub(since) >= ledger.StreamLifetime
}
