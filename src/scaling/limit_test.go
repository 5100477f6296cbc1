package scaling

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLimitedEndpointsReplaced replays rate limits, marked by "~", of endpoints that
// do or don't keep work waiting: limited ones are replaced while they do, up to the
// maximum, and the replacements go some time after the limits have ended.
func TestLimitedEndpointsReplaced(t *testing.T) {
	const complete, limited = "a a b b", "a~ a~ b~ b"
	type span struct{ from, to int }
	cases := []struct {
		name   string
		limits span
		short  span
		// lists are further lists of endpoints from a second on.
		lists  map[int]string
		orders []string
	}{
		{"no work waits", span{10, 30}, span{}, nil, nil},
		{"work waits, but not for limits", span{}, span{10, 30}, nil, nil},
		{"a moment's shortage", span{10, 30}, span{12, 13}, nil, nil},
		{
			"shortage",
			span{10, 30},
			span{12, 20},
			map[int]string{16: "a~ a~ b~ b a a b", 30: "a a b b a a b", 45: complete},
			[]string{"14 a 4", "14 b 3", "43 a 2", "43 b 2"},
		},
		{
			"replacements stay while there are limits",
			span{10, 50},
			span{12, 20},
			map[int]string{16: "a~ a~ b~ b a a b"},
			[]string{"14 a 4", "14 b 3"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newPlanner(bounds)
			var orders []string
			names := complete
			for second := range 50 {
				now := start.Add(time.Duration(second) * time.Second)
				switch list, changes := c.lists[second]; {
				case changes:
					names = list
				case second == c.limits.from && second > 0:
					names = limited
				}
				endpoints := endpointsOf(names)
				slowed := endpoints[:0:0]
				for i, name := range strings.Fields(names) {
					if strings.Contains(name, "~") {
						slowed = append(slowed, endpoints[i])
					}
				}
				p.observeLimits(now, slowed, second >= c.short.from && second < c.short.to)
				p.observe(now, endpoints)
				for _, o := range p.orders(now, nil) {
					orders = append(orders, fmt.Sprintf("%d %s %d", second, o.centre, o.count))
					p.orderAccepted(now, o)
				}
			}
			assert.DeepEqual(t, orders, c.orders)
		})
	}
}
