package edge

import (
	"sync"
	"time"

	"birchwood.example/birchwood/liveness"
	"birchwood.example/birchwood/replica"
)

const (
	// doubtLifetime is how long evidence about a process is gathered after an exchange with it
	// ended: by then its entry is gone if it has ended.
	doubtLifetime = 10 * time.Second
	// probePause is the time between two probes of a process, which doubles up to maxProbePause as
	// long as they show nothing.
	probePause    = 50 * time.Millisecond
	maxProbePause = time.Second
	// quietAfter is the time without an answer after which the process of a replica that does not
	// end a run in time may have ended silently.
	quietAfter = 500 * time.Millisecond
)

// processes holds the doubts about the replicas' processes, and when each was heard of last. It is
// safe for concurrent use.
type processes struct {
	mutex   sync.Mutex
	watched map[replica.ID]*watchedProcess
	heard   map[replica.ID]time.Time
}

// watchedProcess holds the doubts about the processes of one replica.
type watchedProcess struct {
	doubts []*doubt
	// added is signalled when a doubt is added.
	added chan struct{}
	// probeAt is the earliest time of the next probe, and pause the time until the one after it.
	probeAt time.Time
	pause   time.Duration
}

// doubt is the question whether the process of a replica survived the end of an exchange.
type doubt struct {
	liveness.Doubt
	entry replica.Entry
	// host is that of a request for the replica's health.
	host string
	// servesUnlisted is set if the process is not taken for gone as soon as its entry is: a replica
	// that leaves serves on for a while.
	servesUnlisted bool
	// counted is set if the process counts as ended, or was reported as such: that it lives is to be
	// reported then.
	counted bool
	// connected is set once a connection was opened to see whether the process still listens.
	connected bool
	// outcome is the last one that was reported, and revision counts the reports.
	outcome  liveness.Outcome
	revision uint32
	// decided is called with each new outcome and the number of the report. Calls may overtake one
	// another.
	decided func(outcome liveness.Outcome, revision uint32)
}

// processStep is what a check of a process does next.
type processStep int

const (
	// stepEnd means that no doubt is left.
	stepEnd processStep = iota
	stepWait
	stepConnect
	stepProbe
)

func newProcesses() *processes {
	return &processes{watched: make(map[replica.ID]*watchedProcess), heard: make(map[replica.ID]time.Time)}
}

// add adds a doubt. It returns the replica's doubts if no check of them is under way.
func (p *processes) add(d *doubt) (begun *watchedProcess) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	watched := p.watched[d.entry.ID]
	if watched == nil {
		watched = &watchedProcess{added: make(chan struct{}, 1)}
		p.watched[d.entry.ID] = watched
		begun = watched
	}
	watched.doubts = append(watched.doubts, d)
	watched.probeAt, watched.pause = time.Time{}, probePause
	select {
	case watched.added <- struct{}{}:
	default:
	}
	return begun
}

// hear notes that a replica sent something.
func (p *processes) hear(id replica.ID, at time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if at.After(p.heard[id]) {
		p.heard[id] = at
	}
}

// quiet reports whether nothing was heard of a replica at the end of a run that had time for it.
func (p *processes) quiet(id replica.ID, sentAt, endedAt time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return endedAt.Sub(sentAt) >= quietAfter && endedAt.Sub(p.heard[id]) >= quietAfter
}

// observe adds evidence to the doubts about a process, and returns the reports to be made.
func (p *processes) observe(entry replica.Entry, evidence func(*doubt)) (reports []func()) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	watched := p.watched[entry.ID]
	if watched == nil {
		return nil
	}
	for _, d := range watched.doubts {
		if d.entry.Incarnation != entry.Incarnation {
			continue
		}
		evidence(d)
		before, outcome := d.outcome, d.Outcome()
		d.outcome = outcome
		if outcome == before || outcome.Lives() && before.Lives() || outcome.Lives() && !d.counted {
			continue
		}
		d.counted = true
		d.revision++
		decided, revision := d.decided, d.revision
		reports = append(reports, func() { decided(outcome, revision) })
	}
	return reports
}

// forget drops when a replica that is gone was heard of.
func (p *processes) forget(id replica.ID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.heard, id)
}

// next returns what the check of a replica's processes does next: it connects to the replica of an
// entry, probes it, or waits until a time. It also returns the doubts that are abandoned.
func (p *processes) next(now time.Time, id replica.ID) (step processStep, about *doubt, until time.Time, abandoned []*doubt) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	watched := p.watched[id]
	abandoned = watched.drop(now)
	if len(watched.doubts) == 0 {
		delete(p.watched, id)
		return stepEnd, nil, time.Time{}, abandoned
	}
	step, about, until = watched.next(now)
	return step, about, until, abandoned
}

// drop removes the doubts that need no more evidence, and returns those of which nothing is known.
func (w *watchedProcess) drop(now time.Time) (abandoned []*doubt) {
	var left []*doubt
	for _, d := range w.doubts {
		expired := now.Sub(d.At()) >= doubtLifetime
		switch {
		case expired && d.outcome == liveness.Unknown:
			abandoned = append(abandoned, d)
		case !expired && d.outcome != liveness.Outlived:
			left = append(left, d)
		}
	}
	w.doubts = left
	return abandoned
}

// next returns the next step, and the doubt that it is about or the time until which to wait.
func (w *watchedProcess) next(now time.Time) (step processStep, about *doubt, until time.Time) {
	until = now.Add(doubtLifetime)
	for _, d := range w.doubts {
		if !d.connected {
			d.connected = true
			return stepConnect, d, time.Time{}
		}
		until = minTime(until, d.At().Add(doubtLifetime))
		due, open := d.DueAt()
		if !open {
			continue
		}
		if due.Before(w.probeAt) {
			due = w.probeAt
		}
		if !due.After(now) {
			w.probeAt, w.pause = now.Add(w.pause), min(2*w.pause, maxProbePause)
			return stepProbe, d, time.Time{}
		}
		until = minTime(until, due)
	}
	return stepWait, nil, until
}
