package connection_test

import (
	"io"
	"net"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/connection"
)

func TestConnection(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "connection")
}

var _ = Describe("A probe", func() {
	It("tells a closed connection from one that is idle or has bytes to read, and takes none", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		near, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(near.Close)
		far, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		probe, has := connection.NewProbe(near)
		Expect(has).To(BeTrue())
		Expect(probe.Closed()).To(BeFalse())

		_, err = far.Write([]byte("ab"))
		Expect(err).NotTo(HaveOccurred())
		read := make([]byte, 1)
		for _, want := range []string{"a", "b"} {
			_, err = io.ReadFull(near, read)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(read)).To(Equal(want))
			Expect(probe.Closed()).To(BeFalse())
		}

		Expect(far.Close()).To(Succeed())
		Eventually(probe.Closed).Should(BeTrue())
	})

	It("is not to be had without a descriptor", func() {
		near, far := net.Pipe()
		DeferCleanup(near.Close)
		DeferCleanup(far.Close)
		_, has := connection.NewProbe(near)
		Expect(has).To(BeFalse())
	})
})
