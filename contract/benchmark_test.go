package contract_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/zone"
)

const (
	benchmarkTenants  = 600
	benchmarkBranches = 3
)

func benchmarkPath(index int) contract.Path {
	return contract.Path(fmt.Sprintf("tenant-%03d/branch-%d", index/benchmarkBranches%benchmarkTenants, index%benchmarkBranches))
}

// benchmarkChanges returns the changes that create 600 tenants of 3 branches
// each, one branch per change.
func benchmarkChanges() []contract.Change {
	var names []zone.Name
	for index := range 10 {
		names = append(names, zone.Name(fmt.Sprintf("zone-%02d", index)))
	}
	changes := []contract.Change{set("root", 0, "", contract.Values{Zones: names, Models: []string{"small", "large"}})}
	add := func(path contract.Path, values contract.Values) {
		changes = append(changes, set(string(path), contract.Revision(len(changes)), path, values))
	}
	for tenant := range benchmarkTenants {
		path := contract.Path(fmt.Sprintf("tenant-%03d", tenant))
		add(path, contract.Values{
			Zones:        []zone.Name{names[tenant%10], names[(tenant+3)%10], names[(tenant+6)%10]},
			CallerTokens: []string{contract.HashToken(string(path))},
		})
		for branch := range benchmarkBranches {
			add(benchmarkPath(tenant*benchmarkBranches+branch), contract.Values{Priority: pointer(branch), BudgetTokens: pointer(int64(1000))})
		}
	}
	return changes
}

func benchmarkTree(tb testing.TB) *contract.Tree {
	tree := contract.NewTree()
	for index, change := range benchmarkChanges() {
		if verdict := tree.Apply(contract.Revision(index+1), change); !verdict.Accepted {
			tb.Fatal(verdict)
		}
	}
	return tree
}

func BenchmarkResolve(b *testing.B) {
	tree := benchmarkTree(b)
	paths := make([]contract.Path, benchmarkTenants*benchmarkBranches)
	for index := range paths {
		paths[index] = benchmarkPath(index)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for index := range b.N {
		if _, err := tree.Resolve(paths[index%len(paths)]); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkApplyBranch applies changes to a leaf branch.
func BenchmarkApplyBranch(b *testing.B) {
	tree := benchmarkTree(b)
	b.ReportAllocs()
	b.ResetTimer()
	for index := range b.N {
		position := contract.Revision(tree.Position())
		change := set(fmt.Sprint("change-", index), position, benchmarkPath(index), contract.Values{Priority: pointer(index % 10)})
		if verdict := tree.Apply(position+1, change); !verdict.Accepted {
			b.Fatal(verdict)
		}
	}
}

// BenchmarkApplyRoot applies changes to the root that every branch inherits.
func BenchmarkApplyRoot(b *testing.B) {
	tree := benchmarkTree(b)
	b.ReportAllocs()
	b.ResetTimer()
	for index := range b.N {
		position := contract.Revision(tree.Position())
		change := set(fmt.Sprint("change-", index), position, "", contract.Values{MaxTurns: pointer(1 + index%2)})
		if verdict := tree.Apply(position+1, change); !verdict.Accepted {
			b.Fatal(verdict)
		}
	}
}

// BenchmarkFold applies the encoded stream of 2,401 changes to an empty tree,
// as a node does when it starts.
func BenchmarkFold(b *testing.B) {
	var records [][]byte
	for _, change := range benchmarkChanges() {
		data, err := json.Marshal(change)
		if err != nil {
			b.Fatal(err)
		}
		records = append(records, data)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		tree := contract.NewTree()
		for index, data := range records {
			tree.ApplyBytes(contract.Revision(index+1), data)
		}
	}
}

// BenchmarkMemory reports the memory that a tree uses, initially and with a
// full window of changes, and the size of its snapshot.
func BenchmarkMemory(b *testing.B) {
	for range b.N {
		before := heapInUse()
		tree := benchmarkTree(b)
		fresh := heapInUse()
		for index := range contract.WindowRecords {
			position := contract.Revision(tree.Position())
			tree.Apply(position+1, set(fmt.Sprint("change-", index), position, benchmarkPath(index), contract.Values{Priority: pointer(index % 10)}))
		}
		full := heapInUse()
		exported, err := tree.Export()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(fresh-before)/1e6, "MB-fresh")
		b.ReportMetric(float64(full-before)/1e6, "MB-full-window")
		b.ReportMetric(float64(len(exported))/1e6, "MB-snapshot")
		runtime.KeepAlive(tree)
	}
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return statistics.HeapAlloc
}
