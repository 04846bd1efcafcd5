package command_test

import (
	"os"
	"regexp"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/spf13/cobra"

	"birchwood.example/birchwood/command"
)

// leafPaths returns the command paths of the subcommands without further
// subcommands.
func leafPaths(parent *cobra.Command) []string {
	var paths []string
	for _, child := range parent.Commands() {
		if child.HasSubCommands() {
			paths = append(paths, leafPaths(child)...)
			continue
		}
		paths = append(paths, child.CommandPath())
	}
	return paths
}

var _ = Describe("The page of the command line", func() {
	It("lists every verb, and no other", func() {
		page, err := os.ReadFile("../docs/CLI.md")
		Expect(err).NotTo(HaveOccurred())
		var listed []string
		for _, match := range regexp.MustCompile("(?m)^\\| `(birchwood [a-z -]+)` \\|").FindAllStringSubmatch(string(page), -1) {
			listed = append(listed, match[1])
		}
		Expect(listed).To(ConsistOf(leafPaths(command.Root())))
	})
})
