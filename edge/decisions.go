package edge

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/routing"
)

// logChange writes a partition won or lost.
func (n *Node) logChange(change coordinator.Change) {
	n.metrics.partitionChanged(change.Owned)
	n.logger.Info().Int("partition", change.Partition).Uint64("epoch", uint64(change.Epoch)).Bool("owned", change.Owned).
		Str("reason", change.Reason).Int("accounts", change.Accounts).Int("turns", change.Turns).
		Bool("inherited", change.Inherited).Msg("ledger: ownership changed")
}

// logOutcome writes how a request ended: what decided it, and how fresh that was.
func (n *Node) logOutcome(r *requestState) {
	took := time.Since(r.exchange.Arrived)
	if r.status == fasthttp.StatusOK && r.kind() == routing.KindStream {
		n.returns.served(time.Now())
		n.standings.end(time.Now(), r)
	}
	status := strconv.Itoa(r.status)
	if r.status == 0 {
		status = "none"
	}
	n.metrics.answered(string(r.kind()), status, took)
	entry := n.logger.Info()
	if r.status >= failedStatus || r.status == 0 {
		entry = n.logger.Warn()
	}
	entry = entry.Str("request", r.id).Str("route", r.routeName()).Uint64("config", r.version).Int("status", r.status).
		Dur("took", took).Str("reason", r.reason).Str("replica", string(r.choice.Entry.ID)).Int("attempts", r.attempts).Int("repeats", r.repeats)
	if r.tenant != nil {
		entry = entry.Str("tenant", r.tenant.Name).Dur("proof", r.proofAge)
	}
	if r.charge != nil {
		entry = entry.Str("charge", string(r.charge.outcome.Status)).Str("counted", string(r.charge.outcome.Owner)).
			Float64("balance", r.charge.outcome.Decision.Balance)
	}
	switch {
	case r.program == "" && r.charge != nil:
		entry = entry.Str("program", r.charge.asked.Request.Program)
	case r.program != "":
		entry = entry.Str("program", r.program).Str("session", r.session).Int("partition", r.partition).
			Str("owner", r.owner).Str("verdict", string(r.admission.Verdict)).Int("settled", r.admission.Settled).
			Int("open", r.admission.Open).Int("most", r.most).Dur("need", r.need).Int("urgency", r.urgency).Int("budget", r.budget).Int("tokens", r.tokens)
	}
	if !r.finish.IsZero() {
		entry = entry.Dur("finish", r.finish.Sub(r.exchange.Arrived))
	}
	if r.waited > 0 {
		entry = entry.Dur("waited", r.waited)
	}
	if r.cause != "" {
		entry = entry.Str("cause", r.cause).Dur("comeBack", r.comeBack)
	}
	entry.Int("missing", r.choice.Missing).Int("load", r.choice.Load).Dur("predicted", r.choice.Predicted).
		Dur("pace", r.choice.Pace).Str("progress", r.progress.String()).Int("haste", r.haste).Dur("paceage", r.choice.PaceAge).Bool("left", r.choice.Left).Dur("first", r.firstAfter).Msg("request: ended")
}

// failedStatus is the least status that tells of a failure.
const failedStatus = 400
