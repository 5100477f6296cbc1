package recent

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestValues keeps the last values, and tells nothing while there are few.
func TestValues(t *testing.T) {
	var v Values[int]
	for i := range minValues - 1 {
		v.Add(i)
	}
	_, enough := v.Sorted()
	assert.Assert(t, !enough)
	for i := range 3 * size {
		v.Add(1000 - i)
	}
	sorted, enough := v.Sorted()
	assert.Assert(t, enough)
	assert.Equal(t, len(sorted), size)
	assert.Equal(t, sorted[0], 1000-3*size+1)
	assert.Equal(t, sorted[size-1], 1000-2*size)
}
