package invariant_test

import (
	"testing"

	"sesamepitch/src/invariant"

	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"
)

func TestCheck(t *testing.T) {
	var lines []string
	log := funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	recorder := invariant.New(log)
	recorder.Check(true, invariant.EndpointRate, "engine", "e")
	assert.Equal(t, len(recorder.Violations()), 0)
	recorder.Check(false, invariant.EndpointRate, "engine", "e", "sent", 9)
	recorder.Check(false, invariant.EndpointRate, "engine", "e", "sent", 10)
	assert.DeepEqual(t, recorder.Violations(), map[string]int{invariant.EndpointRate: 2})
	assert.Equal(t, len(lines), 2)
	var none *invariant.Recorder
	none.Check(false, invariant.EndpointRate)
}
