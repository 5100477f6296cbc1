// Package scaling keeps services at the number of endpoints that the operators
// gave them: endpoints that are lost for good are ordered anew, elsewhere if
// their data centre has none left, and what was ordered elsewhere is given back.
package scaling

import "maps"

// CapacityTarget is how many ordinary endpoints a service should have, by data
// centre: those that the operators gave it, and those ordered there for another
// data centre.
type CapacityTarget struct {
	Configured  map[string]int `json:"base"`
	Replacement map[string]int `json:"extra,omitempty"`
}

func (t CapacityTarget) total(centre string) int { return t.Configured[centre] + t.Replacement[centre] }

func (t CapacityTarget) clone() CapacityTarget {
	return CapacityTarget{Configured: maps.Clone(t.Configured), Replacement: maps.Clone(t.Replacement)}
}
