package upstream_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/header"
	"birchwood.example/birchwood/upstream"
)

// acceptingReplica accepts connections and answers one request on each.
type acceptingReplica struct {
	listener net.Listener
	sockets  chan net.Conn
}

func startAccepting(address string) *acceptingReplica {
	listener, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	r := &acceptingReplica{listener: listener, sockets: make(chan net.Conn, 8)}
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			r.sockets <- socket
			go func() {
				request := make([]byte, 4096)
				_, _ = socket.Read(request)
				_, _ = io.WriteString(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}()
		}
	}()
	DeferCleanup(func() { _ = listener.Close() })
	return r
}

// end closes the listener and all connections.
func (r *acceptingReplica) end() {
	_ = r.listener.Close()
	for len(r.sockets) > 0 {
		socket := <-r.sockets
		_ = socket.Close()
	}
}

var _ = Describe("The check of a replica's process", func() {
	var replica *acceptingReplica
	var pool *upstream.Pool
	var to upstream.Target

	// use leaves an idle connection to the replica in the pool.
	use := func() {
		response, err := pool.Send(to, &upstream.Request{Method: "GET", Target: "/", Host: "h", Deadline: time.Now().Add(time.Minute)}, &upstream.Cancel{})
		Expect(err).NotTo(HaveOccurred())
		_, err = response.ReadAll()
		Expect(err).NotTo(HaveOccurred())
	}

	BeforeEach(func() {
		replica = startAccepting("127.0.0.1:0")
		pool = upstream.NewPool(upstream.DefaultConfig(header.Names{}))
		to = upstream.Target{Identity: "i", Address: netip.MustParseAddrPort(replica.listener.Addr().String())}
	})

	It("finds a process that lives by an older connection", func() {
		use()
		Expect(pool.CheckProcess(to, time.Now())).To(Equal(upstream.ProcessLives))
	})

	It("finds a process that ended, as it accepts no connection", func() {
		use()
		replica.end()
		Expect(pool.CheckProcess(to, time.Now())).To(Equal(upstream.ProcessEnded))
	})

	It("finds a process that ended although another one listens at its address", func() {
		use()
		replica.end()
		startAccepting(to.Address.String())
		Expect(pool.CheckProcess(to, time.Now())).To(Equal(upstream.ProcessEnded))
	})

	It("does not know without an older connection", func() {
		since := time.Now()
		use()
		Expect(pool.CheckProcess(to, since)).To(Equal(upstream.ProcessUnknown))
	})

	It("finds that a replica whose target was removed has ended", func() {
		use()
		pool.RemoveTarget(to)
		Expect(pool.CheckProcess(to, time.Now())).To(Equal(upstream.ProcessEnded))
	})
})

var _ = DescribeTable("The failures that break a run off", func(err error, brokeOff bool) {
	Expect(upstream.BrokeOff(fmt.Errorf("wrapped: %w", err))).To(Equal(brokeOff))
},
	Entry("an end", io.EOF, true),
	Entry("an end inside the body", io.ErrUnexpectedEOF, true),
	Entry("a reset", syscall.ECONNRESET, true),
	Entry("an end by close", upstream.ErrClosed, true),
	Entry("an end that is not confirmed", upstream.ErrUnconfirmed, true),
	Entry("no failure", nil, false),
	Entry("a time-out", syscall.ETIMEDOUT, false),
	Entry("a cancellation", upstream.ErrCancelled, false),
	Entry("an invalid answer", errors.New("invalid"), false),
)
