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
		local, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(local.Close)
		remote, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		probe, hasDescriptor := connection.NewProbe(local)
		Expect(hasDescriptor).To(BeTrue())
		Expect(probe.Closed()).To(BeFalse())

		_, err = remote.Write([]byte("ab"))
		Expect(err).NotTo(HaveOccurred())
		read := make([]byte, 1)
		for _, want := range []string{"a", "b"} {
			_, err = io.ReadFull(local, read)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(read)).To(Equal(want))
			Expect(probe.Closed()).To(BeFalse())
		}

		Expect(remote.Close()).To(Succeed())
		Eventually(probe.Closed).Should(BeTrue())
	})

	It("is not to be had without a descriptor", func() {
		local, remote := net.Pipe()
		DeferCleanup(local.Close)
		DeferCleanup(remote.Close)
		_, hasDescriptor := connection.NewProbe(local)
		Expect(hasDescriptor).To(BeFalse())
	})
})
