package batch

import "slices"

// itemSet is a set of item indexes, with one bit for each item of a job.
type itemSet []byte

const bitsPerByte = 8

// with returns the set with an item added; it may share memory with s.
func (s itemSet) with(item int) itemSet {
	for len(s) <= item/bitsPerByte {
		s = append(s, 0)
	}
	s[item/bitsPerByte] |= 1 << (item % bitsPerByte)
	return s
}

func (s itemSet) clone() itemSet { return slices.Clone(s) }

// items returns the indexes in ascending order.
func (s itemSet) items() []int {
	var items []int
	for i, bits := range s {
		for bit := range bitsPerByte {
			if bits&(1<<bit) != 0 {
				items = append(items, i*bitsPerByte+bit)
			}
		}
	}
	return items
}
