// Package trainer is the client of trainers. It runs steps through any of several
// daemons, resumes a step at another daemon when its stream is interrupted, and
// counts samples that were delivered more than once.
package trainer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/entry"
	"sesamepitch/src/step"
)

const (
	reconnectDelay = 200 * time.Millisecond
	maxLineBytes   = 4 << 20
)

// Client runs steps for one trainer.
type Client struct {
	name        string
	key         string
	addresses   []string
	nextAddress int
	http        *http.Client
}

// New returns a client for the named trainer with its workspace's key. The
// addresses are those of the daemons' caller listeners or of a load balancer.
func New(name, key string, addresses ...string) *Client {
	return &Client{name: name, key: key, addresses: addresses, http: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
}

// Outcome holds the samples that a step delivered, and its statistics.
type Outcome struct {
	samples    map[step.Identity]step.Sample
	duplicates int
	resumes    int
	elapsed    time.Duration
}

// Samples returns the samples by identity.
func (o Outcome) Samples() map[step.Identity]step.Sample { return o.samples }

// Duplicates returns how many deliveries repeated a sample.
func (o Outcome) Duplicates() int { return o.duplicates }

// Resumes returns how often the client had to reconnect.
func (o Outcome) Resumes() int { return o.resumes }

// Elapsed returns the time until the step was complete or the run ended.
func (o Outcome) Elapsed() time.Duration { return o.elapsed }

// SampleHandler is called with each sample when it is first delivered.
type SampleHandler func(step.Sample)

// Run runs one step until it is complete or ctx is done. A permanent refusal, such
// as for a withdrawn key, ends it at once.
func (c *Client) Run(ctx context.Context, number int64, groups []step.Group, policyVersion int64, onSample SampleHandler) (Outcome, error) {
	started := time.Now()
	outcome := Outcome{samples: map[step.Identity]step.Sample{}}
	total := 0
	for _, group := range groups {
		total += group.Samples
	}
	for {
		err := c.stream(ctx, number, groups, policyVersion, &outcome, onSample)
		outcome.elapsed = time.Since(started)
		if len(outcome.samples) == total {
			return outcome, nil
		}
		if isPermanent(err) || ctx.Err() != nil {
			return outcome, errors.Join(err, ctx.Err())
		}
		outcome.resumes++
		c.nextAddress++
		select {
		case <-time.After(reconnectDelay):
		case <-ctx.Done():
		}
	}
}

func isPermanent(err error) bool {
	switch sesamepitch.KindOf(err) {
	case sesamepitch.KindDenied, sesamepitch.KindInvalid, sesamepitch.KindNotFound, sesamepitch.KindQuarantined:
		return true
	default:
		return false
	}
}

func (c *Client) url(format string, args ...any) string {
	return "http://" + c.addresses[c.nextAddress%len(c.addresses)] + fmt.Sprintf(format, args...)
}

func (c *Client) post(ctx context.Context, url string, in any) (*http.Response, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, &Error{Op: "trainer.post", Kind: sesamepitch.KindUnavailable, Err: err}
	}
	return response, nil
}

// stream reads one stream of samples. The request lists the samples that have been
// delivered already, and the stream is closed before Run opens the next one.
func (c *Client) stream(ctx context.Context, number int64, groups []step.Group, policyVersion int64, outcome *Outcome, onSample SampleHandler) error {
	streaming, cancel := context.WithCancel(ctx)
	defer cancel()
	in := entry.StepRequest{Groups: groups, PolicyVersion: policyVersion}
	for identity := range outcome.samples {
		in.Have = append(in.Have, identity)
	}
	response, err := c.post(streaming, c.url("/v1/trainers/%s/steps/%d", c.name, number), in)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return responseError(response)
	}
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		var line entry.StepLine
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return &Error{Op: "trainer.stream", Kind: sesamepitch.KindCrashed, Err: err}
		}
		switch {
		case line.Error != nil:
			return &Error{Op: "trainer.stream", Kind: line.Error.Kind, Err: errors.New(line.Error.Message)}
		case line.Sample != nil:
			addSample(outcome, *line.Sample, onSample)
		}
	}
	return scanner.Err()
}

func addSample(outcome *Outcome, sample step.Sample, onSample SampleHandler) {
	if _, had := outcome.samples[sample.Identity]; had {
		outcome.duplicates++
		return
	}
	outcome.samples[sample.Identity] = sample
	if onSample != nil {
		onSample(sample)
	}
}

// errorEnvelope is the body of a daemon's error response.
type errorEnvelope struct {
	Error entry.ErrorBody `json:"error"`
}

func responseError(response *http.Response) error {
	content, _ := io.ReadAll(io.LimitReader(response.Body, maxLineBytes))
	var envelope errorEnvelope
	if err := json.Unmarshal(content, &envelope); err != nil || envelope.Error.Kind == "" {
		return &Error{Op: "trainer.call", Kind: sesamepitch.KindUnavailable, Err: fmt.Errorf("status %d", response.StatusCode)}
	}
	return &Error{Op: "trainer.call", Kind: envelope.Error.Kind, Err: errors.New(envelope.Error.Message)}
}

// Acknowledge records durably that the trainer has the samples; done confirms the
// complete step.
func (c *Client) Acknowledge(ctx context.Context, number int64, samples []step.Identity, done bool) error {
	return c.send(ctx, c.url("/v1/trainers/%s/steps/%d/ack", c.name, number), entry.AckRequest{Samples: samples, Done: done})
}

// Publish publishes a weight version of a model.
func (c *Client) Publish(ctx context.Context, model string, version int64, object string) error {
	return c.send(ctx, c.url("/v1/models/%s/versions", model), entry.VersionRequest{Version: version, Object: object})
}

func (c *Client) send(ctx context.Context, url string, in any) error {
	response, err := c.post(ctx, url, in)
	if err != nil {
		c.nextAddress++
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return responseError(response)
	}
	return nil
}
