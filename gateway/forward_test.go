package gateway_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/gateway"
)

var _ = Describe("A request that is passed on", func() {
	var shared *cluster
	var entry *node
	var relayed *relayCounter
	const path = "/v1/programs/" + string(triageProgram)

	BeforeEach(func() {
		shared = newCluster()
		relayed = &relayCounter{}
		entry = shared.start("midrand-1", func(config *gateway.Config) { config.Observer = relayed })
		shared.start("isando-1")
		shared.move("isando-1")
		Expect(ask("POST", "http://"+entry.address+"/v1/programs", triageToken, createTriage).status).To(Equal(http.StatusOK))
		relayed.attempts.Store(0)
	})

	It("carries the time that is left and the nodes it has passed", func() {
		owner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = owner.Close() }) // Already closed unless the spec failed earlier.
		shared.mutex.Lock()
		shared.address["isando-1"] = owner.Addr().String()
		shared.mutex.Unlock()
		headers := make(chan http.Header, 1)
		go func() {
			accepted, err := owner.Accept()
			_ = owner.Close()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(accepted)); err == nil {
				headers <- request.Header
			}
			_ = accepted.Close()
		}()
		ask("GET", "http://"+entry.address+path, triageToken, "", "X-Deadline-Ms", "700")
		var sent http.Header
		Expect(headers).To(Receive(&sent))
		Expect(strconv.Atoi(sent.Get("X-Deadline-Ms"))).To(And(BeNumerically(">", 0), BeNumerically("<=", 700)))
		Expect(sent.Get("X-Birchwood-Hops")).To(Equal("1"))
	})

	It("ends after its hops, so that nodes cannot pass it in a circle", func() {
		headers := []string{"X-Birchwood-Scope", "/koudeketting/triage", "X-Birchwood-Detour", "1", "X-Birchwood-Hops"}
		got := ask("GET", "http://"+entry.address+path, peerToken, "", append(headers, "2")...)
		Expect(got.status).To(Equal(http.StatusOK))
		got = ask("GET", "http://"+entry.address+path, peerToken, "", append(headers, "3")...)
		Expect(got.error().Code).To(Equal(api.CodeOwnerUnknown))
		Expect(relayed.attempts.Load()).To(BeNumerically("==", 1))
	})

	It("is not passed on any more when its caller's time is over", func() {
		late, cancel := context.WithDeadline(context.Background(), time.Unix(1, 0))
		defer cancel()
		status, body := entry.gateway.Operate(late, "koudeketting/triage", http.MethodGet, path, nil)
		Expect(status).To(Equal(http.StatusGatewayTimeout), string(body))
		Expect(relayed.attempts.Load()).To(BeZero())
	})
})
