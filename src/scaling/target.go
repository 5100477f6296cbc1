// Package scaling keeps services at their capacity targets: it orders replacements
// for lost endpoints, in other data centres if their own has none free, and for
// those whose rate limits keep work waiting, and releases these once the lost
// endpoints are back and the limits are over.
package scaling

import "maps"

// CapacityTarget is the number of endpoints that a service should have in each data
// centre. Reclaimable endpoints do not count.
type CapacityTarget struct {
	// Configured counts the endpoints that operators gave the service.
	Configured map[string]int `json:"base"`
	// Replacement counts the endpoints that replace lost ones of other data centres, or
	// limited ones.
	Replacement map[string]int `json:"extra,omitempty"`
}

func (t CapacityTarget) total(centre string) int { return t.Configured[centre] + t.Replacement[centre] }

func (t CapacityTarget) clone() CapacityTarget {
	return CapacityTarget{Configured: maps.Clone(t.Configured), Replacement: maps.Clone(t.Replacement)}
}
