// Package recent keeps the last values of a measurement.
package recent

import (
	"cmp"
	"slices"
)

const (
	// size is the number of values that are kept.
	size = 64
	// minValues is the number of values from which on they say something.
	minValues = 8
)

// Values has the last values of a measurement. Its zero value is empty; it is not
// safe for concurrent use.
type Values[T cmp.Ordered] struct {
	values []T
	next   int
}

// Add adds a value; the oldest one yields.
func (v *Values[T]) Add(value T) {
	if len(v.values) < size {
		v.values = append(v.values, value)
		return
	}
	v.values[v.next] = value
	v.next = (v.next + 1) % size
}

// Sorted returns the values in ascending order, and whether there are enough of
// them.
func (v *Values[T]) Sorted() (sorted []T, enough bool) {
	if len(v.values) < minValues {
		return nil, false
	}
	sorted = slices.Clone(v.values)
	slices.Sort(sorted)
	return sorted, true
}
