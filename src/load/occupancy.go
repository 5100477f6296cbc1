package load

import (
	"context"
	"time"

	"sesamepitch/src/standin"
)

const occupancyEvery = 10 * time.Millisecond

// occupancy samples how the training engines are used, for the share of their
// streams that work and for the least cost of the same service.
type occupancy struct {
	ordinary, cheap []*standin.Engine
	// The sums over the samples: streams under way, those that the knees allow, the
	// lesser of both, and its cost had the cheap engines been filled first.
	streams, full, working int64
	oracle                 float64
}

func (e *experiment) newOccupancy() *occupancy {
	o := &occupancy{}
	for _, d := range e.running.Document().Endpoints {
		switch {
		case d.Model != trainModel:
		case d.Reclaimable:
			o.cheap = append(o.cheap, e.running.Engine(d.Name))
		default:
			o.ordinary = append(o.ordinary, e.running.Engine(d.Name))
		}
	}
	return o
}

// watch samples until ctx ends.
func (o *occupancy) watch(ctx context.Context) {
	ticker := time.NewTicker(occupancyEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			o.sample()
		case <-ctx.Done():
			return
		}
	}
}

func (o *occupancy) sample() {
	running := 0
	for _, engine := range append(append([]*standin.Engine{}, o.ordinary...), o.cheap...) {
		running += engine.Running()
	}
	full := (len(o.ordinary) + len(o.cheap)) * engineKnee
	o.streams += int64(running)
	o.full += int64(full)
	working := min(running, full)
	onCheap := min(working, len(o.cheap)*engineKnee)
	o.working += int64(working)
	o.oracle += float64(onCheap)*cheapPrice + float64(working-onCheap)*ordinaryPrice
}

// busy is the share of the streams up to the knees that were in use; above one
// if engines ran beyond their knees.
func (o *occupancy) busy() float64 { return ratio(o.streams, o.full) }

// oracleCost is the least price of a token for the same streams at the same
// times, relative to the ordinary price.
func (o *occupancy) oracleCost() float64 {
	if o.working == 0 {
		return 0
	}
	return o.oracle / float64(o.working) / ordinaryPrice
}
