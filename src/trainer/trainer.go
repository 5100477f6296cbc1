// Package trainer is the trainers' client: it runs steps through any of several
// daemons, resumes at another one when a stream breaks, and counts what was
// delivered more than once.
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
	reconnectPause = 200 * time.Millisecond
	maxLine        = 4 << 20 // bytes
)

// Client runs steps for one trainer.
type Client struct {
	name      string
	key       string
	addresses []string
	next      int
	http      *http.Client
}

// New returns the client of a trainer with its workspace's key; addresses are
// the daemons' caller listeners, or the balancer's.
func New(name, key string, addresses ...string) *Client {
	return &Client{name: name, key: key, addresses: addresses, http: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
}

// Outcome is what a step delivered.
type Outcome struct {
	samples map[step.Identity]step.Sample
	doubled int
	resumes int
	took    time.Duration
}

// Samples returns the samples by identity.
func (o Outcome) Samples() map[step.Identity]step.Sample { return o.samples }

// Duplicates counts samples that came more than once.
func (o Outcome) Duplicates() int { return o.doubled }

// Resumes counts the times that the trainer had to connect again.
func (o Outcome) Resumes() int { return o.resumes }

// Elapsed returns the time until the step was whole.
func (o Outcome) Elapsed() time.Duration { return o.took }

// SampleHandler is told each sample as it comes.
type SampleHandler func(step.Sample)

// Run runs one step until it is whole or ctx ends. A refusal that cannot
// change, such as of a withdrawn key, ends it at once.
func (c *Client) Run(ctx context.Context, number int64, groups []step.Group, policyVersion int64, observe SampleHandler) (Outcome, error) {
	started := time.Now()
	outcome := Outcome{samples: map[step.Identity]step.Sample{}}
	wanted := 0
	for _, group := range groups {
		wanted += group.Samples
	}
	for {
		err := c.stream(ctx, number, groups, policyVersion, &outcome, observe)
		outcome.took = time.Since(started)
		if len(outcome.samples) == wanted {
			return outcome, nil
		}
		if isFinal(err) || ctx.Err() != nil {
			return outcome, errors.Join(err, ctx.Err())
		}
		outcome.resumes++
		c.next++
		select {
		case <-time.After(reconnectPause):
		case <-ctx.Done():
		}
	}
}

func isFinal(err error) bool {
	switch sesamepitch.KindOf(err) {
	case sesamepitch.KindDenied, sesamepitch.KindInvalid, sesamepitch.KindNotFound, sesamepitch.KindQuarantined:
		return true
	default:
		return false
	}
}

func (c *Client) url(format string, args ...any) string {
	return "http://" + c.addresses[c.next%len(c.addresses)] + fmt.Sprintf(format, args...)
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

// stream takes one stream of samples. The old stream is closed before the next
// one is opened with the list of what has come.
func (c *Client) stream(ctx context.Context, number int64, groups []step.Group, policyVersion int64, outcome *Outcome, observe SampleHandler) error {
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
		return errorOf(response)
	}
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		var line entry.StepLine
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return &Error{Op: "trainer.stream", Kind: sesamepitch.KindCrashed, Err: err}
		}
		switch {
		case line.Error != nil:
			return &Error{Op: "trainer.stream", Kind: line.Error.Kind, Err: errors.New(line.Error.Message)}
		case line.Sample != nil:
			take(outcome, *line.Sample, observe)
		}
	}
	return scanner.Err()
}

func take(outcome *Outcome, sample step.Sample, observe SampleHandler) {
	if _, had := outcome.samples[sample.Identity]; had {
		outcome.doubled++
		return
	}
	outcome.samples[sample.Identity] = sample
	if observe != nil {
		observe(sample)
	}
}

// errorEnvelope is a daemon's refusal.
type errorEnvelope struct {
	Error entry.ErrorBody `json:"error"`
}

func errorOf(response *http.Response) error {
	content, _ := io.ReadAll(io.LimitReader(response.Body, maxLine))
	var envelope errorEnvelope
	if err := json.Unmarshal(content, &envelope); err != nil || envelope.Error.Kind == "" {
		return &Error{Op: "trainer.call", Kind: sesamepitch.KindUnavailable, Err: fmt.Errorf("status %d", response.StatusCode)}
	}
	return &Error{Op: "trainer.call", Kind: envelope.Error.Kind, Err: errors.New(envelope.Error.Message)}
}

// Acknowledge confirms samples durably; done confirms the whole step.
func (c *Client) Acknowledge(ctx context.Context, number int64, samples []step.Identity, done bool) error {
	return c.tell(ctx, c.url("/v1/trainers/%s/steps/%d/ack", c.name, number), entry.AckRequest{Samples: samples, Done: done})
}

// Publish publishes a weight version of a model.
func (c *Client) Publish(ctx context.Context, model string, version int64, object string) error {
	return c.tell(ctx, c.url("/v1/models/%s/versions", model), entry.VersionRequest{Version: version, Object: object})
}

func (c *Client) tell(ctx context.Context, url string, in any) error {
	response, err := c.post(ctx, url, in)
	if err != nil {
		c.next++
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errorOf(response)
	}
	return nil
}
