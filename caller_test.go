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

// reply is what a caller got.
type reply struct {
	status  int
	body    string
	kind    string
	ran     string
	message string
	err     error
}

type envelope struct {
	Error struct{ Kind, Ran, Message string }
}

// send sends one request with a fresh connection.
func send(ctx context.Context, method, address, path, key, body string, headers ...string) reply {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
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
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	r := reply{status: response.StatusCode, body: string(content), err: err}
	var e envelope
	if json.Unmarshal(content, &e) == nil {
		r.kind, r.ran, r.message = e.Error.Kind, e.Error.Ran, e.Error.Message
	}
	return r
}

func completion(tokens int, stream bool, prompt string) string {
	encoded, _ := json.Marshal(map[string]any{"model": "coach", "prompt": prompt, "max_tokens": tokens, "stream": stream})
	return string(encoded)
}

// complete asks for a completion.
func complete(address, key string, tokens int) reply {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	return send(ctx, http.MethodPost, address, "/v1/completions", key, completion(tokens, false, "which primer at "+address))
}

// stream is an open streaming completion.
type stream struct {
	cancel context.CancelFunc
	chunks chan string
	// last is the last event when the stream has ended.
	last chan string
}

// openStream opens a streaming completion and waits for its first chunk.
func openStream(t *testing.T, address, key string, tokens int) *stream {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", strings.NewReader(completion(tokens, true, "how long "+address)))
	assert.NilError(t, err)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	s := &stream{cancel: cancel, chunks: make(chan string, 100000), last: make(chan string, 1)}
	go s.read(response.Body)
	select {
	case <-s.chunks:
	case <-time.After(10 * time.Second):
		t.Fatal("no first chunk")
	}
	return s
}

func (s *stream) read(body io.ReadCloser) {
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
	s.last <- last
}

// ended waits for the stream's end and returns its last event.
func (s *stream) ended(limit time.Duration) (string, bool) {
	select {
	case last := <-s.last:
		return last, true
	case <-time.After(limit):
		return "", false
	}
}

// dump is everything in the platform's table and in all daemons' logs.
func (c *cluster) dump() string {
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
