package development_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDevelopment(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Development")
}
