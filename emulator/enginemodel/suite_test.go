package enginemodel_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// rapidDefaults are flag values that make rapid draw the same sequences in every
// run. Flags on the command line override them.
var rapidDefaults = map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"}

func TestSuite(t *testing.T) {
	set := make(map[string]bool)
	flag.Visit(func(given *flag.Flag) { set[given.Name] = true })
	for name, value := range rapidDefaults {
		if set[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "enginemodel")
}
