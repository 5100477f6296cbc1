package ramp_test

import (
	"testing"
	"time"

	"sesamepitch/src/ramp"

	"gotest.tools/v3/assert"
)

func TestRamp(t *testing.T) {
	start := time.Unix(1000, 0)
	settings := ramp.Settings{Knee: 8, ColdLimit: 2, WarmAfter: 2, ColdTime: time.Second}
	cases := []struct {
		name string
		play func(*ramp.Ramp)
		want int
	}{
		{"cold at the start", func(*ramp.Ramp) {}, 2},
		{"cold until the cold time is over", func(r *ramp.Ramp) {
			r.RecordAnswer(start)
			for range 100 {
				r.RecordAnswer(start.Add(999 * time.Millisecond))
			}
		}, 2},
		{"doubles after each stage", func(r *ramp.Ramp) {
			r.RecordAnswer(start)
			r.RecordAnswer(start.Add(time.Second))
		}, 4},
		{"up to the knee", func(r *ramp.Ramp) {
			r.RecordAnswer(start)
			for range 100 {
				r.RecordAnswer(start.Add(2 * time.Second))
			}
		}, 8},
		{"cold again after a crash", func(r *ramp.Ramp) {
			r.RecordAnswer(start)
			for range 100 {
				r.RecordAnswer(start.Add(2 * time.Second))
			}
			r.Reset()
		}, 2},
		{"half the knee if started warm", func(r *ramp.Ramp) { r.StartWarm() }, 4},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			r := ramp.New(settings)
			test.play(r)
			assert.Equal(t, r.Limit(), test.want)
		})
	}
}
