package replica_test

import (
	"testing"
	"time"

	"birchwood.example/birchwood/replica"
)

// BenchmarkSelectByWord measures a selection, and applying a load summary, with as many
// replicas as a node of a large fleet holds:
//
//	go test -run '^$' -bench ByWord ./replica
func BenchmarkSelectByWord(b *testing.B) {
	const replicas = 768
	now := time.Unix(1001, 0)
	set := scaleSet(replicas)
	totals := make(map[replica.ID]replica.Total)
	for index := range replicas {
		totals[scaleEntry(index).ID] = replica.Total{Requests: float64(index % 5)}
	}
	summary := replica.LoadSummary{Nodes: 983, At: now.Add(-300 * time.Millisecond), Totals: totals}
	b.Run("take", func(b *testing.B) {
		for b.Loop() {
			set.ApplyLoadSummary(now, summary)
		}
	})
	b.Run("select", func(b *testing.B) {
		set.ApplyLoadSummary(now, summary)
		for index := 0; b.Loop(); index++ {
			if _, err := set.Select(now, scaleRequest(index)); err != nil {
				b.Fatal(err)
			}
		}
	})
}
