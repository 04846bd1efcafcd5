package httpclient_test

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/httpclient"
)

var _ = Describe("A server that falls silent", func() {
	DescribeTable("is given up, and its connection closed",
		func(ctx SpecContext, answer string, lines int) {
			disconnected := make(chan struct{})
			s := serve(func(connection net.Conn) bool {
				reply(connection, answer)
				_, _ = connection.Read(make([]byte, 1))
				close(disconnected)
				return false
			})
			client := httpclient.New(httpclient.Options{
				Address: s.listener.Addr().String(), Timeout: time.Second, Silence: 20 * time.Millisecond,
			})
			DeferCleanup(client.Close)
			received := 0
			err := client.Lines(ctx, "/", nil, func([]byte) error {
				received++
				return nil
			})
			Expect(err).To(MatchError(httpclient.ErrUnresponsive))
			Expect(received).To(Equal(lines))
			Eventually(disconnected).WithContext(ctx).Should(BeClosed())
		},
		Entry("before it answers", "", 0, SpecTimeout(10*time.Second)),
		Entry("in the middle of its answer", streamHead+"6\r\n{\"a\"}\n\r\n", 1, SpecTimeout(10*time.Second)),
	)
})
