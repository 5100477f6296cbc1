package main

import (
	"context"
	"testing"
	"time"

	"sesamepitch/src/step"
	"sesamepitch/src/trainer"

	"gotest.tools/v3/assert"
)

// makeGroups returns groups with distinct prompts; the prompts repeat after 26.
func makeGroups(count, samples, tokens int) []step.Group {
	var groups []step.Group
	for i := range count {
		groups = append(groups, step.Group{Prompt: "prime railing " + string(rune('a'+i%26)) + " before the second coat", Samples: samples, MaxTokens: tokens})
	}
	return groups
}

// TestStepEndToEnd runs a step end to end through separate processes, from the
// applied document to delivered samples, judge scores and the usage report.
func TestStepEndToEnd(t *testing.T) {
	t.Parallel()
	c := newStandardCluster(t)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	client := trainer.New("painter", c.key("coaching"), c.daemons[0].callers, c.daemons[3].callers)
	outcome, err := client.Run(ctx, 1, makeGroups(4, 4, 10), 1, nil)
	assert.NilError(t, err)
	assert.Equal(t, len(outcome.Samples()), 16)
	assert.Equal(t, outcome.Duplicates(), 0)
	for identity, sample := range outcome.Samples() {
		assert.DeepEqual(t, sample.Versions, []int64{1})
		assert.Equal(t, sample.Tokens, 10, "%v", identity)
		assert.Assert(t, sample.Score != nil && sample.Durable)
	}
	assert.NilError(t, client.Acknowledge(ctx, 1, nil, true))
	eventually(t, 20*time.Second, "usage is reported", func() bool {
		tokens := int64(0)
		for _, report := range c.platformJournal().Reports {
			for _, figure := range report.Figures {
				if figure.Workspace == "coaching" && report.Result == "taken" {
					tokens += figure.Tokens
				}
			}
		}
		return tokens == 160
	})
}
