package upstream

import (
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"birchwood.example/birchwood/header"
)

// Config sets up a Pool.
type Config struct {
	Names header.Names
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// SilenceTimeout limits how long sent bytes may stay unacknowledged.
	SilenceTimeout time.Duration
	// IdleLimit is how long an idle connection is kept if the replica sends no
	// Keep-Alive timeout.
	IdleLimit time.Duration
	// BodyBytes limits a body read by ReadAll, and SkipBytes what is read that nobody needs: the
	// answers to other requests, and bodies that are discarded.
	BodyBytes int
	SkipBytes int
}

// DefaultConfig returns the settings used in production.
func DefaultConfig(names header.Names) Config {
	return Config{
		Names:          names,
		DialTimeout:    400 * time.Millisecond,
		SilenceTimeout: 900 * time.Millisecond,
		IdleLimit:      4 * time.Second,
		BodyBytes:      16 << 20,
		SkipBytes:      64 << 10,
	}
}

// Target identifies one replica and its address.
type Target struct {
	// Identity is the id of the replica's incarnation.
	Identity string
	Address  netip.AddrPort
}

// Pool holds connections to replicas. It is safe for concurrent use.
type Pool struct {
	config Config

	mutex   sync.Mutex
	targets map[Target]*target
	opened  uint64
	reused  uint64
}

// target holds the connections to one replica.
type target struct {
	// idle are the idle ones, the last used one last, and open all.
	idle []*conn
	open map[*conn]struct{}
}

// NewPool returns a pool without connections.
func NewPool(config Config) *Pool {
	return &Pool{config: config, targets: make(map[Target]*target)}
}

// HasIdle reports whether the pool has an idle connection to the replica.
func (p *Pool) HasIdle(to Target) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	entry := p.targets[to]
	return entry != nil && len(entry.idle) > 0
}

// RemoveTarget closes the idle connections to a replica that is gone.
// Connections in use are closed when their exchange ends, unless a later request
// has added the replica again.
func (p *Pool) RemoveTarget(to Target) {
	p.mutex.Lock()
	entry := p.targets[to]
	delete(p.targets, to)
	p.mutex.Unlock()
	if entry == nil {
		return
	}
	for _, idle := range entry.idle {
		_ = idle.Close()
	}
}

// CloseUnusable closes the idle connections that no request will use: the replica closed them or
// sent bytes that belong to no request, or their idle time is over. It drops the targets that are
// left without connections.
func (p *Pool) CloseUnusable() {
	now := time.Now()
	var unusable []*conn
	p.mutex.Lock()
	for to, entry := range p.targets {
		if len(entry.open) == 0 {
			delete(p.targets, to)
			continue
		}
		unusable = append(unusable, entry.removeUnusable(now)...)
	}
	p.mutex.Unlock()
	for _, connection := range unusable {
		_ = connection.Close()
	}
}

// removeUnusable removes the idle connections that no request will use, and returns them. The
// caller holds the pool's mutex.
func (t *target) removeUnusable(now time.Time) (unusable []*conn) {
	var usable []*conn
	for _, idle := range t.idle {
		if idle.usable(now) {
			usable = append(usable, idle)
			continue
		}
		unusable = append(unusable, idle)
	}
	t.idle = usable
	return unusable
}

// Counts returns how many connections have been opened and how many exchanges
// reused one.
func (p *Pool) Counts() (opened, reused uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.opened, p.reused
}

// target returns the entry of a replica, creating it if necessary. The caller
// holds the mutex.
func (p *Pool) target(to Target) *target {
	entry := p.targets[to]
	if entry == nil {
		entry = &target{open: make(map[*conn]struct{})}
		p.targets[to] = entry
	}
	return entry
}

// get returns the idle connection to the replica that was used last, or a new one.
func (p *Pool) get(to Target, deadline time.Time) (*conn, error) {
	if connection := p.takeUsable(to, (*target).removeNewest); connection != nil {
		p.count(&p.reused)
		return connection, nil
	}
	return p.dial(to, deadline)
}

// oldest returns the idle connection to the replica that was opened first, or a new one.
func (p *Pool) oldest(to Target, deadline time.Time) (*conn, error) {
	if connection := p.takeUsable(to, (*target).removeOldest); connection != nil {
		return connection, nil
	}
	return p.dial(to, deadline)
}

// takeUsable removes idle connections one by one until one can be used, and returns that one, or
// nil. It closes the others.
func (p *Pool) takeUsable(to Target, remove func(*target) *conn) *conn {
	for {
		connection := p.takeIdle(to, remove)
		if connection == nil || connection.usable(time.Now()) {
			return connection
		}
		_ = connection.Close()
	}
}

func (p *Pool) count(counter *uint64) {
	p.mutex.Lock()
	*counter++
	p.mutex.Unlock()
}

// takeIdle removes and returns an idle connection, or nil.
func (p *Pool) takeIdle(to Target, remove func(*target) *conn) *conn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	entry := p.targets[to]
	if entry == nil || len(entry.idle) == 0 {
		return nil
	}
	return remove(entry)
}

// removeNewest removes and returns the idle connection that was used last. There is at least one.
func (t *target) removeNewest() *conn { return t.remove(len(t.idle) - 1) }

// removeOldest removes and returns the idle connection that was opened first. There is at least
// one.
func (t *target) removeOldest() *conn {
	oldest := 0
	for index, idle := range t.idle {
		if idle.openedAt.Before(t.idle[oldest].openedAt) {
			oldest = index
		}
	}
	return t.remove(oldest)
}

func (t *target) remove(index int) *conn {
	connection := t.idle[index]
	t.idle = slices.Delete(t.idle, index, index+1)
	return connection
}

// Connect opens a connection to the replica, which the pool keeps. syscall.ECONNREFUSED among its
// errors means that no process listens at the address.
func (p *Pool) Connect(to Target, deadline time.Time) error {
	connection, err := p.dial(to, deadline)
	if err != nil {
		return err
	}
	p.put(to, connection)
	return nil
}

func (p *Pool) dial(to Target, deadline time.Time) (*conn, error) {
	timeout := min(p.config.DialTimeout, time.Until(deadline))
	if timeout <= 0 {
		return nil, ErrCancelled
	}
	socket, err := net.DialTimeout("tcp", to.Address.String(), timeout)
	if err != nil {
		return nil, err
	}
	setUserTimeout(socket, p.config.SilenceTimeout)
	connection := newConn(socket, p.config.IdleLimit)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.opened++
	entry := p.target(to)
	entry.open[connection] = struct{}{}
	connection.forget = func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		delete(entry.open, connection)
	}
	return connection, nil
}

// put returns a connection to the pool after an exchange that ended cleanly. It
// closes the connection if the target was removed.
func (p *Pool) put(to Target, connection *conn) {
	connection.idleSince = time.Now()
	p.mutex.Lock()
	entry := p.targets[to]
	if entry != nil {
		entry.idle = append(entry.idle, connection)
	}
	p.mutex.Unlock()
	if entry == nil {
		_ = connection.Close()
	}
}
