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
	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/routing"
	"birchwood.example/birchwood/tenant"
	"birchwood.example/birchwood/zone"
)

// requestState is one client request while this node handles it.
type requestState struct {
	exchange *ingress.Exchange
	id       string
	route    *routing.Route
	version  uint64
	service  string
	deadline time.Time
	prompt   []replica.Part
	// tenant is whose key the client showed; nil where none is needed.
	tenant *tenant.Tenant
	// scope is whose the ids of the request are.
	scope tenant.Scope
	// proofAge is how long ago what this node knows of keys was proven to be the
	// newest, when the key was looked up.
	proofAge time.Duration
	// homes bounds where the request may be served and its data may be.
	constraint zone.Constraint
	// charge is how the request counts to its tenant's limit; nil where there is
	// none.
	charge *charge
	// coldGrant is how the last offer to a cold replica counts to its rate; nil where
	// there was none.
	coldGrant *coordinator.Charge

	// The fields below follow the handling, for the log.
	choice   replica.Choice
	attempts int
	// repeats counts the attempts that were sent beside a late one.
	repeats int
	// beside says that an attempt is under way while the next is chosen.
	attemptInFlight bool
	// sentAt is when the last attempt began.
	sentAt   time.Time
	excluded []replica.ID
	// only is the one replica that may run the request again.
	onlyReplica      replica.ID
	status           int
	reason           string
	timeToFirstEvent time.Duration
	// waited is how long the request waited here for room.
	queuedFor time.Duration
	// cause and comeBack are why the request was turned away and what its caller was
	// told.
	cause      string
	retryAfter time.Duration

	// The fields below belong to turns of programs. The ids are as the client names
	// them: replicas and logs get them so. Owners and caches get those of turnID,
	// programID and previousID.
	program   string
	session   string
	previous  string
	maxTokens int
	budget    int
	// expected is the client's guess at the tokens that come out; 0 where it makes none.
	lengthHint int
	// finish is when the program is to be over; zero where the client does not say.
	finishBy time.Time
	// need is how much longer the program takes as a rule, and urgency the rank that
	// engines get with the turn.
	expectedRemaining time.Duration
	urgency           int
	// stand is how the program stands against it, and haste how the turn takes the fast
	// replicas by that.
	progress  dispatch.Progress
	speedBias int
	partition int
	owner     string
	admission ledger.Admission
	preferred replica.ID
	// preferredKept is how many tokens of the line of turns the preferred replica has
	// in its memory; 0 where that is not known.
	preferredCached int
	tokens          int
}

// turnID is what all nodes know the turn by.
func (r *requestState) turnID() string { return r.scope.Qualify(r.id) }

// programID is what all nodes know the turn's program by.
func (r *requestState) programID() string { return r.scope.Qualify(r.program) }

// previousID is what all nodes know the kept turn by that this one goes on from, or "".
func (r *requestState) previousID() string { return r.scope.Qualify(r.previous) }

// formerID is what the previous turn is known by if it was kept before ids had a
// scope, or "".
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

// priority ranks the request: its tenant's rank goes before its route's.
func (r *requestState) priority() int {
	if r.tenant != nil {
		return r.tenant.Priority
	}
	return r.route.Priority
}

// fail answers with a status of this node's own.
func (r *requestState) fail(status int, reason string, wait time.Duration) {
	r.status = status
	r.reason = reason
	r.exchange.Fail(status, reason, wait)
}

// giveUp ends the exchange without an answer.
func (r *requestState) abort(reason string) {
	r.status = 0
	r.reason = reason
	r.exchange.Break()
}

// left is the time until the request's deadline.
func (r *requestState) timeLeft() time.Duration { return time.Until(r.deadline) }

// errField says that a field's value is not of its form.
var errField = errors.New("not a number that is at least zero")

// maximumMilliseconds bounds a time that a client names.
const maximumMilliseconds = 24 * 60 * 60 * 1000

// parseMilliseconds reads a time; fractions are allowed.
func parseMilliseconds(value string) (time.Duration, error) {
	number, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(number) || number < 0 {
		return 0, errField
	}
	return time.Duration(min(number, maximumMilliseconds) * float64(time.Millisecond)), nil
}

// parseTimeLeft reads how much time is left of something, which may be over.
func parseTimeLeft(value string) (time.Duration, error) {
	value = strings.TrimSpace(value)
	text, over := strings.CutPrefix(value, "-")
	left, err := parseMilliseconds(text)
	if over {
		left = -left
	}
	return left, err
}

// parseCount reads a whole number that is at least zero.
func parseCount(value string) (int, error) {
	number, err := strconv.Atoi(strings.TrimSpace(value))
	if err != nil || number < 0 {
		return 0, errField
	}
	return number, nil
}

// parseTokenCounts reads the tokens of the prompt and the most that come out.
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

// errPrompt says that a list of prompt parts is not of its form.
var errPrompt = errors.New("want a list of ID:TOKENS")

// parsePrompt reads the parts of a prompt.
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
