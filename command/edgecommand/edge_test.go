package edgecommand

import (
	"context"
	"os"
	"path/filepath"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A node that starts", func() {
	It("does not end by a signal to read its settings again while it reads them", func() {
		settings := filepath.Join(GinkgoT().TempDir(), "settings.toml")
		Expect(syscall.Mkfifo(settings, 0o600)).To(Succeed())
		ended := make(chan error, 1)
		go func() { ended <- runEdge(context.Background(), settings, nil) }()
		// Opening the pipe for writing blocks until the node reads its settings.
		writer, err := os.OpenFile(settings, os.O_WRONLY, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(Succeed())
		_, err = writer.WriteString("no settings")
		Expect(err).NotTo(HaveOccurred())
		Expect(writer.Close()).To(Succeed())
		Expect(<-ended).To(HaveOccurred())
	})
})
