package command_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/command"
)

// run executes a command line and returns its standard output.
func run(arguments ...string) (string, error) {
	var printed bytes.Buffer
	root := command.Root()
	root.SetArgs(arguments)
	root.SetOut(&printed)
	root.SetErr(&bytes.Buffer{})
	err := root.Execute()
	return printed.String(), err
}

// writeFaultsFile writes a faults file and returns its name.
func writeFaultsFile(content string) string {
	name := filepath.Join(GinkgoT().TempDir(), "faults.yaml")
	Expect(os.WriteFile(name, []byte(content), 0o600)).To(Succeed())
	return name
}

var _ = Describe("birchwood bench", func() {
	small := []string{"bench", "--deployment", "qasr", "--seed", "3", "--programs", "40"}

	It("prints the same bytes for the same flags, with every field that is promised", func() {
		arguments := append(small, "--output", "json")
		first, err := run(arguments...)
		Expect(err).NotTo(HaveOccurred())
		Expect(run(arguments...)).To(Equal(first))
		var result map[string]any
		Expect(json.Unmarshal([]byte(first), &result)).To(Succeed())
		Expect(result).To(And(HaveKey("deployment"), HaveKey("seed"), HaveKey("load")))
		policies := result["policies"].([]any)
		Expect(policies).To(HaveLen(4))
		for _, item := range policies {
			policy := item.(map[string]any)
			for _, name := range []string{"policy", "goodput_programs_per_s", "offered_programs_per_s", "refused", "violations"} {
				Expect(policy).To(HaveKey(name))
			}
			Expect(policy["program_latency_ms"]).To(And(HaveKey("p50"), HaveKey("p95"), HaveKey("p99")))
			Expect(policy["wasted_cache"]).To(And(HaveKey("recomputed_tokens"), HaveKey("idle_kv_token_seconds")))
		}
	})

	It("runs the faults of a file, and refuses unknown keys in it", func() {
		faults := writeFaultsFile("faults:\n  - at: 2s\n    kind: crash\n    target: engine-001\n")
		arguments := append(small, "--policy", "sticky", "--output", "json")
		withoutFaults, err := run(arguments...)
		Expect(err).NotTo(HaveOccurred())
		withFaults, err := run(append(arguments, "--faults", faults)...)
		Expect(err).NotTo(HaveOccurred())
		Expect(withFaults).NotTo(Equal(withoutFaults))
		_, err = run(append(arguments, "--faults", writeFaultsFile("faults:\n  - when: 2s\n"))...)
		var exit *command.ExitError
		Expect(errors.As(err, &exit)).To(BeTrue())
		Expect(exit.Code).To(Equal(command.ExitUsage))
		Expect(err).To(MatchError(ContainSubstring("when")))
	})

	It("draws the plots", func() {
		directory := filepath.Join(GinkgoT().TempDir(), "plots")
		_, err := run(append(small, "--policy", "sticky", "--plot", directory)...)
		Expect(err).NotTo(HaveOccurred())
		for _, name := range []string{"latency-cdf.svg", "load-latency.svg", "load-goodput.svg"} {
			Expect(filepath.Join(directory, name)).To(BeAnExistingFile())
		}
	})
})
