package edge

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/dispatch"
	"birchwood.example/birchwood/header"
	"birchwood.example/birchwood/ingress"
	"birchwood.example/birchwood/ownership"
	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/routing"
	"birchwood.example/birchwood/upstream"
)

// Delays of answers that this node produces itself.
const (
	// retrySoon follows a condition that lasts some hundred milliseconds.
	retrySoon = 150 * time.Millisecond
	// retryAfterOutage follows a condition that lasts seconds. A shorter delay would use up
	// the retries of a program, which gives up after a few refusals in a row.
	retryAfterOutage = 1200 * time.Millisecond
	// writeSlack is how long after the request's deadline its answer may still be written.
	writeSlack = 300 * time.Millisecond
)

// handle serves one client request.
func (n *Node) handle(exchange *ingress.Exchange) {
	request := &requestState{exchange: exchange, handledAt: time.Now()}
	defer n.endRequest(request)
	table := n.routes.Current()
	if table == nil {
		n.refuse(request, dispatch.Refusal{Cause: dispatch.CauseStarting, EndsIn: n.retryAfterStart()}, "no configuration is known yet")
		return
	}
	if !n.knowsMarked.Load() {
		n.refuse(request, dispatch.Refusal{Cause: dispatch.CauseStarting, EndsIn: retrySoon}, "the marked requests of other nodes are not known yet")
		return
	}
	request.version = table.Version
	request.id = exchange.Field(n.adapter.Names.RequestID)
	request.route = table.Match(exchange.Host, exchange.Path())
	if request.route == nil {
		request.fail(fasthttp.StatusNotFound, "no route for this host and path", 0)
		return
	}
	n.durations.begin(request)
	if problem := n.readFields(request); problem != "" {
		request.fail(fasthttp.StatusBadRequest, problem, 0)
		return
	}
	if err := n.checkStop(request); err != nil {
		n.failWithoutReplica(request, err, 0)
		return
	}
	if !n.authenticate(request, table) {
		return
	}
	if !n.constrainZones(request) {
		return
	}
	defer n.refundUnusedCharge(request)
	exchange.SetWriteDeadline(request.deadline.Add(writeSlack))
	service, ok := request.route.Choose(n.draw())
	if !ok {
		n.refuse(request, dispatch.Refusal{Cause: dispatch.CauseNoReplica}, "the route has no service")
		return
	}
	request.service = service
	request.fingerprint = n.identity(request).Fingerprint()
	if n.rejectQuarantined(request) {
		return
	}
	if request.route.Kind == routing.KindStream {
		n.serveTurn(request, table)
		return
	}
	n.serveCall(request, table)
}

// endRequest records the outcome of a request.
func (n *Node) endRequest(r *requestState) {
	if r.status == fasthttp.StatusOK && r.kind() == routing.KindStream {
		now := time.Now()
		n.refusals.observeServed(now)
		n.scheduling.turnEnded(now, r)
	}
	n.durations.end(r)
	n.logOutcome(r)
}

// readFields parses the header fields of the request and returns a description of the first
// invalid one, or "".
func (n *Node) readFields(r *requestState) (problem string) {
	names := n.adapter.Names
	if r.id == "" {
		return names.RequestID + " is missing"
	}
	timeout := r.route.Timeout
	if value := r.exchange.Field(names.Deadline); value != "" {
		deadline, err := parseMilliseconds(value)
		if err != nil {
			return fmt.Sprintf("%s: %v", names.Deadline, err)
		}
		timeout = min(timeout, deadline)
	}
	r.deadline = r.exchange.Arrived.Add(timeout)
	if r.route.Kind != routing.KindStream {
		return ""
	}
	return n.readTurnFields(r)
}

// readTurnFields parses the header fields of a turn.
func (n *Node) readTurnFields(r *requestState) (problem string) {
	names := n.adapter.Names
	var err error
	if r.prompt, err = parsePrompt(r.exchange.Field(names.PromptPrefix)); err != nil {
		return fmt.Sprintf("%s: %v", names.PromptPrefix, err)
	}
	if value := r.exchange.Field(names.TokenCounts); value != "" {
		if _, r.maxTokens, err = parseTokenCounts(value); err != nil {
			return fmt.Sprintf("%s: %v", names.TokenCounts, err)
		}
	}
	if value := r.exchange.Field(names.TokenBudget); value != "" {
		if r.budget, err = parseCount(value); err != nil {
			return fmt.Sprintf("%s: %v", names.TokenBudget, err)
		}
	}
	n.readHints(r)
	r.program = r.exchange.Field(names.Program)
	r.session = r.exchange.Field(names.Session)
	r.previous = r.exchange.Field(names.PreviousTurn)
	r.resumed, r.resumedAfter = r.exchange.Field(names.Resumes), r.exchange.Field(names.LastEvent)
	r.partition = ownership.PartitionOf(r.program, n.settings.Partitions)
	return ""
}

// readHints parses the client's estimates of the turn's length and the program's end. Since
// they are only estimates, a turn with an invalid one is served without it.
func (n *Node) readHints(r *requestState) {
	names := n.adapter.Names
	if value := r.exchange.Field(names.Finish); value != "" {
		left, err := parseTimeLeft(value)
		if err == nil {
			r.finishBy = r.exchange.Arrived.Add(left)
		}
		n.logInvalidHint(r, names.Finish, err)
	}
	if value := r.exchange.Field(names.LengthHint); value != "" {
		var err error
		r.lengthHint, err = parseCount(value)
		n.logInvalidHint(r, names.LengthHint, err)
	}
}

// logInvalidHint logs that an invalid hint is ignored. It does nothing if err is nil.
func (n *Node) logInvalidHint(r *requestState, field string, err error) {
	if err == nil {
		return
	}
	n.logger.Warn().Str("request", r.id).Str("field", field).Err(err).Msg("request: invalid hint ignored")
}

// replicaRequest builds the request that is sent to a replica.
func (n *Node) replicaRequest(r *requestState, entry replica.Entry, body []byte, lastEvent string) *upstream.Request {
	names := n.adapter.Names
	without := n.strippedFields
	if lastEvent != "" {
		without = append(slices.Clone(without), names.LastEvent)
	}
	fields := r.exchange.ForwardedFields(without...)
	fields = appendField(fields, names.Deadline, strconv.FormatInt(max(1, r.timeLeft().Milliseconds()), 10))
	fields = appendField(fields, names.ExpectReplica, string(entry.ID))
	if r.route.Kind == routing.KindStream {
		fields = appendField(fields, names.Urgency, strconv.Itoa(r.urgency))
	}
	if r.tenant != nil {
		fields = appendField(fields, names.Tenant, r.tenant.Name)
	}
	if lastEvent != "" {
		fields = appendField(fields, names.LastEvent, lastEvent)
	}
	return &upstream.Request{
		Method: r.exchange.Method, Target: r.exchange.Target, Host: r.exchange.Host, ID: r.id,
		Fields: fields, Body: body, HasBody: r.exchange.HasBody, Deadline: r.deadline, Memory: r.exchange.Memory,
		Survived: func(closed upstream.ClosedExchange) error { return n.survived(entry, r.exchange.Host, closed) },
	}
}

// fieldsToStrip returns the client's header fields that are not forwarded to replicas:
// those that only the system may set, and those that concern only the client and the
// system.
func fieldsToStrip(names header.Names) []string {
	return append([]string{names.Deadline, names.ExpectReplica, names.Urgency, names.APIKey, names.Tenant}, names.Reserved...)
}

func appendField(fields []byte, name, value string) []byte {
	fields = append(fields, name...)
	fields = append(fields, ": "...)
	fields = append(fields, value...)
	return append(fields, "\r\n"...)
}

// maxPerNode returns the limit on this node's connections to one replica: its share of the
// connections that the replica accepts from all nodes.
func (n *Node) maxPerNode(table *routing.Table, service string) int {
	limit := table.Services[service].MaxConnections
	if limit <= 0 {
		return 0
	}
	nodes := max(1, int(n.liveNodes.Load()))
	return max(1, limit*connectionSharePercent/100/nodes)
}

// connectionSharePercent is the part of a replica's connections that the nodes use, in
// percent. The rest is a margin, because the nodes' views of how many of them are live
// differ for a while.
const connectionSharePercent = 85
