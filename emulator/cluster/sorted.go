package cluster

import (
	"cmp"
	"maps"
	"slices"

	"birchwood.example/birchwood/program"
)

// sortedKeys returns a map's keys in ascending order; iteration in the map's own
// order would make runs irreproducible.
func sortedKeys[K cmp.Ordered, V any](values map[K]V) []K {
	return slices.Sorted(maps.Keys(values))
}

// sortedAttempts returns the attempts ordered by program, sequence number and
// attempt number.
func sortedAttempts(attempts map[program.AttemptRef]*attempt) []*attempt {
	sorted := slices.Collect(maps.Values(attempts))
	slices.SortFunc(sorted, func(a, b *attempt) int {
		first, second := a.action.Attempt, b.action.Attempt
		return cmp.Or(
			cmp.Compare(first.Program, second.Program),
			cmp.Compare(first.Sequence, second.Sequence),
			cmp.Compare(first.Attempt, second.Attempt),
		)
	})
	return sorted
}
