package ingress

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"birchwood.example/birchwood/membudget"
	"birchwood.example/birchwood/routing"
)

// Handler answers one exchange. It runs on the connection's goroutine. The
// exchange must not be used after the handler returns.
type Handler func(*Exchange)

// Config sets up a Server.
type Config struct {
	Handler Handler
	// Limits returns the limits in force.
	Limits func() routing.Limits
	// MaxConnections limits the number of open connections; 0 means no limit.
	// Connections accepted beyond it are closed immediately.
	MaxConnections int
	// Memory bounds the memory of the bodies of all exchanges; nil for no bound.
	Memory *membudget.Budget
	// OnPanic is called with the recovered value when a handler panics. The
	// handler's connection is closed.
	OnPanic func(value any)
	// WatchPeriod is the interval at which clients are checked for having
	// disconnected.
	WatchPeriod time.Duration
}

// defaultWatchPeriod is the default of Config.WatchPeriod.
const defaultWatchPeriod = 100 * time.Millisecond

// Server accepts the connections of clients.
type Server struct {
	config   Config
	draining atomic.Bool
	// diverting, while set, makes responses close their connections.
	diverting atomic.Bool
	buffers   buffers

	mutex       sync.Mutex
	connections map[*connection]struct{}
	listeners   []net.Listener
	closed      bool
	// serving counts the connections' goroutines.
	serving sync.WaitGroup
	stop    chan struct{}
}

// NewServer returns a server without listeners.
func NewServer(config Config) *Server {
	if config.WatchPeriod <= 0 {
		config.WatchPeriod = defaultWatchPeriod
	}
	server := &Server{config: config, connections: make(map[*connection]struct{}), stop: make(chan struct{})}
	go server.watchClients()
	return server
}

// Serve accepts connections until the listener is closed, as by StopAccepting or
// Shutdown, and then returns nil. It retries after other errors.
func (s *Server) Serve(listener net.Listener) error {
	s.mutex.Lock()
	s.listeners = append(s.listeners, listener)
	s.mutex.Unlock()
	for {
		socket, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The usual cause is a lack of file descriptors; closing connections
			// frees some.
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.accept(socket)
	}
}

// acceptRetryDelay is the delay after a failed accept.
const acceptRetryDelay = 20 * time.Millisecond

func (s *Server) accept(socket net.Conn) {
	accepted := newConnection(s, socket)
	s.mutex.Lock()
	full := s.config.MaxConnections > 0 && len(s.connections) >= s.config.MaxConnections
	if s.closed || full {
		s.mutex.Unlock()
		_ = socket.Close()
		return
	}
	s.connections[accepted] = struct{}{}
	s.serving.Add(1)
	s.mutex.Unlock()
	go s.serveConnection(accepted)
}

// serveConnection serves one connection until it closes. A panic of the handler
// closes its connection but does not end the process.
func (s *Server) serveConnection(accepted *connection) {
	defer s.serving.Done()
	defer func() {
		if value := recover(); value != nil && s.config.OnPanic != nil {
			s.config.OnPanic(value)
		}
		s.mutex.Lock()
		delete(s.connections, accepted)
		s.mutex.Unlock()
	}()
	accepted.serve()
}

// Drain makes every later response close its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// Divert sets whether responses close their connections. Clients then reconnect,
// possibly to other nodes.
func (s *Server) Divert(diverting bool) { s.diverting.Store(diverting) }

// closesConnections reports whether responses close their connections.
func (s *Server) closesConnections() bool { return s.draining.Load() || s.diverting.Load() }

// Active returns the number of exchanges in progress.
func (s *Server) Active() int {
	active := 0
	for _, conn := range s.snapshot() {
		if conn.exchange.Load() != nil {
			active++
		}
	}
	return active
}

// StopAccepting closes the listeners and the idle connections. Exchanges in
// progress continue.
func (s *Server) StopAccepting() {
	s.Drain()
	s.mutex.Lock()
	listeners := s.listeners
	s.listeners = nil
	s.mutex.Unlock()
	for _, listener := range listeners {
		_ = listener.Close()
	}
	for _, conn := range s.snapshot() {
		conn.closeIdle()
	}
}

// Shutdown calls StopAccepting, waits for the exchanges in progress until ctx
// is done, and closes the remaining connections.
func (s *Server) Shutdown(ctx context.Context) error {
	s.StopAccepting()
	done := make(chan struct{})
	go func() {
		s.serving.Wait()
		close(done)
	}()
	defer s.close()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Server) close() {
	s.mutex.Lock()
	wasClosed := s.closed
	s.closed = true
	s.mutex.Unlock()
	if wasClosed {
		return
	}
	close(s.stop)
	for _, conn := range s.snapshot() {
		_ = conn.socket.Close()
	}
}

func (s *Server) snapshot() []*connection {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	open := make([]*connection, 0, len(s.connections))
	for conn := range s.connections {
		open = append(open, conn)
	}
	return open
}

// watchClients periodically cancels the exchanges of clients that have disconnected.
func (s *Server) watchClients() {
	ticker := time.NewTicker(s.config.WatchPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
		for _, conn := range s.snapshot() {
			conn.checkClient()
		}
	}
}
