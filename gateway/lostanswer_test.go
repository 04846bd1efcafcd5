package gateway_test

import (
	"bufio"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/api"
)

// closeWithoutAnswer reads each request completely and closes the connection
// without an answer, like a node that fails after receiving the request.
func closeWithoutAnswer(listener net.Listener) {
	for {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		if request, err := http.ReadRequest(bufio.NewReader(accepted)); err == nil {
			_ = request.Body.Close()
		}
		_ = accepted.Close()
	}
}

var _ = Describe("A caller whose owner dies with the request", func() {
	It("is told that the outcome is unknown, not that nothing ran", func() {
		shared := newCluster()
		entry := shared.start("midrand-1")
		shared.start("isando-1")
		shared.move("isando-1")
		programs := "http://" + entry.address + "/v1/programs"
		Expect(ask("POST", programs, triageToken, createTriage).status).To(Equal(http.StatusOK))
		dying, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(dying.Close)
		go closeWithoutAnswer(dying)
		shared.mutex.Lock()
		shared.address["isando-1"] = dying.Addr().String()
		shared.mutex.Unlock()

		got := ask("POST", programs+"/"+string(triageProgram)+"/calls", triageToken, submitFirst)
		Expect(got.error().Code).To(Equal(api.CodeOutcomeUnknown))
		Expect(got.error().Ran).To(Equal(api.RanOutcomeUnknown))
		Expect(got.error().Retry).To(BeTrue())
	})
})

var _ = Describe("A caller whose call was admitted while it waited", func() {
	var shared *cluster
	var owner *node
	var programs string

	BeforeEach(func() {
		shared = newCluster()
		entry := shared.start("midrand-1")
		owner = shared.start("isando-1")
		shared.move("isando-1")
		programs = "http://" + entry.address + "/v1/programs"
		Expect(ask("POST", programs, triageToken, createTriage).status).To(Equal(http.StatusOK))
	})

	It("is not told that nothing ran when a later slice of the wait is refused", func() {
		slices := 0
		owner.submitError = func() *api.Error {
			slices++
			if slices == 1 {
				return nil
			}
			return api.Refuse(api.CodeOverloaded, "too much to do").WithRetryAfter(70)
		}
		got := ask("POST", programs+"/"+string(triageProgram)+"/calls", triageToken, submitFirst)
		Expect(slices).To(Equal(2))
		Expect(got.error().Code).To(Equal(api.CodeOutcomeUnknown))
		Expect(got.error().Ran).To(Equal(api.RanOutcomeUnknown))
	})

	It("is not told that nothing ran when the owner loses the program during the wait", func() {
		owner.submitError = func() *api.Error {
			shared.owner = "" // The mutex is held by the caller of submitError.
			return nil
		}
		got := ask("POST", programs+"/"+string(triageProgram)+"/calls", triageToken, submitFirst)
		Expect(shared.submitted()).To(Equal(1))
		Expect(got.error().Code).To(Equal(api.CodeOutcomeUnknown))
		Expect(got.error().Ran).To(Equal(api.RanOutcomeUnknown))
	})
})

var _ = Describe("A caller that streams the answer of an admitted call", func() {
	It("is not told that nothing ran when no owner can be found any more", func() {
		shared := newCluster()
		entry := shared.start("midrand-1")
		owner := shared.start("isando-1")
		shared.move("isando-1")
		programs := "http://" + entry.address + "/v1/programs"
		Expect(ask("POST", programs, triageToken, createTriage).status).To(Equal(http.StatusOK))
		stream := openEvents("POST", programs+"/"+string(triageProgram)+"/calls", triageToken, streamFirst)
		defer stream.close()
		Expect(stream.next().kind).To(Equal("accepted"))
		shared.move("")
		owner.kill()
		_, last := stream.text()
		Expect(last.kind).To(Equal("error"))
		Expect(last.data).To(ContainSubstring(`"ran":"outcome_unknown"`))
	})
})
