package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// callResult is the response to a caller, with the fields of an error body.
type callResult struct {
	status  int
	body    string
	kind    string
	ran     string
	message string
	err     error
}

// errorEnvelope is the JSON body of an error response.
type errorEnvelope struct {
	Error struct{ Kind, Ran, Message string }
}

// send sends one request on a new connection; headers are names and values in turn.
func send(ctx context.Context, method, address, path, key, body string, headers ...string) callResult {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return callResult{err: err}
	}
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Add(headers[i], headers[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	r := callResult{status: response.StatusCode, body: string(content), err: err}
	var e errorEnvelope
	if json.Unmarshal(content, &e) == nil {
		r.kind, r.ran, r.message = e.Error.Kind, e.Error.Ran, e.Error.Message
	}
	return r
}

// completionBody returns the JSON body of a completion request.
func completionBody(tokens int, stream bool, prompt string) string {
	encoded, _ := json.Marshal(map[string]any{"model": "coach", "prompt": prompt, "max_tokens": tokens, "stream": stream})
	return string(encoded)
}

// sendCompletion requests a completion that is not streamed.
func sendCompletion(address, key string, tokens int) callResult {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	return send(ctx, http.MethodPost, address, "/v1/completions", key, completionBody(tokens, false, "which primer at "+address))
}

// completionStream is an open streaming completion.
type completionStream struct {
	cancel context.CancelFunc
	chunks chan string
	// finalEvent receives the last event when the stream has ended.
	finalEvent chan string
}

// startStream opens a streaming completion and waits for its first chunk.
func startStream(t *testing.T, address, key string, tokens int) *completionStream {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(completionBody(tokens, true, "how long "+address)))
	assert.NilError(t, err)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	s := &completionStream{cancel: cancel, chunks: make(chan string, 100000), finalEvent: make(chan string, 1)}
	go s.read(response.Body)
	select {
	case <-s.chunks:
	case <-time.After(10 * time.Second):
		t.Fatal("no first chunk")
	}
	return s
}

func (s *completionStream) read(body io.ReadCloser) {
	defer func() { _ = body.Close() }()
	scanner := bufio.NewScanner(body)
	last := ""
	for scanner.Scan() {
		if data, found := strings.CutPrefix(scanner.Text(), "data: "); found {
			last = data
			s.chunks <- data
		}
	}
	close(s.chunks)
	s.finalEvent <- last
}

// waitEnd waits for the end of the stream and returns its last event; it returns
// false after the timeout.
func (s *completionStream) waitEnd(timeout time.Duration) (string, bool) {
	select {
	case last := <-s.finalEvent:
		return last, true
	case <-time.After(timeout):
		return "", false
	}
}

// dumpState returns all rows of the platform's table and the logs and metrics of
// all daemons.
func (c *cluster) dumpState() string {
	var b bytes.Buffer
	response, err := http.Get("http://" + c.platform + "/table/rows?prefix=")
	assert.NilError(c.t, err)
	defer func() { _ = response.Body.Close() }()
	var rows []struct {
		Key   string
		Value []byte
	}
	assert.NilError(c.t, json.NewDecoder(response.Body).Decode(&rows))
	for _, row := range rows {
		fmt.Fprintf(&b, "%s %s\n", row.Key, row.Value)
	}
	for _, d := range c.daemons {
		b.WriteString(d.log.String())
		metrics := send(context.Background(), http.MethodGet, d.operators, "/metrics", "", "")
		b.WriteString(metrics.body)
	}
	return b.String()
}
