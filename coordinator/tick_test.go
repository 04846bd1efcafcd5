package coordinator_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"birchwood.example/birchwood/coordinator"
)

// BenchmarkTick measures a tick of one node of a settled fleet in which nothing changes, by
// the number of nodes:
//
//	go test -run '^$' -bench Tick ./coordinator
func BenchmarkTick(b *testing.B) {
	gomega.RegisterTestingT(b)
	for _, nodes := range []int{11, 74, 295, 984} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			world := newFleet(1, nodes, largePartitions)
			world.run(settled)
			node := world.nodes["node-00"]
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				node.core.Step(world.now, coordinator.Tick{})
			}
		})
	}
}
