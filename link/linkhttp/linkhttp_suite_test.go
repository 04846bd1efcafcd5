package linkhttp

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLinkHTTP(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "linkhttp")
}
