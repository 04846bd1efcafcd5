package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"birchwood.example/birchwood/platform/standin"
)

// direction is a direction of traffic through a proxy.
type direction int

const (
	// toTarget is from the connecting side to the target; toClient is the reverse.
	toTarget direction = iota
	toClient
)

// proxyBufferBytes is the size of the read buffer per direction of a connection.
const proxyBufferBytes = 32 << 10

// proxyDialTimeout bounds connecting to the target.
const proxyDialTimeout = time.Second

// proxy forwards connections to a target. It can hold, mute, delay or reset them. Held data
// passes on release, as on a link that was interrupted and repaired. A muted connection
// stays open but never passes data again.
type proxy struct {
	listener net.Listener

	mutex      sync.Mutex
	target     string
	holdCounts [2]int
	// muteCount counts the faults that mute the proxy. While it is above 0, all connections are
	// muted, permanently.
	muteCount int
	delay     time.Duration
	// conns holds both ends of each connection, and whether it is muted.
	conns map[net.Conn]bool
	// changed is closed and replaced when holdCounts changes, and when the proxy is closed.
	changed chan struct{}
	closed  bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: make(map[net.Conn]bool), changed: make(chan struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(from)
	}
}

// forward copies data in both directions between a connection and the target.
func (p *proxy) forward(from net.Conn) {
	if !p.awaitRelease(toTarget) {
		_ = from.Close()
		return
	}
	to, err := net.DialTimeout("tcp", p.target, proxyDialTimeout)
	if err != nil {
		standin.ResetConnection(from)
		return
	}
	if !p.add(from, to) {
		return
	}
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(to, from, toTarget) })
	copies.Go(func() { p.copy(from, to, toClient) })
	copies.Wait()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.conns, from)
	delete(p.conns, to)
	_, _ = from.Close(), to.Close()
}

// add registers both ends of a connection, or closes them if the proxy is closed.
func (p *proxy) add(ends ...net.Conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, end := range ends {
		if p.closed {
			_ = end.Close()
			continue
		}
		p.conns[end] = p.muteCount > 0
	}
	return !p.closed
}

func (p *proxy) copy(to, from net.Conn, in direction) {
	buffer := make([]byte, proxyBufferBytes)
	for {
		size, err := from.Read(buffer)
		if !p.awaitRelease(in) {
			return
		}
		if size > 0 && !p.isMuted(from) {
			if _, writeErr := to.Write(buffer[:size]); writeErr != nil {
				standin.ResetConnection(from)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if half, ok := to.(*net.TCPConn); ok {
				_ = half.CloseWrite()
			}
			return
		case err != nil:
			standin.ResetConnection(to)
			return
		}
	}
}

// awaitRelease blocks while a direction is held, then for the delay of the proxy. It returns
// false if the proxy is closed.
func (p *proxy) awaitRelease(in direction) bool {
	p.mutex.Lock()
	delay := p.delay
	for p.holdCounts[in] > 0 && !p.closed {
		changed := p.changed
		p.mutex.Unlock()
		<-changed
		p.mutex.Lock()
	}
	open := !p.closed
	p.mutex.Unlock()
	if delay > 0 && open {
		<-time.After(delay)
	}
	return open
}

// hold adds delta to the hold counts of the directions. A direction passes data while its
// count is 0.
func (p *proxy) hold(delta int, directions ...direction) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, dir := range directions {
		p.holdCounts[dir] += delta
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// mute adds delta to the mute count. While it is above 0, open and new connections are
// muted; they stay so when it returns to 0.
func (p *proxy) mute(delta int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.muteCount += delta
	for conn := range p.conns {
		p.conns[conn] = p.conns[conn] || p.muteCount > 0
	}
}

func (p *proxy) isMuted(conn net.Conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.conns[conn]
}

func (p *proxy) setDelay(delay time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.delay = delay
}

func (p *proxy) resetAll() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for conn := range p.conns {
		standin.ResetConnection(conn)
	}
}

// stopAccepting refuses new connections from now on, as a process that was killed does.
func (p *proxy) stopAccepting() { _ = p.listener.Close() }

func (p *proxy) close() {
	p.stopAccepting()
	p.mutex.Lock()
	p.closed = true
	close(p.changed)
	p.changed = make(chan struct{})
	p.mutex.Unlock()
	p.resetAll()
}
