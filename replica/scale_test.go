package replica_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"birchwood.example/birchwood/replica"
)

// scaleZones are the zones of the benchmarks' replicas.
var scaleZones = []string{"a", "b", "c", "d", "e"}

// scaleEntry returns the entry of a replica of a large service.
func scaleEntry(index int) replica.Entry {
	return replica.Entry{
		ID: replica.ID(fmt.Sprintf("i-%08x", uint32(index)*2654435761)), Service: "model", Zone: scaleZones[index%len(scaleZones)],
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(index >> 8), byte(index)}), 80),
		Status:  replica.StatusReady, Slots: 6,
	}
}

// scaleSet returns a set of count replicas as held by one of 984 nodes, with reports of one in
// twenty of its peers about some of them.
func scaleSet(count int) *replica.Set {
	now := time.Unix(1000, 0)
	set := replica.NewSet(replica.DefaultConfig("a"))
	for index := range count {
		set.Put(now, scaleEntry(index))
	}
	set.SetCacheTokens("model", 261_489)
	set.SetNodes(984)
	for peer := range 49 {
		counts := make(map[replica.ID]int)
		// The number of reports per replica does not depend on count.
		for offset := range max(1, count/1_000) {
			counts[scaleEntry((peer*97+offset*13)%count).ID]++
		}
		set.SetPeer(now, fmt.Sprintf("node-%d", peer), counts)
	}
	return set
}

// scaleRequest returns a turn whose prompt begins with one of six shared parts.
func scaleRequest(index int) *replica.Request {
	return &replica.Request{
		Service: "model", Program: fmt.Sprintf("p-%d", index), Draw: float64(index%100) / 100,
		Prompt: []replica.Part{{ID: fmt.Sprintf("shared-%d", index%6), Tokens: 12_600}, {ID: fmt.Sprintf("own-%d", index), Tokens: 1_680}},
	}
}

// BenchmarkSelect measures a selection by the number of replicas:
//
//	go test -run '^$' -bench 'Select|Fill' ./replica
func BenchmarkSelect(b *testing.B) {
	for _, count := range []int{100, 1_000, 10_000, 20_000} {
		b.Run(fmt.Sprintf("replicas=%d", count), func(b *testing.B) {
			set := scaleSet(count)
			now := time.Unix(1001, 0)
			b.ReportAllocs()
			for index := 0; b.Loop(); index++ {
				if _, err := set.Select(now, scaleRequest(index)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkSelectPaced measures a selection among replicas with different token times. 128
// replicas are evaluated in full, more in a window.
func BenchmarkSelectPaced(b *testing.B) {
	for _, count := range []int{128, 768, 10_000} {
		b.Run(fmt.Sprintf("replicas=%d", count), func(b *testing.B) {
			set := scaleSet(count)
			now := time.Unix(1001, 0)
			for index := range count {
				token := time.Millisecond * time.Duration(1+index%2)
				set.Observe(now, scaleEntry(index).ID, replica.Sample{Token: token})
			}
			b.ReportAllocs()
			for index := 0; b.Loop(); index++ {
				request := scaleRequest(index)
				request.ExpectedTokens = 200
				choice, err := set.Select(now.Add(time.Duration(index%5_000)*time.Millisecond), request)
				if err != nil {
					b.Fatal(err)
				}
				if choice.Predicted == 0 {
					b.Fatal("the paces had no part")
				}
			}
		})
	}
}

// BenchmarkFill measures building a set from a list of replicas.
func BenchmarkFill(b *testing.B) {
	for _, count := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("replicas=%d", count), func(b *testing.B) {
			now := time.Unix(1000, 0)
			for b.Loop() {
				set := replica.NewSet(replica.DefaultConfig("a"))
				for index := range count {
					set.Put(now, scaleEntry(index))
				}
			}
		})
	}
}
