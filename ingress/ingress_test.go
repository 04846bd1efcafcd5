package ingress_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/ingress"
	"birchwood.example/birchwood/routing"
)

// limits are used by most tests; their timeouts are too long to expire in a test.
var limits = routing.Limits{HeaderBytes: 1024, BodyBytes: 64, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}

// startServer starts a server with the handler and returns it with a function
// that connects to it.
func startServer(limits routing.Limits, handler ingress.Handler) (*ingress.Server, func() net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := ingress.NewServer(ingress.Config{
		Handler: handler, Limits: func() routing.Limits { return limits }, WatchPeriod: time.Millisecond,
	})
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(func() {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Shutdown(ended)
	})
	return server, func() net.Conn {
		socket, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = socket.Close() })
		return socket
	}
}

// echo responds with the request's body.
func echo(exchange *ingress.Exchange) {
	head := &fasthttp.ResponseHeader{}
	head.SetStatusCode(fasthttp.StatusOK)
	head.SetNoDefaultContentType(true)
	head.Set("X-Given", "as Is")
	exchange.Relay(head, exchange.Body)
}

// exchangeRaw writes raw bytes and reads one response.
func exchangeRaw(socket net.Conn, reader *bufio.Reader, raw string) *http.Response {
	_, err := io.WriteString(socket, raw)
	Expect(err).NotTo(HaveOccurred())
	answer, err := http.ReadResponse(reader, nil)
	Expect(err).NotTo(HaveOccurred())
	return answer
}

func bodyOf(answer *http.Response) string {
	body, err := io.ReadAll(answer.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(body)
}

var _ = Describe("A client's connection", func() {
	It("carries one request after the other, with lengths and chunks", func() {
		_, dial := startServer(limits, echo)
		socket := dial()
		reader := bufio.NewReader(socket)
		for range 2 {
			answer := exchangeRaw(socket, reader, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\none")
			Expect(answer.StatusCode).To(Equal(200))
			Expect(answer.Header.Get("X-Given")).To(Equal("as Is"))
			Expect(bodyOf(answer)).To(Equal("one"))
			answer = exchangeRaw(socket, reader, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n")
			Expect(bodyOf(answer)).To(Equal("two"))
		}
	})

	It("serves requests that came together, each with its own answer", func() {
		_, dial := startServer(limits, echo)
		socket := dial()
		reader := bufio.NewReader(socket)
		answer := exchangeRaw(socket, reader, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\none"+
			"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\ntwo")
		Expect(bodyOf(answer)).To(Equal("one"))
		answer, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(bodyOf(answer)).To(Equal("two"))
		answer = exchangeRaw(socket, reader, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nthree")
		Expect(bodyOf(answer)).To(Equal("three"))
	})

	It("invites a body that waits to be asked for", func() {
		_, dial := startServer(limits, echo)
		socket := dial()
		reader := bufio.NewReader(socket)
		answer := exchangeRaw(socket, reader, "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
		Expect(answer.StatusCode).To(Equal(100))
		answer = exchangeRaw(socket, reader, "one")
		Expect(bodyOf(answer)).To(Equal("one"))
	})

	DescribeTable("refuses what breaks the limits or has two readings, and closes",
		func(raw string, status int) {
			handled := false
			_, dial := startServer(limits, func(exchange *ingress.Exchange) {
				handled = true
				echo(exchange)
			})
			socket := dial()
			reader := bufio.NewReader(socket)
			answer := exchangeRaw(socket, reader, raw)
			Expect(answer.StatusCode).To(Equal(status))
			Expect(bodyOf(answer)).To(ContainSubstring(`"error"`))
			_, err := reader.ReadByte()
			Expect(err).To(HaveOccurred())
			Expect(handled).To(BeFalse())
		},
		Entry("a head that is too large", "GET /a HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 5000)+"\r\n\r\n", 431),
		Entry("a head just over the limit", "GET /a HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 1100)+"\r\n\r\n", 431),
		Entry("a body that is too large", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n", 413),
		Entry("chunks that are too many", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n50\r\n"+strings.Repeat("x", 80)+"\r\n0\r\n\r\n", 413),
		Entry("two lengths", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400),
		Entry("a length and chunks", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
		Entry("a chunk that is none", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
		Entry("no HTTP", "what is this\r\n\r\n", 400),
	)

	DescribeTable("does not handle a request whose body broke off",
		func(raw string) {
			handled := make(chan struct{}, 1)
			_, dial := startServer(limits, func(exchange *ingress.Exchange) {
				handled <- struct{}{}
				echo(exchange)
			})
			socket := dial()
			_, err := io.WriteString(socket, "POST /a HTTP/1.1\r\nHost: h\r\n"+raw)
			Expect(err).NotTo(HaveOccurred())
			Expect(socket.(*net.TCPConn).CloseWrite()).To(Succeed())
			answer, err := io.ReadAll(socket)
			Expect(err).NotTo(HaveOccurred())
			Expect(answer).To(BeEmpty())
			Expect(handled).To(BeEmpty())
		},
		Entry("short of its length", "Content-Length: 5\r\n\r\nhalf"),
		Entry("in a chunk", "Transfer-Encoding: chunked\r\n\r\n5\r\nhalf"),
		Entry("before the last chunk", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"),
		Entry("before the last line of the trailer", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n"),
	)

	It("answers a request that does not come in time, and closes", func() {
		short := limits
		short.HeaderTimeout = time.Millisecond
		_, dial := startServer(short, echo)
		socket := dial()
		answer := exchangeRaw(socket, bufio.NewReader(socket), "GET /a HTT")
		Expect(answer.StatusCode).To(Equal(408))
	})

	It("cancels the exchange when the client hangs up", func() {
		cancelled := make(chan error, 1)
		begun := make(chan struct{})
		_, dial := startServer(limits, func(exchange *ingress.Exchange) {
			close(begun)
			defer GinkgoRecover()
			Eventually(exchange.Cancel.Cause).Should(HaveOccurred())
			cancelled <- exchange.Cancel.Cause()
		})
		socket := dial()
		_, err := io.WriteString(socket, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		<-begun
		Expect(socket.Close()).To(Succeed())
		Eventually(cancelled).Should(Receive(MatchError(ingress.ErrClientGone)))
	})

	It("does not handle a request whose client left before it was read", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = listener.Close() })
		send := func(path string) net.Conn {
			socket, err := net.Dial("tcp", listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			_, err = io.WriteString(socket, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
			return socket
		}
		// Both clients connect before the server accepts, so that the first has
		// disconnected before its request is read.
		Expect(send("/left").Close()).To(Succeed())
		staying := send("/stays")
		DeferCleanup(func() { _ = staying.Close() })
		handled := make(chan string, 2)
		server := ingress.NewServer(ingress.Config{
			Limits:  func() routing.Limits { return limits },
			Handler: func(exchange *ingress.Exchange) { handled <- exchange.Path(); echo(exchange) },
		})
		served := make(chan error, 1)
		go func() { served <- server.Serve(listener) }()
		Eventually(handled).Should(Receive(Equal("/stays")))
		Expect(server.Shutdown(context.Background())).To(Succeed())
		Expect(handled).To(BeEmpty())
	})

	It("does not end a stream as complete that was broken off", func() {
		_, dial := startServer(limits, func(exchange *ingress.Exchange) {
			head := &fasthttp.ResponseHeader{}
			head.SetStatusCode(fasthttp.StatusOK)
			Expect(exchange.BeginStream(head)).To(Succeed())
			Expect(exchange.Write([]byte("half"))).To(Succeed())
			exchange.Abort()
		})
		socket := dial()
		answer := exchangeRaw(socket, bufio.NewReader(socket), "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
		body, err := io.ReadAll(answer.Body)
		Expect(string(body)).To(Equal("half"))
		Expect(err).To(HaveOccurred())
	})

	It("ends alone when its handler panics", func() {
		panicked := make(chan any, 1)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := ingress.NewServer(ingress.Config{
			Limits:         func() routing.Limits { return limits },
			OnPanic:        func(value any) { panicked <- value },
			MaxConnections: 1,
			Handler: func(exchange *ingress.Exchange) {
				if exchange.Path() == "/bad" {
					panic("bad")
				}
				echo(exchange)
			},
		})
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(func() { _ = listener.Close() })
		dial := func() net.Conn {
			socket, err := net.Dial("tcp", listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(func() { _ = socket.Close() })
			return socket
		}
		first := dial()
		answer := exchangeRaw(first, bufio.NewReader(first), "POST /good HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
		Expect(answer.StatusCode).To(Equal(200))
		_, err = dial().Read(make([]byte, 1))
		Expect(err).To(HaveOccurred(), "a connection over the bound is closed")
		_, err = io.WriteString(first, "GET /bad HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Eventually(panicked).Should(Receive(Equal("bad")))
		Eventually(func() int {
			next := dial()
			if _, err := io.WriteString(next, "POST /good HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"); err != nil {
				return 0
			}
			answer, err := http.ReadResponse(bufio.NewReader(next), nil)
			if err != nil {
				return 0
			}
			return answer.StatusCode
		}).Should(Equal(200))
	})

	It("tells when to come back", func() {
		_, dial := startServer(limits, func(exchange *ingress.Exchange) { exchange.Fail(503, "full", 250*time.Millisecond) })
		socket := dial()
		answer := exchangeRaw(socket, bufio.NewReader(socket), "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
		Expect(answer.StatusCode).To(Equal(503))
		Expect(answer.Header.Get("Retry-After")).To(Equal("0.250"))
	})
})

var _ = Describe("A server that diverts its clients", func() {
	It("closes the connections of answers for as long as that lasts", func() {
		server, dial := startServer(limits, echo)
		ask := func() bool {
			socket := dial()
			return exchangeRaw(socket, bufio.NewReader(socket), "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx").Close
		}
		Expect(ask()).To(BeFalse())
		server.Divert(true)
		Expect(ask()).To(BeTrue())
		server.Divert(false)
		Expect(ask()).To(BeFalse())
	})
})

var _ = Describe("A planned stop", func() {
	It("lets the exchange under way end, says that the connection closes, and closes idle ones", func() {
		release := make(chan struct{})
		begun := make(chan struct{}, 1)
		server, dial := startServer(limits, func(exchange *ingress.Exchange) {
			begun <- struct{}{}
			<-release
			echo(exchange)
		})
		idle, active := dial(), dial()
		_, err := io.WriteString(active, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\none")
		Expect(err).NotTo(HaveOccurred())
		<-begun
		stopped := make(chan error, 1)
		go func() { stopped <- server.Shutdown(context.Background()) }()
		_, err = idle.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		close(release)
		answer, err := http.ReadResponse(bufio.NewReader(active), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(bodyOf(answer)).To(Equal("one"))
		Expect(answer.Close).To(BeTrue())
		Expect(<-stopped).To(Succeed())
	})
})
