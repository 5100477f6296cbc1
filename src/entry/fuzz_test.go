package entry

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/step"

	"gotest.tools/v3/assert"
)

// FuzzBodies asserts, for each type of request, that any body either fails with
// KindInvalid or is decoded and within the size limit.
func FuzzBodies(f *testing.F) {
	f.Add([]byte(`{"model":"coach","prompt":"p","max_tokens":4,"stream":true}`))
	f.Add([]byte(`{"model":"coach","messages":[{"role":"user","content":"p"}]}`))
	f.Add([]byte(`{"groups":[{"prompt":"p","samples":2,"max_tokens":4}],"have":[{"group":0,"index":1}],"policy_version":3}`))
	f.Add([]byte(`{"samples":[{"group":0,"index":1}],"done":true}`))
	f.Add([]byte(`{"version":-1}`))
	f.Add([]byte("\xff\xfe{}"))
	const limit = 1 << 12
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, out := range []any{&completionRequest{}, &chatRequest{}, &StepRequest{}, &AckRequest{}, &VersionRequest{}} {
			r := httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(body))
			r.Header.Set("Content-Type", "application/json")
			err := readJSON(httptest.NewRecorder(), r, limit, out)
			if err != nil {
				assert.Equal(t, sesamepitch.KindOf(err), sesamepitch.KindInvalid)
				continue
			}
			assert.Assert(t, len(body) <= limit)
			if in, isStep := out.(*StepRequest); isStep {
				checkStep(t, in)
			}
		}
	})
}

// checkStep asserts that a step either fails with KindInvalid or has groups within the
// limits.
func checkStep(t *testing.T, in *StepRequest) {
	spec := step.Spec{Trainer: "painter", Step: 1, Groups: in.Groups}
	if err := spec.Check(tokenLimit); err != nil {
		assert.Equal(t, sesamepitch.KindOf(err), sesamepitch.KindInvalid)
		return
	}
	for _, group := range in.Groups {
		assert.Assert(t, group.Samples > 0 && group.MaxTokens > 0 && group.MaxTokens <= tokenLimit && group.Prompt != "")
	}
}

const tokenLimit = 100

func TestBearer(t *testing.T) {
	cases := []struct {
		name   string
		values []string
		want   string
	}{
		{"one key", []string{"Bearer sp-1"}, "sp-1"},
		{"scheme in lower case", []string{"bearer sp-1"}, "sp-1"},
		{"none", nil, ""},
		{"two headers", []string{"Bearer sp-1", "Bearer sp-2"}, ""},
		{"list in one header", []string{"Bearer sp-1, Bearer sp-2"}, ""},
		{"other scheme", []string{"Basic sp-1"}, ""},
		{"no key", []string{"Bearer "}, ""},
		{"too long", []string{"Bearer " + strings.Repeat("x", maxKeyLength+1)}, ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodGet, "/", nil)
			r.Header["Authorization"] = test.values
			key, err := bearer(r)
			assert.Equal(t, key, test.want)
			assert.Equal(t, err == nil, test.want != "")
		})
	}
}

func TestCleanQuery(t *testing.T) {
	r := httptest.NewRequest(http.MethodGet, "/?lot=7&API_KEY=x&token=y&access_token=z", nil)
	assert.Equal(t, cleanQuery(r.URL.Query()), "lot=7")
}
