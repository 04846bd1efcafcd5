package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A caller that keeps its connection", func() {
	It("is asked to close it once the node drains, and not before", func() {
		shared := newCluster()
		owner := shared.start("midrand-1")
		connection, err := net.Dial("tcp", owner.address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(connection.Close)
		reader := bufio.NewReader(connection)
		asksToClose := func() bool {
			_, err := fmt.Fprintf(connection, "GET /v1/programs HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer %s\r\n\r\n", triageToken)
			Expect(err).NotTo(HaveOccurred())
			response, err := http.ReadResponse(reader, nil)
			Expect(err).NotTo(HaveOccurred())
			_, err = io.Copy(io.Discard, response.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusOK))
			return response.Close
		}
		Expect(asksToClose()).To(BeFalse())
		Expect(asksToClose()).To(BeFalse())
		owner.gateway.Drain()
		Expect(asksToClose()).To(BeTrue())
	})
})
