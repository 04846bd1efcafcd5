package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// way is a direction through a proxy.
type direction int

const (
	// onward is from who connects to the target, and back the other one.
	toTarget direction = iota
	toClient
)

// proxyBytes is how much one read of a proxy takes.
const proxyBufferBytes = 32 << 10

// proxyDial bounds how long a proxy waits for its target.
const proxyDialTimeout = time.Second

// proxy passes connections on to a target, until it is told to hold, mute or reset them.
// What it holds passes once it is told so, as on a link that was cut and mended. A
// connection that was muted passes nothing any more, and stays open.
type proxy struct {
	listener net.Listener

	mutex  sync.Mutex
	target string
	held   [2]int
	// muted counts what mutes the proxy; connections are muted for good meanwhile.
	muted int
	delay time.Duration
	// conns are both ends of the connections, and whether they are muted.
	conns map[net.Conn]bool
	// changed is closed and replaced when held changes, and at the end.
	changed chan struct{}
	closed  bool
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	made := &proxy{listener: listener, target: target, conns: make(map[net.Conn]bool), changed: make(chan struct{})}
	go made.accept()
	return made, nil
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

// pass carries one connection both ways.
func (p *proxy) forward(from net.Conn) {
	if !p.awaitRelease(toTarget) {
		_ = from.Close()
		return
	}
	to, err := net.DialTimeout("tcp", p.target, proxyDialTimeout)
	if err != nil {
		reset(from)
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

// add remembers both ends of a connection, or ends them where the proxy has ended.
func (p *proxy) add(ends ...net.Conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, end := range ends {
		if p.closed {
			_ = end.Close()
			continue
		}
		p.conns[end] = p.muted > 0
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
				reset(from)
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
			reset(to)
			return
		}
	}
}

// await holds what passes one way as long as it is to be held. It returns false once
// the proxy has ended.
func (p *proxy) awaitRelease(in direction) bool {
	p.mutex.Lock()
	delay := p.delay
	for p.held[in] > 0 && !p.closed {
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

// hold holds what passes some ways, until it is released as often.
func (p *proxy) hold(delta int, ways ...direction) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, one := range ways {
		p.held[one] += delta
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// mute ends what passes over all connections, and over new ones until it is taken back as
// often.
func (p *proxy) mute(delta int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.muted += delta
	for conn := range p.conns {
		p.conns[conn] = p.conns[conn] || p.muted > 0
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

// resetAll resets all connections.
func (p *proxy) resetAll() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for conn := range p.conns {
		reset(conn)
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mutex.Lock()
	p.closed = true
	close(p.changed)
	p.changed = make(chan struct{})
	p.mutex.Unlock()
	p.resetAll()
}

// reset ends a connection without the end of its stream.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
