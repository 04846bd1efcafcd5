package upstream_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/header"
	"birchwood.example/birchwood/upstream"
)

// names are the header fields of a fictitious platform.
var names = header.Names{RequestID: "Test-Id", Seal: "Test-Seal"}

// scriptedReplica answers each request, on any connection, with the next script,
// which it writes unchanged. The script "close" closes the connection and "reset"
// resets it; the suffix "!close" closes it after the script is written, and "!end" also
// stops listening before.
type scriptedReplica struct {
	listener net.Listener
	// heads receives each request's head and body, connections each accepted
	// connection.
	heads       chan string
	connections chan net.Conn
}

func startReplica(scripts ...string) *scriptedReplica {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = listener.Close() })
	started := &scriptedReplica{listener: listener, heads: make(chan string, 16), connections: make(chan net.Conn, 16)}
	pending := make(chan string, len(scripts))
	for _, script := range scripts {
		pending <- script
	}
	go started.accept(pending)
	return started
}

func (s *scriptedReplica) accept(pending chan string) {
	for {
		socket, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.connections <- socket
		go s.answer(socket, pending)
	}
}

func (s *scriptedReplica) answer(socket net.Conn, pending chan string) {
	reader := bufio.NewReader(socket)
	for {
		head, length := "", 0
		for !strings.HasSuffix(head, "\r\n\r\n") {
			line, err := reader.ReadString('\n')
			if err != nil {
				return
			}
			head += line
			if name, value, found := strings.Cut(line, ":"); found && strings.EqualFold(name, "Content-Length") {
				length, _ = strconv.Atoi(strings.TrimSpace(value))
			}
		}
		body := make([]byte, length)
		if _, err := io.ReadFull(reader, body); err != nil {
			return
		}
		s.heads <- head + string(body)
		switch script := <-pending; script {
		case "close":
			_ = socket.Close()
			return
		case "reset":
			_ = socket.(*net.TCPConn).SetLinger(0)
			_ = socket.Close()
			return
		default:
			text, ending, closes := strings.Cut(script, "!")
			_, _ = io.WriteString(socket, text)
			if ending == "end" {
				_ = s.listener.Close()
			}
			if closes {
				_ = socket.Close()
				return
			}
		}
	}
}

func (s *scriptedReplica) target() upstream.Target {
	return upstream.Target{Identity: "r", Address: addressOf(s.listener)}
}

func newRequest(id string) *upstream.Request {
	return &upstream.Request{
		Method: "POST", Target: "/a?b=c", Host: "host.example", ID: id, Fields: []byte("Test-Id: " + id + "\r\nX-Other: as Is\r\n"),
		Body: []byte("body"), HasBody: true, Deadline: time.Now().Add(time.Minute),
	}
}

func sized(id, body string) string {
	return "HTTP/1.1 200 OK\r\nTest-Id: " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func send(pool *upstream.Pool, to *scriptedReplica, id string) ([]byte, *upstream.Response, error) {
	return sendSurviving(pool, to, id, nil)
}

// sendSurviving is send with a function that tells whether the replica's process survived.
func sendSurviving(pool *upstream.Pool, to *scriptedReplica, id string, survived func(upstream.ClosedExchange) error) ([]byte, *upstream.Response, error) {
	request := newRequest(id)
	request.Survived = survived
	response, err := pool.Send(to.target(), request, &upstream.Cancel{})
	if err != nil {
		return nil, nil, err
	}
	body, err := response.ReadAll()
	return body, response, err
}

var _ = Describe("An exchange with a replica", func() {
	var pool *upstream.Pool
	BeforeEach(func() { pool = upstream.NewPool(upstream.DefaultConfig(names)) })

	It("passes the request on byte for byte, and keeps the connection", func() {
		replica := startReplica(sized("1", "one"), sized("2", "two"))
		for _, want := range []struct{ id, body string }{{"1", "one"}, {"2", "two"}} {
			body, _, err := send(pool, replica, want.id)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(body)).To(Equal(want.body))
			Expect(<-replica.heads).To(Equal("POST /a?b=c HTTP/1.1\r\nHost: host.example\r\nTest-Id: " + want.id +
				"\r\nX-Other: as Is\r\nContent-Length: 4\r\n\r\nbody"))
		}
		opened, reused := pool.Counts()
		Expect(opened).To(Equal(uint64(1)))
		Expect(reused).To(Equal(uint64(1)))
	})

	It("says that nothing was sent where there is no replica", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(listener.Close()).To(Succeed())
		_, err = pool.Send(upstream.Target{Address: addressOf(listener)}, newRequest("1"), &upstream.Cancel{})
		Expect(upstream.NotSent(err)).To(BeTrue())
	})

	It("takes an answer that ends with its connection for whole if the replica's process survived that", func() {
		var closed upstream.ClosedExchange
		before := time.Now()
		replica := startReplica("HTTP/1.1 200 OK\r\nTest-Id: 1\r\n\r\nwhole!close", sized("2", "two"))
		body, response, err := sendSurviving(pool, replica, "1", func(exchange upstream.ClosedExchange) error {
			closed = exchange
			return nil
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("whole"))
		Expect(response.Framing()).To(Equal(upstream.FramingClose))
		Expect(response.End()).To(Equal(upstream.EndConfirmed))
		Expect(closed.Since).To(BeTemporally(">=", before))
		Expect(closed.At).To(BeTemporally(">=", closed.Since))
		witnessed, err := closed.Witness.Send(newRequest("2"))
		Expect(err).NotTo(HaveOccurred())
		Expect(witnessed.ConnectedAt()).To(BeTemporally("<", closed.Since))
		body, err = witnessed.ReadAll()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("two"))
		Expect(pool.HasIdle(replica.target())).To(BeTrue(), "the witness is used again")
		opened, _ := pool.Counts()
		Expect(opened).To(Equal(uint64(2)))
	})

	It("keeps the connection from before a body that ends with its own, though nothing is sent on it", func() {
		for _, result := range []error{nil, errors.New("not known")} {
			replica := startReplica("HTTP/1.1 200 OK\r\nTest-Id: 1\r\n\r\nwhole!close", sized("2", "two"))
			_, _, err := sendSurviving(pool, replica, "1", func(upstream.ClosedExchange) error { return result })
			Expect(err == nil).To(Equal(result == nil))
			Expect(pool.HasIdle(replica.target())).To(BeTrue())
		}
	})

	It("does not take an answer that ends with its connection for whole if the replica has ended", func() {
		replica := startReplica("HTTP/1.1 200 OK\r\nTest-Id: 1\r\n\r\nhalf!end")
		_, response, err := sendSurviving(pool, replica, "1", func(upstream.ClosedExchange) error { return errors.New("it ended") })
		var unknown *upstream.UnknownError
		Expect(errors.As(err, &unknown)).To(BeTrue())
		Expect(upstream.NotSent(err)).To(BeFalse())
		Expect(upstream.BrokeOff(err)).To(BeTrue())
		Expect(response.End()).To(Equal(upstream.EndUnconfirmed))
	})

	It("never ends a body without a length with io.EOF", func() {
		replica := startReplica("HTTP/1.1 200 OK\r\nTest-Id: 1\r\n\r\nhalf!close")
		response, err := pool.Send(replica.target(), newRequest("1"), &upstream.Cancel{})
		Expect(err).NotTo(HaveOccurred())
		defer response.Abort()
		_, err = io.Copy(io.Discard, response)
		Expect(err).To(MatchError(upstream.ErrClosed))
		Expect(response.End()).To(Equal(upstream.EndClosed))
	})

	DescribeTable("says that the request may have run when the answer breaks off",
		func(script string) {
			_, _, err := send(pool, startReplica(script), "1")
			Expect(err).To(HaveOccurred())
			Expect(upstream.NotSent(err)).To(BeFalse())
			var unknown *upstream.UnknownError
			Expect(errors.As(err, &unknown)).To(BeTrue())
		},
		Entry("before the head", "close"),
		Entry("by a reset", "reset"),
		Entry("in the head", "HTTP/1.1 200 OK\r\nTest-I!close"),
		Entry("in a body of a known length", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nContent-Length: 9\r\n\r\nhalf!close"),
		Entry("in a chunk", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf!close"),
		Entry("before the last chunk", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n!close"),
		Entry("in the trailer", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\nA: b\r\n!close"),
		Entry("before the last line of the trailer", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n!close"),
		Entry("with bytes that are no answer", "\x00\x01garbage\r\n\r\n"),
		Entry("with its own id and then another's", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTest-Id: 2\r\nContent-Length: 3\r\n\r\none"),
		Entry("with another's id and then its own", "HTTP/1.1 200 OK\r\nTest-Id: 2\r\nTest-Id: 1\r\nContent-Length: 3\r\n\r\none"),
		Entry("with its own id and an empty one", "HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTest-Id:\r\nContent-Length: 3\r\n\r\none"),
		Entry("with only another request's answers", sized("7", "x")+sized("8", "x")+sized("9", "x")),
	)

	It("takes a body that ends with its connection", func() {
		replica := startReplica("HTTP/1.1 200 OK\r\nTest-Id: 1\r\n\r\nwhole!close")
		body, _, err := sendSurviving(pool, replica, "1", func(upstream.ClosedExchange) error { return nil })
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("whole"))
	})

	It("reads chunks to the end of the trailer, and uses the connection again", func() {
		replica := startReplica("HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\nX-T: 1\r\n\r\n", sized("2", "two"))
		body, _, err := send(pool, replica, "1")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("one"))
		body, _, err = send(pool, replica, "2")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("two"))
		Expect(replica.connections).To(HaveLen(1))
	})

	It("skips the late answer of an earlier request, and does not use the connection again", func() {
		replica := startReplica(sized("0", "late")+sized("1", "mine"), sized("2", "two"))
		body, _, err := send(pool, replica, "1")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("mine"))
		_, _, err = send(pool, replica, "2")
		Expect(err).NotTo(HaveOccurred())
		Expect(replica.connections).To(HaveLen(2))
	})

	It("takes an answer that gives its id twice", func() {
		replica := startReplica("HTTP/1.1 200 OK\r\nTest-Id: 1\r\nTest-Id: 1\r\nContent-Length: 3\r\n\r\none")
		body, _, err := send(pool, replica, "1")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("one"))
	})

	It("does not use a connection again on which bytes wait after a whole answer", func() {
		replica := startReplica(sized("1", "mine")+sized("1", "again"), sized("2", "two"))
		_, _, err := send(pool, replica, "1")
		Expect(err).NotTo(HaveOccurred())
		body, _, err := send(pool, replica, "2")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("two"))
		Expect(replica.connections).To(HaveLen(2))
	})

	DescribeTable("does not use a connection again that the replica is about to close",
		func(field string) {
			answer := strings.Replace(sized("1", "one"), "\r\n\r\n", "\r\n"+field+"\r\n\r\n", 1)
			replica := startReplica(answer, sized("2", "two"))
			_, _, err := send(pool, replica, "1")
			Expect(err).NotTo(HaveOccurred())
			_, _, err = send(pool, replica, "2")
			Expect(err).NotTo(HaveOccurred())
			Expect(replica.connections).To(HaveLen(2))
		},
		Entry("it says so", "Connection: close"),
		Entry("its time is up at once", "Keep-Alive: timeout=0"),
	)

	It("ends at once when it is cancelled, and says why", func() {
		replica := startReplica("HTTP/1.1 200 OK\r\nTest-Id: 1\r\nContent-Length: 9\r\n\r\nhalf")
		cancel := &upstream.Cancel{}
		response, err := pool.Send(replica.target(), newRequest("1"), cancel)
		Expect(err).NotTo(HaveOccurred())
		cause := errors.New("the client has left")
		cancel.Trigger(cause)
		_, err = response.ReadAll()
		Expect(err).To(MatchError(cause))
	})

	It("sends nothing for an exchange that was cancelled before", func() {
		replica := startReplica()
		cancel := &upstream.Cancel{}
		cancel.Trigger(errors.New("gone"))
		_, err := pool.Send(replica.target(), newRequest("1"), cancel)
		Expect(upstream.NotSent(err)).To(BeTrue())
	})

	It("takes an early answer to a long body, and closes the connection whose request is not whole", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		release := make(chan struct{})
		DeferCleanup(func() { close(release) })
		go func() {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(socket, sized("1", "early"))
			<-release
			_ = socket.Close()
		}()
		request := newRequest("1")
		request.Body = make([]byte, 64<<20)
		to := upstream.Target{Address: addressOf(listener)}
		response, err := pool.Send(to, request, &upstream.Cancel{})
		Expect(err).NotTo(HaveOccurred())
		body, err := response.ReadAll()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("early"))
		_, reused := pool.Counts()
		Expect(reused).To(BeZero())
	})
})

// addressOf returns the address of a listener.
func addressOf(listener net.Listener) netip.AddrPort {
	return netip.MustParseAddrPort(listener.Addr().String())
}

var _ = Describe("A cancel with attempts", func() {
	It("ends its attempts, and leaves them alone when one of them ends", func() {
		exchange := &upstream.Cancel{}
		first, second := exchange.Child(), exchange.Child()
		overtaken, left := errors.New("overtaken"), errors.New("left")
		first.Trigger(overtaken)
		Expect(second.Cause()).NotTo(HaveOccurred())
		Expect(exchange.Cause()).NotTo(HaveOccurred())
		exchange.Trigger(left)
		Expect(first.Cause()).To(MatchError(overtaken))
		Expect(second.Cause()).To(MatchError(left))
		Expect(exchange.Child().Cause()).To(MatchError(left))
	})
})
