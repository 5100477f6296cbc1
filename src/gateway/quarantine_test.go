package gateway

import (
	"context"
	"net/http"
	"testing"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/quarantine"

	"gotest.tools/v3/assert"
)

// TestCrashingContent sends a content that crashes every endpoint: after three
// crashes it is refused as not run, while another content of the same path is
// served.
func TestCrashingContent(t *testing.T) {
	forward := &forwarder{answer: func(context.Context, string) (sesamepitch.Answer, error) { return failed(sesamepitch.KindUnknown) }}
	g := newGateway(forward, &meter{}, "a", "b", "c")
	admission, err := g.Admit("h", "/safe/1", "k")
	assert.NilError(t, err)
	poison := sesamepitch.Request{URI: "/safe/1", Body: []byte("poison")}
	for range 6 {
		_, err = g.Serve(context.Background(), admission, poison)
		assert.Assert(t, err != nil)
	}
	assert.Equal(t, len(forward.asked), 3, "%v", forward.asked)
	assert.Equal(t, sesamepitch.KindOf(err), sesamepitch.KindUnavailable, "%v", err)
	forward.answer = func(context.Context, string) (sesamepitch.Answer, error) { return answered(http.StatusOK) }
	_, err = g.Serve(context.Background(), admission, sesamepitch.Request{URI: "/safe/1", Body: []byte("sound")})
	assert.NilError(t, err)
}

// TestInnocentContent checks that a content whose request fails on two endpoints
// and is then answered has no crashes counted.
func TestInnocentContent(t *testing.T) {
	tries := 0
	forward := &forwarder{answer: func(context.Context, string) (sesamepitch.Answer, error) {
		if tries++; tries%3 != 0 {
			return failed(sesamepitch.KindUnknown)
		}
		return answered(http.StatusOK)
	}}
	g := newGateway(forward, &meter{}, "a", "b", "c")
	admission, err := g.Admit("h", "/safe/1", "k")
	assert.NilError(t, err)
	request := sesamepitch.Request{URI: "/safe/1", Body: []byte("sound")}
	for range 5 {
		_, err = g.Serve(context.Background(), admission, request)
		if err != nil {
			_, err = g.Serve(context.Background(), admission, request)
		}
		assert.NilError(t, err)
		quarantined, crashes := g.quarantine.IsQuarantined(quarantine.Fingerprint(admission.Workspace, request.URI, request.Body))
		assert.Assert(t, !quarantined && crashes == 0, "%d crashes", crashes)
	}
}
