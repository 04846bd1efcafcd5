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

var _ = Describe("The connections to a replica", func() {
	var replica *acceptingReplica
	var pool *upstream.Pool
	var to upstream.Target

	request := func() *upstream.Request {
		return &upstream.Request{Method: "GET", Target: "/", Host: "h", Deadline: time.Now().Add(time.Minute)}
	}

	// probe sends a request on the oldest connection, and returns when that was opened.
	probe := func() (connectedAt time.Time, err error) {
		response, err := pool.SendOnOldest(to, request(), &upstream.Cancel{})
		if err != nil {
			return time.Time{}, err
		}
		response.Discard()
		return response.ConnectedAt(), nil
	}

	BeforeEach(func() {
		replica = startAccepting("127.0.0.1:0")
		pool = upstream.NewPool(upstream.DefaultConfig(header.Names{}))
		to = upstream.Target{Identity: "i", Address: netip.MustParseAddrPort(replica.listener.Addr().String())}
	})

	It("are probed on the one that was opened first", func() {
		before := time.Now()
		Expect(pool.Connect(to, before.Add(time.Minute))).To(Succeed())
		between := time.Now()
		Expect(pool.Connect(to, before.Add(time.Minute))).To(Succeed())
		connectedAt, err := probe()
		Expect(err).NotTo(HaveOccurred())
		Expect(connectedAt).To(BeTemporally(">=", before))
		Expect(connectedAt).To(BeTemporally("<=", between))
	})

	It("are refused by a process that ended", func() {
		replica.end()
		Expect(upstream.Refused(pool.Connect(to, time.Now().Add(time.Minute)))).To(BeTrue())
	})

	It("are not the older ones once another process listens at the address", func() {
		Expect(pool.Connect(to, time.Now().Add(time.Minute))).To(Succeed())
		Eventually(replica.sockets).Should(HaveLen(1))
		replica.end()
		startAccepting(to.Address.String())
		since := time.Now()
		connectedAt, err := probe()
		Expect(err).NotTo(HaveOccurred())
		Expect(connectedAt).To(BeTemporally(">=", since))
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
