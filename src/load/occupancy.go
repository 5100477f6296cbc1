package load

import (
	"context"
	"time"

	"sesamepitch/src/standin"
)

const occupancyInterval = 10 * time.Millisecond

// occupancy samples the number of running streams of the training engines. It
// yields their utilization and the lowest cost at which the same streams could run.
type occupancy struct {
	ordinary, reclaimable []*standin.Engine
	// Sums over the samples: running streams, streams at the knees, the lesser of
	// both, and the cost of the lesser one if reclaimable engines are filled first.
	streams, capacity, belowKnee int64
	minCost                      float64
}

func (e *experiment) newOccupancy() *occupancy {
	o := &occupancy{}
	for _, d := range e.running.Document().Endpoints {
		switch {
		case d.Model != trainingModel:
		case d.Reclaimable:
			o.reclaimable = append(o.reclaimable, e.running.Engine(d.Name))
		default:
			o.ordinary = append(o.ordinary, e.running.Engine(d.Name))
		}
	}
	return o
}

// run samples until ctx is done.
func (o *occupancy) run(ctx context.Context) {
	ticker := time.NewTicker(occupancyInterval)
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
	for _, engine := range append(append([]*standin.Engine{}, o.ordinary...), o.reclaimable...) {
		running += engine.Running()
	}
	capacity := (len(o.ordinary) + len(o.reclaimable)) * engineKnee
	o.streams += int64(running)
	o.capacity += int64(capacity)
	belowKnee := min(running, capacity)
	onReclaimable := min(belowKnee, len(o.reclaimable)*engineKnee)
	o.belowKnee += int64(belowKnee)
	o.minCost += float64(onReclaimable)*reclaimableMilliPrice + float64(belowKnee-onReclaimable)*ordinaryMilliPrice
}

// utilization returns running streams over streams at the knees. It exceeds one if
// engines ran beyond their knees.
func (o *occupancy) utilization() float64 { return ratio(o.streams, o.capacity) }

// oracleCost returns the lowest possible cost per token for the same streams at the
// same times, relative to the ordinary price.
func (o *occupancy) oracleCost() float64 {
	if o.belowKnee == 0 {
		return 0
	}
	return o.minCost / float64(o.belowKnee) / ordinaryMilliPrice
}
