package eventlog_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/eventlog"

	"gotest.tools/v3/assert"
)

// blockingOutput blocks writes while its mutex is locked.
type blockingOutput struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *blockingOutput) Write(line []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(line)
}

// TestNeverBlocks logs more lines than a blocked output takes: no call may wait,
// and the dropped lines must be counted and reported.
func TestNeverBlocks(t *testing.T) {
	out := &blockingOutput{}
	out.mu.Lock()
	writer := eventlog.New(sesamepitch.SystemClock{}, out)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- writer.Run(ctx) }()
	start := time.Now()
	for range 20_000 {
		n, err := writer.Write([]byte("line\n"))
		assert.NilError(t, err)
		assert.Equal(t, n, 5)
	}
	assert.Assert(t, time.Since(start) < time.Second)
	dropped := writer.Dropped()
	assert.Assert(t, dropped > 15_000, "%d dropped", dropped)
	out.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	cancel()
	assert.ErrorIs(t, <-ended, context.Canceled)
	text := out.text.String()
	assert.Equal(t, int64(strings.Count(text, "line\n")), 20_000-dropped)
	assert.Assert(t, strings.Contains(text, "log lines dropped"))
}
