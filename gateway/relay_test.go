package gateway_test

import (
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/gateway"
)

var _ = Describe("A caller at another node than the owner", func() {
	var shared *cluster
	var entry, first, second *node
	var programs, calls string

	BeforeEach(func() {
		shared = newCluster()
		entry = shared.start("midrand-1")
		first = shared.start("isando-1")
		second = shared.start("isando-2")
		shared.move("isando-1")
		programs = "http://" + entry.address + "/v1/programs"
		calls = programs + "/" + string(triageProgram) + "/calls"
		Expect(ask("POST", programs, triageToken, createTriage).status).To(Equal(200))
	})

	// submitInBackground submits the first call, and delivers its answer.
	submitInBackground := func() <-chan reply {
		answered := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			answered <- ask("POST", calls, triageToken, submitFirst)
		}()
		return answered
	}

	It("gets an answer that takes many slices of waiting", func() {
		answered := submitInBackground()
		held := shared.get(triageProgram, "a")
		Eventually(shared.submitted).Should(BeNumerically(">=", 3))
		Expect(answered).NotTo(Receive())
		shared.finish(held, "world")
		var got reply
		Eventually(answered).Should(Receive(&got))
		Expect(got.status).To(Equal(200))
		Expect(got.call().Output).To(Equal("world"))
	})

	It("gets the answer from the new owner when the program moves while it waits", func() {
		answered := submitInBackground()
		held := shared.get(triageProgram, "a")
		shared.move("isando-2")
		first.kill()
		shared.finish(held, "moved")
		var got reply
		Eventually(answered).Should(Receive(&got))
		Expect(got.call().Output).To(Equal("moved"))
		Expect(got.call().Sequence).To(Equal(uint64(1)), "the key names the call that the first owner admitted")
	})

	It("gets text without buffering, and every byte once when the owner dies in the middle", func() {
		stream := openEvents("POST", calls, triageToken, streamFirst)
		defer stream.close()
		Expect(stream.next().kind).To(Equal("accepted"))
		held := shared.get(triageProgram, "a")
		held.buffer.Append(1, 0, "one ")
		Expect(stream.next()).To(Equal(received{"text", "1:4", `{"offset":0,"text":"one "}`}))
		shared.move("isando-2")
		first.kill()
		held.buffer.Append(1, 4, "two ")
		Expect(stream.next()).To(Equal(received{"text", "1:8", `{"offset":4,"text":"two "}`}))
		shared.finish(held, "one two three")
		text, last := stream.text()
		Expect(text).To(Equal("three"))
		Expect(last.kind).To(Equal("end"))
	})

	It("uses the connection to the owner again after a stream", func() {
		Expect(ask("POST", calls+"?wait=false", triageToken, submitFirst).status).To(Equal(http.StatusAccepted))
		shared.finish(shared.get(triageProgram, "a"), "one")
		readStream := func() int {
			before := first.opened()
			stream := openEvents("GET", calls+"/key:a/stream", triageToken, "")
			defer stream.close()
			text, last := stream.text()
			Expect(text).To(Equal("one"))
			Expect(last.kind).To(Equal("end"))
			return first.opened() - before
		}
		readStream() // May use the connection of the submit.
		Eventually(readStream).Should(BeZero())
	})

	It("finds the owner that the asked node names", func() {
		direct := "http://" + second.address + "/v1/programs/" + string(triageProgram)
		headers := []string{"X-Birchwood-Scope", "/koudeketting/triage", "X-Birchwood-Hops", "1"}
		got := ask("GET", direct, peerToken, "", headers...)
		Expect(got.status).To(Equal(http.StatusMisdirectedRequest), "a node that was passed a request passes it on no further")
		Expect(got.header.Get("X-Birchwood-Owner")).To(Equal(first.address))
	})

	It("is told that nothing ran when no owner could be reached", func() {
		first.kill()
		got := ask("POST", calls, triageToken, submitFirst)
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.error().Code).To(Equal(api.CodeOwnerUnknown))
		Expect(got.error().Ran).To(Equal(api.RanNotRun))
		Expect(got.error().Retry).To(BeTrue())
	})

	It("is not told that nothing ran when an earlier attempt may have run", func() {
		refusals := 0
		first.submitError = func() *api.Error {
			refusals++
			if refusals == 1 {
				return &api.Error{Code: api.CodeNotOwner, Ran: api.RanOutcomeUnknown, Retry: true}
			}
			return api.Refuse(api.CodeOverloaded, "too much to do").WithRetryAfter(70)
		}
		got := ask("POST", calls, triageToken, submitFirst)
		Expect(refusals).To(Equal(2))
		Expect(got.error().Code).To(Equal(api.CodeOutcomeUnknown))
		Expect(got.error().Ran).To(Equal(api.RanOutcomeUnknown))
		Expect(got.error().RetryAfterMilliseconds).To(Equal(int64(70)))
	})

	It("cannot claim a scope without the peer token", func() {
		got := ask("GET", programs+"/"+string(triageProgram), auditToken, "", "X-Birchwood-Scope", "/koudeketting/triage", "X-Birchwood-Hops", "1")
		Expect(got.error().Code).To(Equal(api.CodeNotFound))
	})

	It("reaches an owner that is cut off from its own node through a third one", func() {
		entry.unreachable = "isando-1"
		stream := openEvents("POST", calls, triageToken, streamFirst)
		defer stream.close()
		Expect(stream.next().kind).To(Equal("accepted"))
		held := shared.get(triageProgram, "a")
		held.buffer.Append(1, 0, "around ")
		Expect(stream.next().data).To(ContainSubstring("around "))
		shared.finish(held, "around the cut")
		text, _ := stream.text()
		Expect(text).To(Equal("the cut"))
		Expect(ask("GET", programs+"/"+string(triageProgram), triageToken, "").status).To(Equal(200))
	})

	It("notices an owner that falls silent without closing its connections", func() {
		silent, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(silent.Close)
		shared.mutex.Lock()
		shared.address["isando-1"] = silent.Addr().String()
		shared.mutex.Unlock()
		answered := submitInBackground()
		accepted, err := silent.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(accepted.Close)
		shared.move("isando-2")
		shared.finish(shared.get(triageProgram, "a"), "world")
		var got reply
		Eventually(answered).Should(Receive(&got))
		Expect(got.call().Output).To(Equal("world"))
	})
})

var _ = Describe("Retries", func() {
	It("are bounded in number over all requests while no node owns a program", func() {
		shared := newCluster()
		counter := &relayCounter{}
		entry := shared.start("midrand-1", func(config *gateway.Config) {
			config.RetryRatio = 0.1
			config.RetryBurst = 5
			config.RetryDelay = time.Millisecond
			config.Observer = counter
		})
		astray := shared.start("isando-1")
		shared.address["gone"] = astray.address
		shared.move("gone")
		const requests = 40
		for range requests {
			got := ask("GET", "http://"+entry.address+"/v1/programs/"+string(triageProgram), triageToken, "")
			Expect(got.error().Code).To(Equal(api.CodeOwnerUnknown))
		}
		Expect(counter.attempts.Load()).To(BeNumerically(">=", requests))
		Expect(counter.attempts.Load()).To(BeNumerically("<=", requests+5), "requests that fail earn no retries")
	})
})
