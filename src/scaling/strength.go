// Package scaling keeps services at the number of endpoints that the operators
// gave them: endpoints that are lost for good are ordered anew, elsewhere if
// their data centre has none left, and what was ordered elsewhere is given back.
package scaling

import "maps"

// Strength is how many ordinary endpoints a service should have, by data
// centre: those that the operators gave it, and those ordered there for another
// data centre.
type Strength struct {
	Base  map[string]int `json:"base"`
	Extra map[string]int `json:"extra,omitempty"`
}

func (s Strength) of(centre string) int { return s.Base[centre] + s.Extra[centre] }

func (s Strength) clone() Strength {
	return Strength{Base: maps.Clone(s.Base), Extra: maps.Clone(s.Extra)}
}
