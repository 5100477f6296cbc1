package latency

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPatience learns the patience from answers of services that differ by a factor
// of ten.
func TestPatience(t *testing.T) {
	const minimum = 20 * time.Millisecond
	for _, usual := range []time.Duration{8 * time.Millisecond, 80 * time.Millisecond, 800 * time.Millisecond} {
		var window Window
		assert.Equal(t, window.Patience(time.Second, minimum), time.Second)
		assert.Equal(t, window.Patience(0, minimum), minimum)
		for range 128 {
			window.Observe(usual)
		}
		window.Observe(20 * usual)
		assert.Equal(t, window.Patience(time.Second, minimum), max(lateFactor*usual, minimum), "one slow answer changes nothing")
	}
}
