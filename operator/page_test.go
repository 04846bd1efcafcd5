package operator_test

import (
	"os"
	"regexp"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// namesIn returns the names in the files that match the pattern.
func namesIn(pattern string, files ...string) []string {
	var names []string
	for _, file := range files {
		content, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		for _, match := range regexp.MustCompile(pattern).FindAllStringSubmatch(string(content), -1) {
			names = append(names, match[1])
		}
	}
	return names
}

var _ = Describe("The page of the metrics", func() {
	It("explains each metric that is declared, and no other", func() {
		declared := namesIn(`"(birchwood_[a-z_]+)"`, "metrics.go", "snapshot.go")
		Expect(declared).NotTo(BeEmpty())
		explained := namesIn("(?m)^\\| `(birchwood_[a-z_]+)` \\|", "../docs/operate/metrics.md")
		Expect(explained).To(ConsistOf(declared))
	})
})
