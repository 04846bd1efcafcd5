package edgecommand

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/command/exit"
	"birchwood.example/birchwood/edge"
	"birchwood.example/birchwood/quarantine"
)

var _ = DescribeTable("A node that is given invalid settings of the quarantine", func(argument, problem string) {
	command := New()
	command.SetArgs([]string{"--settings", "unused.toml", argument})
	command.SilenceErrors, command.SilenceUsage = true, true
	err := command.Execute()
	Expect(err).To(MatchError(ContainSubstring(problem)))
	var ended *exit.Error
	Expect(errors.As(err, &ended)).To(BeTrue())
	Expect(ended.Code).To(Equal(exit.Usage))
},
	Entry("memory below zero", "--body-memory=-1", "--body-memory, --event-bytes: want 0 or more"),
	Entry("no end at all", "--quarantine-limit=0", "--quarantine: limit: got 0, want 1 to 3"),
	Entry("more ends than users bear", "--quarantine-limit=4", "--quarantine: limit: got 4, want 1 to 3"),
	Entry("a time that is too short", "--quarantine-lifetime=10ms", "lifetime: got 10ms"),
)

var _ = Describe("A node that starts", func() {
	It("does not end by a signal to read its settings again while it reads them", func() {
		settings := filepath.Join(GinkgoT().TempDir(), "settings.toml")
		Expect(syscall.Mkfifo(settings, 0o600)).To(Succeed())
		ended := make(chan error, 1)
		go func() {
			ended <- runEdge(context.Background(), settings, edge.Settings{Quarantine: quarantine.DefaultConfig()})
		}()
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
