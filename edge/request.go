package edge

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/dispatch"
	"birchwood.example/birchwood/ingress"
	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/quarantine"
	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/routing"
	"birchwood.example/birchwood/tenant"
	"birchwood.example/birchwood/zone"
)

// requestState is the state of one client request while this node handles it.
type requestState struct {
	exchange *ingress.Exchange
	// handledAt is when the node began to handle the request, which it had read.
	handledAt time.Time
	id        string
	route     *routing.Route
	version   uint64
	service   string
	deadline  time.Time
	prompt    []replica.Part
	// tenant is the tenant that the client's key identifies; nil where no key is needed.
	tenant *tenant.Tenant
	// scope is the namespace of the request's ids.
	scope tenant.Scope
	// proofAge is the age of this node's freshness proof of the keys at the time the key
	// was looked up.
	proofAge time.Duration
	// fingerprint is common to all tries of the request.
	fingerprint quarantine.Fingerprint
	// constraint limits the zones in which the request may be served and its data stored.
	constraint zone.Constraint
	// charge is how the request counts towards its tenant's rate limit; nil where there is
	// none.
	charge *charge
	// coldGrant is the grant for the last attempt at a cold replica, which counts towards
	// that replica's rate; nil where there is none.
	coldGrant *coordinator.Charge

	// The fields below record the handling, for the log.
	choice   replica.Choice
	attempts int
	// repeats counts the hedged attempts, sent while a late one was in flight.
	repeats int
	// attemptInFlight is set if an attempt is in flight while the next replica is selected.
	attemptInFlight bool
	// sentAt is when the last attempt began.
	sentAt   time.Time
	excluded []replica.ID
	// flight is the last run that began; nil if runs are not tracked. announced is closed once
	// all nodes know that a replica may have ended under the request, or after announceTimeout;
	// nil if none has.
	flight    *flight
	announced <-chan struct{}
	// origin is where the stream began: all its events come from there. It is nil until that
	// is decided, and on routes whose streams are not resumable.
	origin *ledger.StreamOrigin
	// originSource is how the origin of a resumed stream became known.
	originSource originSource
	// onlyReplica is the one replica that may run the request again, as long as its process is
	// that of onlyIncarnation; empty if any may.
	onlyReplica      replica.ID
	onlyIncarnation  uint64
	status           int
	reason           string
	timeToFirstEvent time.Duration
	// ended is how the body of the last replica's answer ended.
	ended answerEnd
	// queuedFor is how long the request was queued at this node.
	queuedFor time.Duration
	// cause is why the request was refused, and retryAfter the delay that its caller was
	// given.
	cause      string
	retryAfter time.Duration

	// The fields below belong to turns of programs. The ids are those of the client, which
	// replicas and logs use; owners and caches use turnID, programID and previousID
	// instead.
	program  string
	session  string
	previous string
	// resumed is the client attempt that brought the first event of the stream that this
	// request resumes, and resumedAfter the last event that its client has received; both
	// are "" if the request begins a stream.
	resumed      string
	resumedAfter string
	// receivedTokens is the most tokens of that stream that the client can have received; 0 if
	// the request begins a stream.
	receivedTokens int
	maxTokens      int
	budget         int
	// lengthHint is the client's estimate of the output tokens; 0 if there is none.
	lengthHint int
	// finishBy is when the program has to be finished; zero if the client sets none.
	finishBy time.Time
	// expectedRemaining is the typical remaining time of the program, and urgency the rank
	// that engines get with the turn.
	expectedRemaining time.Duration
	urgency           int
	// progress compares the program's progress with its finish time, and speedBias is the
	// resulting preference for fast replicas.
	progress  dispatch.Progress
	speedBias int
	partition int
	owner     string
	admission ledger.Admission
	preferred replica.ID
	// preferredCached is how many tokens of the session the preferred replica has in its KV
	// cache; 0 if unknown.
	preferredCached int
	tokens          int
}

// turnID returns the id of the turn that is unique among all tenants.
func (r *requestState) turnID() string { return r.scope.Qualify(r.id) }

// resumedTurnID returns the unique id of the turn that began the stream which the request
// resumes, or "".
func (r *requestState) resumedTurnID() string {
	if !r.resumesStream() {
		return ""
	}
	return r.scope.Qualify(r.resumed)
}

// programID returns the id of the turn's program that is unique among all tenants.
func (r *requestState) programID() string { return r.scope.Qualify(r.program) }

// previousID returns the unique id of the stored turn that this one continues, or "".
func (r *requestState) previousID() string { return r.scope.Qualify(r.previous) }

// unscopedPreviousID returns the id under which the previous turn was stored if that
// happened before ids had a scope, or "".
func (r *requestState) unscopedPreviousID() string { return r.scope.Unscoped(r.previous) }

func (r *requestState) kind() routing.Kind {
	if r.route == nil {
		return "none"
	}
	return r.route.Kind
}

func (r *requestState) routeName() string {
	if r.route == nil {
		return ""
	}
	return r.route.Name
}

// priority returns the rank of the request. A tenant's priority overrides that of the
// route.
func (r *requestState) priority() int {
	if r.tenant != nil {
		return r.tenant.Priority
	}
	return r.route.Priority
}

// fail answers with a status of this node's own.
func (r *requestState) fail(status int, reason string, wait time.Duration) {
	r.awaitAnnounced()
	r.status = status
	r.reason = reason
	r.exchange.Fail(status, reason, wait)
}

// abort breaks the exchange off without completing an answer.
func (r *requestState) abort(reason string) {
	r.awaitAnnounced()
	r.status = 0
	r.reason = reason
	r.exchange.Abort()
}

// awaitAnnounced waits until all nodes know that a replica may have ended under the request,
// before its client learns of the failure and tries again elsewhere.
func (r *requestState) awaitAnnounced() {
	if r.announced == nil || r.exchange.Cancel.Cause() != nil {
		return
	}
	timer := time.NewTimer(announceTimeout)
	defer timer.Stop()
	select {
	case <-r.announced:
	case <-timer.C:
	}
}

// timeLeft returns the time until the request's deadline.
func (r *requestState) timeLeft() time.Duration { return time.Until(r.deadline) }

// errField reports a header field that is not a valid number.
var errField = errors.New("not a number that is at least zero")

// maximumMilliseconds bounds a duration that a client sets (one day).
const maximumMilliseconds = 24 * 60 * 60 * 1000

// parseMilliseconds parses a duration in milliseconds, which may have a fraction.
func parseMilliseconds(value string) (time.Duration, error) {
	number, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(number) || number < 0 {
		return 0, errField
	}
	return time.Duration(min(number, maximumMilliseconds) * float64(time.Millisecond)), nil
}

// parseTimeLeft parses a remaining time in milliseconds; it is negative if the time is
// over.
func parseTimeLeft(value string) (time.Duration, error) {
	value = strings.TrimSpace(value)
	text, over := strings.CutPrefix(value, "-")
	left, err := parseMilliseconds(text)
	if over {
		left = -left
	}
	return left, err
}

// parseCount parses an integer that is at least zero.
func parseCount(value string) (int, error) {
	number, err := strconv.Atoi(strings.TrimSpace(value))
	if err != nil || number < 0 {
		return 0, errField
	}
	return number, nil
}

// parseTokenCounts parses the number of prompt tokens and the maximum number of output
// tokens.
func parseTokenCounts(value string) (prompt, maxTokens int, err error) {
	first, second, found := strings.Cut(value, ",")
	if !found {
		return 0, 0, errField
	}
	if prompt, err = parseCount(first); err != nil {
		return 0, 0, err
	}
	maxTokens, err = parseCount(second)
	return prompt, maxTokens, err
}

// errPrompt reports an invalid list of prompt parts.
var errPrompt = errors.New("want a list of ID:TOKENS")

// parsePrompt parses the parts of a prompt.
func parsePrompt(value string) ([]replica.Part, error) {
	if strings.TrimSpace(value) == "" {
		return nil, nil
	}
	var parts []replica.Part
	for entry := range strings.SplitSeq(value, ",") {
		id, count, found := strings.Cut(strings.TrimSpace(entry), ":")
		if !found || id == "" {
			return nil, errPrompt
		}
		tokens, err := parseCount(count)
		if err != nil {
			return nil, errPrompt
		}
		parts = append(parts, replica.Part{ID: id, Tokens: tokens})
	}
	return parts, nil
}
