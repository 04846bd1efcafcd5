//go:build review

package standin2

import (
	"io"
	"net"
	"sync"

	"birchwood.example/birchwood/platform/standin"
)

// gate forwards connections to the store. While it is shut the store is down: all connections
// are reset, open and new ones.
type gate struct {
	listener net.Listener
	target   string

	mutex sync.Mutex
	shut  bool
	conns map[net.Conn]struct{}
}

func newGate(target string) (*gate, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &gate{listener: listener, target: target, conns: make(map[net.Conn]struct{})}
	go g.accept()
	return g, nil
}

func (g *gate) address() string { return g.listener.Addr().String() }

func (g *gate) accept() {
	for {
		from, err := g.listener.Accept()
		if err != nil {
			return
		}
		go g.forward(from)
	}
}

// forward copies bytes in both directions until one side closes.
func (g *gate) forward(from net.Conn) {
	to, err := net.Dial("tcp", g.target)
	if err != nil {
		standin.ResetConnection(from)
		return
	}
	g.mutex.Lock()
	shut := g.shut
	g.conns[from], g.conns[to] = struct{}{}, struct{}{}
	g.mutex.Unlock()
	if !shut {
		done := make(chan struct{}, 2)
		for _, pair := range [][2]net.Conn{{to, from}, {from, to}} {
			go func() {
				_, _ = io.Copy(pair[0], pair[1])
				done <- struct{}{}
			}()
		}
		<-done
	}
	standin.ResetConnection(from)
	_ = to.Close()
	g.mutex.Lock()
	delete(g.conns, from)
	delete(g.conns, to)
	g.mutex.Unlock()
}

// setShut shuts or opens the gate.
func (g *gate) setShut(shut bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.shut = shut
	for conn := range g.conns {
		if shut {
			standin.ResetConnection(conn)
		}
	}
}

func (g *gate) isShut() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.shut
}

func (g *gate) close() {
	_ = g.listener.Close()
	g.setShut(true)
}
