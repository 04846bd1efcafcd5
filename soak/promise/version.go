package promise

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
)

const (
	// minResumed is the number of resumed streams from which on StreamsResumed is checked.
	minResumed = 12
	// resumedWindow is the span over which their share is compared, besides the whole run.
	resumedWindow = 10 * time.Second
	// minVersionReplicas is the number of undisturbed replicas of a version from which on its
	// streams have to go on.
	minVersionReplicas = 2
)

// versionSeparator precedes the version of the replica's software in the data of an event.
const versionSeparator = "@"

// versionMark is the mark of a version in the data of an event.
var versionMark = regexp.MustCompile(versionSeparator + `(\S+)-\d+\n`)

// versionsIn returns the versions that wrote the events of a text, each once.
func versionsIn(text string) (versions []string) {
	for _, match := range versionMark.FindAllStringSubmatch(text, -1) {
		if !slices.Contains(versions, match[1]) {
			versions = append(versions, match[1])
		}
	}
	return versions
}

// streamOutcomes compares how often resumed streams go on with how often new ones begin.
type streamOutcomes struct {
	total  shares
	recent []streamOutcome
}

// streamOutcome is whether a stream began or went on.
type streamOutcome struct {
	at      time.Time
	resumed bool
	ok      bool
}

// shares counts outcomes of new and resumed streams.
type shares struct{ begun, begunOK, resumed, resumedOK int }

func (s *shares) add(outcome streamOutcome) {
	ok := 0
	if outcome.ok {
		ok = 1
	}
	if outcome.resumed {
		s.resumed++
		s.resumedOK += ok
		return
	}
	s.begun++
	s.begunOK += ok
}

// tooFewResumed reports whether resumed streams go on less than half as often as new ones
// begin.
func (s *shares) tooFewResumed() bool {
	return s.resumed >= minResumed && s.begun > 0 && 2*s.resumedOK*s.begun < s.begunOK*s.resumed
}

// setServing notes which replicas serve.
func (c *Checker) setServing(event Serving) {
	if event.Ended {
		delete(c.versions, event.Replica)
		return
	}
	c.versions[event.Replica] = event.Version
	if !slices.Contains(c.allVersions, event.Version) {
		c.allVersions = append(c.allVersions, event.Version)
	}
}

// checkVersions checks that the events of a stream come from one version, in one answer and
// over all requests that resumed it.
func (c *Checker) checkVersions(at time.Time, sent *request, event Answered) {
	first := sent
	if sent.Resumes != "" {
		first = c.requests[sent.Resumes]
	}
	if sent.Events == 0 || first == nil {
		return
	}
	for _, version := range versionsIn(event.Body) {
		if !slices.Contains(first.streamVersions, version) {
			first.streamVersions = append(first.streamVersions, version)
		}
	}
	if len(first.streamVersions) > 1 {
		c.addBreach(at, OneVersion, sent, "", fmt.Sprintf("the stream that %s began holds events of %v", first.ID, first.streamVersions))
	}
}

// comparesOutcome reports whether the outcome of a request counts for StreamsResumed: it is
// sent to an undisturbed node, and if it resumes a stream, enough replicas of its version
// serve.
func (c *Checker) comparesOutcome(sent *request) bool {
	if sent.Events == 0 || !sent.Repeatable || !sent.MustServe || c.disturbances.active[sent.Node] > 0 {
		return false
	}
	return sent.Resumes == "" || c.versionServes(sent)
}

// versionServes reports whether enough undisturbed replicas of a resumed stream's version
// serve.
func (c *Checker) versionServes(sent *request) bool {
	first := c.requests[sent.Resumes]
	if first == nil || len(first.streamVersions) == 0 {
		return false
	}
	serving := 0
	for replica, version := range c.versions {
		if version == first.streamVersions[0] && c.disturbances.active[replica] == 0 {
			serving++
		}
	}
	return serving >= minVersionReplicas
}

// compareStreams counts whether a stream began or went on, and checks the share of those that
// went on.
func (c *Checker) compareStreams(at time.Time, sent *request, event Answered) {
	if !sent.comparable || sent.Resumes != "" && !c.versionServes(sent) {
		return
	}
	outcome := streamOutcome{at: at, resumed: sent.Resumes != "", ok: succeeded(event.Status) && (event.Complete || wholeEvents(event.Body) != "")}
	s := &c.streams
	s.total.add(outcome)
	s.recent = append(s.recent, outcome)
	for at.Sub(s.recent[0].at) > resumedWindow {
		s.recent = s.recent[1:]
	}
	if !outcome.resumed || outcome.ok {
		return
	}
	var recent shares
	for _, counted := range s.recent {
		recent.add(counted)
	}
	for span, counted := range map[string]shares{"run": s.total, resumedWindow.String(): recent} {
		if counted.tooFewResumed() {
			c.addBreach(at, StreamsResumed, sent, "", fmt.Sprintf("in the last %s %d of %d resumed streams went on, %d of %d new ones began",
				span, counted.resumedOK, counted.resumed, counted.begunOK, counted.begun))
		}
	}
}

// StreamCounts returns the number of resumed streams that were compared with new ones, and of
// those that went on.
func (c *Checker) StreamCounts() (resumed, wentOn int) {
	return c.streams.total.resumed, c.streams.total.resumedOK
}

// wholeEvents returns the part of a text up to the end of its last whole event.
func wholeEvents(text string) string {
	end := strings.LastIndex(text, "\n\n")
	if end < 0 {
		return ""
	}
	return text[:end+2]
}
