// Package endpoint sends requests to model engines, judges and plain services.
// Every request is built from checked parts: nothing of the caller's headers,
// query or cookies is forwarded unless it is named here.
package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/answer"
	"sesamepitch/src/pool"
)

const (
	dialTimeout      = 2 * time.Second
	firstByteTimeout = 30 * time.Second
	idlePerHost      = 64
	maxResponseBytes = 16 << 20
	maxLineBytes     = 1 << 20
	streamEnd        = "[DONE]"
)

var (
	errKeyLeak       = errors.New("the request holds the caller's key")
	errWrongResponse = errors.New("the answer belongs to another request")
	errTruncated     = errors.New("the stream ended without its end mark")
	errStale         = errors.New("the endpoint runs older weights")
)

// Client sends requests to endpoints.
type Client struct {
	engines      *http.Client
	services     *http.Client
	stallTimeout time.Duration
	source       string
}

// Option configures a Client.
type Option func(*Client)

// WithStallTimeout sets how long a stream may send nothing before it is
// cancelled.
func WithStallTimeout(d time.Duration) Option {
	return func(c *Client) { c.stallTimeout = d }
}

// WithSource sets the IP address to send from.
func WithSource(source string) Option {
	return func(c *Client) { c.source = source }
}

const defaultStallTimeout = 30 * time.Second

// New returns a client. It follows no redirects and uses no proxy.
func New(options ...Option) *Client {
	c := &Client{stallTimeout: defaultStallTimeout}
	for _, option := range options {
		option(c)
	}
	dialer := sesamepitch.NewDialer(c.source, dialTimeout)
	c.engines = &http.Client{
		CheckRedirect: noRedirect,
		Transport: answer.NewTransport(&http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: idlePerHost,
			ResponseHeaderTimeout: firstByteTimeout, DisableCompression: true,
		}),
	}
	// Each call of a service uses a new connection, so that a failed dial is the
	// only case in which nothing was sent.
	c.services = &http.Client{
		CheckRedirect: noRedirect,
		Transport: answer.NewTransport(&http.Transport{
			DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true,
		}),
	}
	return c
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Completion is a request to an engine.
type Completion struct {
	ID         string
	Model      string
	Prompt     string
	MaxTokens  int
	MinVersion int64
	Sampling   Sampling
	// CallerKey is the caller's key, which must not be in the request.
	CallerKey string
}

// Sampling is the part of a caller's request that only the engine interprets.
type Sampling struct {
	Temperature *float64 `json:"temperature,omitempty"`
	TopP        *float64 `json:"top_p,omitempty"`
	Seed        *int64   `json:"seed,omitempty"`
	Stop        []string `json:"stop,omitempty"`
}

// completionBody is the request body of the engine's completions API.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Sampling
}

// Chunk is one event of an engine's stream, with the weight version that
// generated it.
type Chunk struct {
	ID      string `json:"id"`
	Text    string `json:"text"`
	Tokens  int    `json:"tokens"`
	Version int64  `json:"weight_version"`
}

// Complete streams a completion and calls each with every chunk. An error of
// kind KindUnavailable means that nothing was sent, KindStale that a chunk's
// weights were older than MinVersion, KindCrashed that the engine ended the
// stream early or sent an invalid response, KindTimeout that ctx ended or the
// stream sent nothing for the stall timeout.
func (c *Client) Complete(ctx context.Context, address string, completion Completion, each func(Chunk) error) error {
	body, err := json.Marshal(completionBody{Model: completion.Model, Prompt: completion.Prompt, MaxTokens: completion.MaxTokens, Stream: true, Sampling: completion.Sampling})
	if err != nil {
		return fail(sesamepitch.KindInvalid, err)
	}
	if leaksKey(body, completion.CallerKey) {
		return fail(sesamepitch.KindInvalid, errKeyLeak)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return fail(sesamepitch.KindInvalid, err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Request-Id", completion.ID)
	response, err := c.engines.Do(request)
	if err != nil {
		return fail(failureKind(ctx, err), err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fail(sesamepitch.KindCrashed, fmt.Errorf("status %d", response.StatusCode))
	}
	watchdog := time.AfterFunc(c.stallTimeout, cancel)
	defer watchdog.Stop()
	return readStream(ctx, response.Body, completion, func(chunk Chunk) error {
		watchdog.Reset(c.stallTimeout)
		return each(chunk)
	})
}

// leaksKey reports whether an outgoing request contains the caller's key.
func leaksKey(content []byte, key string) bool {
	return key != "" && bytes.Contains(content, []byte(key))
}

func readStream(ctx context.Context, body io.Reader, completion Completion, each func(Chunk) error) error {
	scanner := bufio.NewScanner(io.LimitReader(body, maxResponseBytes))
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for scanner.Scan() {
		data, isData := strings.CutPrefix(scanner.Text(), "data: ")
		if !isData {
			continue
		}
		if data == streamEnd {
			return nil
		}
		var chunk Chunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return fail(sesamepitch.KindCrashed, err)
		}
		if chunk.ID != completion.ID {
			return fail(sesamepitch.KindCrashed, errWrongResponse)
		}
		if err := each(chunk); err != nil {
			return err
		}
		if chunk.Version < completion.MinVersion {
			return fail(sesamepitch.KindStale, errStale)
		}
	}
	if err := scanner.Err(); err != nil {
		return fail(failureKind(ctx, err), err)
	}
	return fail(sesamepitch.KindCrashed, errTruncated)
}

func fail(kind sesamepitch.Kind, err error) error {
	return &Error{Op: "endpoint.call", Kind: kind, Err: err}
}

// failureKind returns the kind of a failed exchange: KindUnavailable if the
// request was never sent, another kind if it may have run.
func failureKind(ctx context.Context, err error) sesamepitch.Kind {
	var dial *net.OpError
	switch {
	case errors.As(err, &dial) && dial.Op == "dial":
		return sesamepitch.KindUnavailable
	case ctx.Err() != nil:
		return sesamepitch.KindTimeout
	default:
		return sesamepitch.KindCrashed
	}
}

// Call is a request to a plain service.
type Call struct {
	ID          string
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
	CallerKey   string
}

// Response is a service's complete response.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Invoke calls a plain service once. An error of kind KindUnavailable means that
// nothing was sent; after any other error the call may have run.
func (c *Client) Invoke(ctx context.Context, address string, call Call) (Response, error) {
	target := "http://" + address + call.Path
	if call.Query != "" {
		target += "?" + call.Query
	}
	if leaksKey([]byte(target+call.ContentType), call.CallerKey) || leaksKey(withUnescaped(call.Body), call.CallerKey) {
		return Response{}, fail(sesamepitch.KindInvalid, errKeyLeak)
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, target, bytes.NewReader(call.Body))
	if err != nil {
		return Response{}, fail(sesamepitch.KindInvalid, err)
	}
	request.Header.Set("X-Request-Id", call.ID)
	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}
	response, err := c.services.Do(request)
	if err != nil {
		kind := failureKind(ctx, err)
		if kind == sesamepitch.KindTimeout {
			kind = sesamepitch.KindUnknown
		}
		return Response{}, fail(kind, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil || len(body) > maxResponseBytes {
		return Response{}, fail(sesamepitch.KindUnknown, fmt.Errorf("answer cut short: %w", err))
	}
	return Response{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body}, nil
}

// withUnescaped returns the body preceded by a copy without unneeded JSON escapes,
// so that a key is found in either form. A body that is not JSON is returned alone.
func withUnescaped(body []byte) []byte {
	var value any
	if err := json.Unmarshal(body, &value); err != nil {
		return body
	}
	plain, err := json.Marshal(value)
	if err != nil {
		return body
	}
	return append(plain, body...)
}

// judgeRequest is the body of a request to a judge.
type judgeRequest struct {
	Prompt string `json:"prompt"`
	Text   string `json:"text"`
}

// judgeResponse is the body of a judge's response. Score is nil if it is missing.
type judgeResponse struct {
	Score *float64 `json:"score"`
}

// Judge asks a judge for the score of a sample.
func (c *Client) Judge(ctx context.Context, address, id, prompt, text string) (float64, error) {
	body, err := json.Marshal(judgeRequest{Prompt: prompt, Text: text})
	if err != nil {
		return 0, fail(sesamepitch.KindInvalid, err)
	}
	response, err := c.Invoke(ctx, address, Call{ID: id, Method: http.MethodPost, Path: "/judge", ContentType: "application/json", Body: body})
	if err != nil {
		return 0, err
	}
	var verdict judgeResponse
	if err := json.Unmarshal(response.Body, &verdict); err != nil || verdict.Score == nil || response.Status != http.StatusOK {
		return 0, fail(sesamepitch.KindCrashed, fmt.Errorf("status %d without a score", response.Status))
	}
	return *verdict.Score, nil
}

// loadReport is an engine's load report.
type loadReport struct {
	Running int   `json:"running"`
	Version int64 `json:"version"`
	Cold    bool  `json:"cold"`
	// ProcessStart is the start of the engine's process in Unix milliseconds.
	ProcessStart int64 `json:"born"`
}

const loadReportTimeout = 800 * time.Millisecond

// ReadLoad reads an engine's load report, which may lag behind its state.
func (c *Client) ReadLoad(ctx context.Context, address string) (pool.Load, error) {
	ctx, cancel := context.WithTimeout(ctx, loadReportTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return pool.Load{}, fail(sesamepitch.KindInvalid, err)
	}
	response, err := c.engines.Do(request)
	if err != nil {
		return pool.Load{}, fail(sesamepitch.KindUnavailable, err)
	}
	defer func() { _ = response.Body.Close() }()
	var load loadReport
	if err := json.NewDecoder(io.LimitReader(response.Body, maxLineBytes)).Decode(&load); err != nil {
		return pool.Load{}, fail(sesamepitch.KindUnavailable, err)
	}
	return pool.Load{Version: load.Version, Cold: load.Cold, ProcessStart: load.ProcessStart}, nil
}

// loadOrder orders an engine to load a weight version.
type loadOrder struct {
	Version  int64     `json:"version"`
	Fence    int64     `json:"fence"`
	NotAfter time.Time `json:"not_after"`
}

// OrderLoad orders an engine to load a weight version. The transport must refuse
// to send without the lease.
func OrderLoad(ctx context.Context, transport http.RoundTripper, address string, version, fence int64, notAfter time.Time) error {
	body, err := json.Marshal(loadOrder{Version: version, Fence: fence, NotAfter: notAfter})
	if err != nil {
		return fail(sesamepitch.KindInvalid, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/orders/load", bytes.NewReader(body))
	if err != nil {
		return fail(sesamepitch.KindInvalid, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := transport.RoundTrip(request)
	if err != nil {
		return fail(failureKind(ctx, err), err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fail(sesamepitch.KindConflict, fmt.Errorf("status %d", response.StatusCode))
	}
	return nil
}
