package step

import (
	"context"
	"sort"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/rowstore"
)

// span is a range of step numbers, both ends included.
type span struct {
	From int64 `json:"from"`
	To   int64 `json:"to"`
}

// closedSteps is the set of a trainer's steps whose rows were removed. Step numbers are
// mostly consecutive, so a few spans suffice.
type closedSteps struct {
	Spans []span `json:"spans"`
}

// has reports whether a step is closed.
func (c closedSteps) has(number int64) bool {
	at := sort.Search(len(c.Spans), func(i int) bool { return c.Spans[i].To >= number })
	return at < len(c.Spans) && c.Spans[at].From <= number
}

// with returns the set with one more step.
func (c closedSteps) with(number int64) closedSteps {
	if c.has(number) {
		return c
	}
	spans := append([]span{{From: number, To: number}}, c.Spans...)
	sort.Slice(spans, func(i, j int) bool { return spans[i].From < spans[j].From })
	var joined []span
	for _, s := range spans {
		if last := len(joined) - 1; last >= 0 && joined[last].To+1 == s.From {
			joined[last].To = s.To
			continue
		}
		joined = append(joined, s)
	}
	return closedSteps{Spans: joined}
}

func closedKey(trainer string) string { return "closed/" + trainer }

// readClosed returns a trainer's closed steps and their row's version.
func readClosed(ctx context.Context, table sesamepitch.Table, trainer string) (closedSteps, int64, error) {
	var closed closedSteps
	version, err := rowstore.Read(ctx, table, closedKey(trainer), &closed)
	return closed, version, err
}
