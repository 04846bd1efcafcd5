package edge

import (
	"context"
	"time"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/quarantine"
)

// runRequest requests permission for a run of a marked request.
type runRequest struct {
	request coordinator.RunRequested
	answer  chan<- coordinator.RunDecided
}

// runReport reports runs to all nodes. announced is closed once they know them.
type runReport struct {
	report    coordinator.RunsReported
	announced chan<- struct{}
}

// quarantineLookup requests the marked requests.
type quarantineLookup struct {
	answer chan<- []quarantine.Status
}

// quarantined returns the marked requests.
func (c *control) quarantined(ctx context.Context) ([]quarantine.Status, error) {
	answer := make(chan []quarantine.Status, 1)
	return roundTrip(ctx, c, quarantineLookup{answer: answer}, answer)
}

// requestRun returns the decision on a run of a marked request.
func (c *control) requestRun(ctx context.Context, request coordinator.RunRequested) coordinator.RunDecided {
	answer := make(chan coordinator.RunDecided, 1)
	decided, err := roundTrip(ctx, c, runRequest{request: request, answer: answer}, answer)
	if err != nil {
		// The permission may still come, and nothing runs with it.
		c.node.clearRuns(request.Run)
		return coordinator.RunDecided{Verdict: quarantine.VerdictUnknown}
	}
	return decided
}

// reportRuns reports runs to all nodes. The returned channel is closed once all live nodes know
// them, or after the timeout of the report.
func (c *control) reportRuns(report coordinator.RunsReported) <-chan struct{} {
	announced := make(chan struct{})
	select {
	case c.inbox <- runReport{report: report, announced: announced}:
	case <-c.node.ctx.Done():
		close(announced)
	}
	return announced
}

// applyQuarantine puts what is new of marked requests in force, and passes decisions on. It
// comes before the messages of the same step are sent.
func (c *control) applyQuarantine(ready *coordinator.Ready) {
	if !c.node.knowsMarked.Load() && c.core.KnowsMarkedRequests(time.Now()) {
		c.node.knowsMarked.Store(true)
		c.node.logger.Info().Int("marked", len(c.core.Quarantined())).Msg("quarantine: marked requests of other nodes are known")
	}
	for index := range ready.QuarantineChanges {
		change := &ready.QuarantineChanges[index]
		if c.node.suspects == nil {
			continue
		}
		c.node.suspects.apply(time.Now(), change)
		c.node.logQuarantine(change)
	}
	for _, announced := range ready.RunsAnnounced {
		if waiting, ok := c.pendingReports[announced.ID]; ok {
			delete(c.pendingReports, announced.ID)
			close(waiting)
		}
	}
	for _, decided := range ready.RunsDecided {
		if waiting, ok := c.pendingRuns[decided.ID]; ok {
			delete(c.pendingRuns, decided.ID)
			waiting <- decided
		}
	}
}

// releaseShared releases the requests of many callers that are to be tried again.
func (c *control) releaseShared(now time.Time) {
	if c.node.suspects == nil {
		return
	}
	for _, fingerprint := range c.node.suspects.dueReleases(now) {
		c.core.Step(now, coordinator.RequestReleased{Fingerprint: fingerprint, Reason: coordinator.ReleaseShared})
	}
}

// answerQuarantineQueries lists this node's runs of the requests that other nodes ask for.
func (c *control) answerQuarantineQueries(queries []coordinator.QuarantineQuery) {
	if len(queries) == 0 {
		return
	}
	now := time.Now()
	for _, query := range queries {
		listed := coordinator.RunsListed{Query: query}
		if c.node.suspects != nil {
			listed.Runs = c.node.suspects.listAll(query.Fingerprints)
			listed.Shared = c.node.suspects.sharedAmong(now, query.Fingerprints)
		}
		c.core.Step(now, listed)
	}
	c.performReady()
}
