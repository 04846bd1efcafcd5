package liveness_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLiveness(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "the life of a replica's process")
}
