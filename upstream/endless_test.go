package upstream_test

import (
	"bytes"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/upstream"
)

const (
	// endlessDeadline is the deadline of an exchange that has to end long before, and
	// endlessTimeout how long a spec waits for that.
	endlessDeadline = time.Minute
	endlessTimeout  = 20 * time.Second
	// bufferedBytes is more than what the buffers of two sockets hold.
	bufferedBytes = 16 << 20
)

// endlessReplica answers each connection with a head, and then repeats a piece until the
// connection is closed.
type endlessReplica struct {
	listener net.Listener
	sent     atomic.Int64
	closed   chan struct{}
}

func startEndless(head, piece string) *endlessReplica {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	r := &endlessReplica{listener: listener, closed: make(chan struct{}, 64)}
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(socket, head, piece)
		}
	}()
	return r
}

func (r *endlessReplica) serve(socket net.Conn, head, piece string) {
	defer socket.Close()
	request := make([]byte, 4096)
	if _, err := socket.Read(request); err != nil {
		return
	}
	_, _ = io.WriteString(socket, head)
	pieces := bytes.Repeat([]byte(piece), max(1, 64<<10/len(piece)))
	for {
		written, err := socket.Write(pieces)
		r.sent.Add(int64(written))
		if err != nil {
			r.closed <- struct{}{}
			return
		}
	}
}

func (r *endlessReplica) target() upstream.Target {
	return upstream.Target{Identity: "r", Address: addressOf(r.listener)}
}

// endless sends a request to the replica and reads its answer to the end.
func (r *endlessReplica) exchange(pool *upstream.Pool) error {
	request := newRequest("1")
	request.Deadline = time.Now().Add(endlessDeadline)
	response, err := pool.Send(r.target(), request, &upstream.Cancel{})
	if err != nil {
		return err
	}
	_, err = response.ReadAll()
	return err
}

var _ = DescribeTable("An answer without end is broken off at a bound", func(head, piece string, limit int) {
	pool := upstream.NewPool(upstream.DefaultConfig(names))
	replica := startEndless(head, piece)
	done := make(chan error, 1)
	go func() { done <- replica.exchange(pool) }()
	var err error
	Eventually(done).WithTimeout(endlessTimeout).Should(Receive(&err))
	Expect(err).To(HaveOccurred())
	Expect(upstream.BrokeOff(err)).To(BeFalse(), "the replica did not break it off")
	Eventually(replica.closed).WithTimeout(endlessTimeout).Should(Receive())
	Expect(replica.sent.Load()).To(BeNumerically("<", limit+bufferedBytes))
},
	Entry("in the body of another request's answer", "HTTP/1.1 200 OK\r\nTest-Id: 7\r\nContent-Length: 99999999999\r\n\r\n", "x", 0),
	Entry("in informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n", 0),
	Entry("in one field of the head", "HTTP/1.1 200 OK\r\nA: ", "x", 0),
	Entry("in the fields of the head", "HTTP/1.1 200 OK\r\n", "A: b\r\n", 0),
	Entry("from the start", "", "x", 0),
	Entry("in the size of a chunk", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1", 0),
	Entry("in chunks", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n"+strings.Repeat("x", 0x400)+"\r\n", 16<<20),
	Entry("in a body of a length beyond the bound", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nContent-Length: 99999999999\r\n\r\n", "x", 0),
	Entry("in a body that ends with its connection", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\n\r\n", "x", 16<<20),
)

var _ = Describe("Bytes after a whole answer", func() {
	It("close the connection", func() {
		pool := upstream.NewPool(upstream.DefaultConfig(names))
		replica := startEndless(sized("1", "whole"), "x")
		Expect(replica.exchange(pool)).To(Succeed())
		Eventually(func() chan struct{} {
			pool.CloseUnusable()
			return replica.closed
		}).WithTimeout(endlessTimeout).Should(Receive())
		Expect(pool.HasIdle(replica.target())).To(BeFalse())
	})

	It("are not looked for on connections that are in order", func() {
		pool := upstream.NewPool(upstream.DefaultConfig(names))
		replica := startReplica(sized("1", "one"), sized("2", "two"))
		for _, id := range []string{"1", "2"} {
			_, _, err := send(pool, replica, id)
			Expect(err).NotTo(HaveOccurred())
			pool.CloseUnusable()
		}
		opened, reused := pool.Counts()
		Expect(opened).To(Equal(uint64(1)))
		Expect(reused).To(Equal(uint64(1)))
	})
})

var _ = Describe("An answer that is not needed", func() {
	It("is read to a small bound only", func() {
		pool := upstream.NewPool(upstream.DefaultConfig(names))
		replica := startEndless("HTTP/1.1 503 Busy\r\nTest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nmore\r\n")
		response, err := pool.Send(replica.target(), newRequest("1"), &upstream.Cancel{})
		Expect(err).NotTo(HaveOccurred())
		response.Discard()
		Eventually(replica.closed).WithTimeout(endlessTimeout).Should(Receive())
		Expect(replica.sent.Load()).To(BeNumerically("<", bufferedBytes))
	})
})
