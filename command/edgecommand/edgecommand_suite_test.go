package edgecommand

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEdgeCommand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Edge command")
}
