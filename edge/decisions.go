package edge

import (
	"strconv"
	"time"

	"github.com/phuslu/log"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/routing"
)

// logChange logs that a partition was won or lost.
func (n *Node) logChange(change coordinator.Change) {
	n.metrics.partitionChanged(change.Owned)
	n.logger.Info().Int("partition", change.Partition).Uint64("epoch", uint64(change.Epoch)).Bool("owned", change.Owned).
		Str("reason", change.Reason).Int("accounts", change.Accounts).Int("turns", change.Turns).Int("origins", change.Origins).
		Bool("inherited", change.Inherited).Msg("ledger: ownership changed")
}

// logClaims logs how an owner's search for the turns of its predecessors ended.
func (n *Node) logClaims(collected coordinator.ClaimsCollected) {
	n.metrics.turnsInherited(collected.Claims, collected.Lapsed)
	n.logger.Info().Int("partition", collected.Partition).Uint64("epoch", uint64(collected.Epoch)).Int("claimed", collected.Claims).
		Int("lapsed", collected.Lapsed).Int("unanswered", collected.Unanswered).Dur("took", collected.Took).
		Msg("ledger: turns of previous owners looked up")
}

// logTurnsLost logs that turns lapsed with the processes that ran them.
func (n *Node) logTurnsLost(lost coordinator.TurnsLost) {
	n.metrics.turnsLost(lost.Lapsed)
	n.logger.Info().Int("partition", lost.Partition).Uint64("epoch", uint64(lost.Epoch)).Int("lapsed", lost.Lapsed).
		Msg("ledger: turns of restarted nodes lapsed")
}

// logReconciled logs that the state of a former owner was taken over.
func (n *Node) logReconciled(reconciled coordinator.FormerReconciled) {
	n.metrics.accountsReconciled(reconciled.Reconciled)
	n.logger.Info().Int("partition", reconciled.Partition).Uint64("epoch", uint64(reconciled.Epoch)).Str("from", string(reconciled.From)).
		Int("accounts", reconciled.Accounts).Int("reconciled", reconciled.Reconciled).Dur("confirmed", reconciled.Confirmed).
		Msg("ledger: state of a former owner taken over")
}

// logOutcome logs how a request ended, with the inputs of the decisions and their age.
func (n *Node) logOutcome(r *requestState) {
	took := time.Since(r.exchange.Arrived)
	status := strconv.Itoa(r.status)
	if r.status == 0 {
		status = "none"
	}
	n.metrics.answered(string(r.kind()), status, took)
	if r.resumedAfter != "" {
		n.metrics.streamResumed(status)
	}
	entry := n.logger.Info()
	if r.status >= failedStatus || r.status == 0 {
		entry = n.logger.Warn()
	}
	entry = entry.Str("request", r.id).Str("route", r.routeName()).Uint64("config", r.version).Int("status", r.status).
		Dur("took", took).Str("reason", r.reason).Str("replica", string(r.choice.Entry.ID)).Int("attempts", r.attempts).Int("repeats", r.repeats)
	if r.fingerprint != 0 {
		entry = entry.Str("fingerprint", r.fingerprint.String())
	}
	entry = r.ended.log(entry)
	entry = r.logStream(entry)
	entry = r.logTenant(entry)
	entry = r.logProgram(entry)
	entry = r.logWait(entry)
	r.logChoice(entry).Dur("first", r.timeToFirstEvent).Msg("request: ended")
}

// logStream adds the version of the replica that a stream came from, and which stream the
// request resumes.
func (r *requestState) logStream(entry *log.Entry) *log.Entry {
	if r.kind() != routing.KindStream {
		return entry
	}
	entry = entry.Str("version", r.choice.Entry.Version)
	if r.resumedAfter == "" {
		return entry
	}
	entry = entry.Str("resumes", r.resumed).Str("after", r.resumedAfter).Str("origin", string(r.originSource))
	if r.origin == nil {
		return entry
	}
	return entry.Str("begunAt", r.origin.Version)
}

// logContinued logs that a stream that broke off is continued by another run within its
// answer.
func (n *Node) logContinued(r *requestState, from, to replica.Entry, after string, begun bool) {
	n.metrics.streamContinued()
	entry := n.logger.Info().Str("request", r.id).Str("from", string(from.ID)).Str("fromVersion", from.Version).Str("to", string(to.ID)).
		Str("toVersion", to.Version).Str("after", after).Bool("begun", begun)
	r.ended.log(entry).Msg("request: stream continued by another run")
}

// logTenant adds the tenant of the request and how it counted towards the rate limit.
func (r *requestState) logTenant(entry *log.Entry) *log.Entry {
	if r.tenant != nil {
		entry = entry.Str("tenant", r.tenant.Name).Dur("proof", r.proofAge)
	}
	if r.charge == nil {
		return entry
	}
	outcome := &r.charge.outcome
	return entry.Str("charge", string(outcome.Status)).Str("counted", string(outcome.Owner)).Float64("balance", outcome.Decision.Balance)
}

// logProgram adds the program of the request, and the owner's decision on a turn.
func (r *requestState) logProgram(entry *log.Entry) *log.Entry {
	if !r.finishBy.IsZero() {
		entry = entry.Dur("finish", r.finishBy.Sub(r.exchange.Arrived))
	}
	switch {
	case r.program == "" && r.charge != nil:
		return entry.Str("program", r.charge.request.Request.Program)
	case r.program == "":
		return entry
	default:
		return entry.Str("program", r.program).Str("session", r.session).Int("partition", r.partition).
			Str("owner", r.owner).Str("verdict", string(r.admission.Verdict)).Int("settled", r.admission.SettledTokens).
			Int("open", r.admission.OpenTokens).Int("marked", r.admission.MarkedTokens).Int("assumed", r.admission.AssumedTokens).
			Int("presumed", r.admission.PresumedTokens).Int("most", r.maxTokens).Int("budget", r.budget).Int("tokens", r.tokens).
			Dur("need", r.expectedRemaining).Int("urgency", r.urgency)
	}
}

// logWait adds how long the request was queued, or the retry delay of a refusal.
func (r *requestState) logWait(entry *log.Entry) *log.Entry {
	if r.queuedFor > 0 {
		entry = entry.Dur("waited", r.queuedFor)
	}
	if r.cause == "" {
		return entry
	}
	return entry.Str("cause", r.cause).Dur("comeBack", r.retryAfter)
}

// logChoice adds the inputs of the selection of the replica.
func (r *requestState) logChoice(entry *log.Entry) *log.Entry {
	choice := &r.choice
	return entry.Int("missing", choice.UncachedTokens).Int("load", choice.Load).Dur("predicted", choice.Predicted).
		Dur("pace", choice.UnloadedTokenTime).Dur("paceage", choice.TokenTimeAge).Str("progress", r.progress.String()).Int("haste", r.speedBias).
		Bool("left", choice.LeftEvacuatedZone)
}

// failedStatus is the lowest status that is logged as a failure.
const failedStatus = 400
