package system

import (
	"cmp"
	"maps"
	"slices"
)

// sortedKeys returns the keys of m in ascending order, to make iteration deterministic.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
