package eventstream_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// init fixes the seed of the property tests, so that every run draws the same cases. The flag
// -rapid.seed overrides it.
func init() {
	for name, value := range map[string]string{"rapid.seed": "11", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

func TestPackage(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "eventstream")
}
