package upstream

import (
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/connection"
)

// Process is what is known of a replica's process after a connection to it broke.
type Process string

const (
	// ProcessEnded means that the process no longer runs: its target was removed, it accepts no
	// connection, or all its older connections broke as well.
	ProcessEnded Process = "ended"
	// ProcessLives means that an older connection is still open.
	ProcessLives Process = "lives"
	// ProcessUnknown means that neither is shown. Another process may listen at the address.
	ProcessUnknown Process = "unknown"
)

// BrokeOff reports whether an exchange failed because the replica's side closed or reset its
// connection. Timeouts, cancellations and answers that are not valid are other failures.
func BrokeOff(err error) bool {
	var nothing fasthttp.ErrNothingRead
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, ErrClosed) || errors.Is(err, ErrUnconfirmed) ||
		errors.As(err, &nothing) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// processCheck is a check of a replica's process that is under way.
type processCheck struct {
	done   chan struct{}
	result Process
}

// CheckProcess determines whether the process of a replica has ended, after a connection that
// was opened before since broke. It opens a connection, which the pool keeps, and looks at the
// older ones. It takes at most Config.DialTimeout. Concurrent checks of a replica share one.
func (p *Pool) CheckProcess(to Target, since time.Time) Process {
	p.mutex.Lock()
	entry := p.targets[to]
	if entry == nil {
		p.mutex.Unlock()
		return ProcessEnded
	}
	check := entry.check
	if check != nil {
		p.mutex.Unlock()
		<-check.done
		return check.result
	}
	check = &processCheck{done: make(chan struct{})}
	entry.check = check
	probes := entry.probes(since)
	p.mutex.Unlock()
	check.result = p.checkProcess(to, probes)
	p.mutex.Lock()
	entry.check = nil
	p.mutex.Unlock()
	close(check.done)
	return check.result
}

func (p *Pool) checkProcess(to Target, older []connection.Probe) Process {
	opened, err := p.dial(to, time.Now().Add(p.config.DialTimeout))
	if errors.Is(err, syscall.ECONNREFUSED) {
		return ProcessEnded
	}
	if err != nil {
		return ProcessUnknown
	}
	// The connections of a process that ended break before its successor accepts this one.
	p.put(to, opened)
	for _, probe := range older {
		if !probe.Closed() {
			return ProcessLives
		}
	}
	if len(older) > 0 {
		return ProcessEnded
	}
	return ProcessUnknown
}

// probes returns probes of the connections that were opened before a time. The caller holds the
// pool's mutex.
func (t *target) probes(before time.Time) (probes []connection.Probe) {
	for open := range t.open {
		probe, ok := connection.NewProbe(open.Conn)
		if ok && open.openedAt.Before(before) {
			probes = append(probes, probe)
		}
	}
	return probes
}
