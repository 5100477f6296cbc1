package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/usage"
)

const clientTimeout = 15 * time.Second

// Client calls a daemon's operator listener.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// NewClient returns a client of the daemon at address (host:port).
func NewClient(address, token string) *Client {
	return &Client{base: "http://" + address, token: token, http: &http.Client{Timeout: clientTimeout}}
}

// Document returns the document in force.
func (c *Client) Document(ctx context.Context) (VersionedDocument, error) {
	var out VersionedDocument
	err := c.call(ctx, http.MethodGet, "/document", nil, &out)
	return out, err
}

// Diff compares the version in force with a YAML document.
func (c *Client) Diff(ctx context.Context, yaml []byte) (Differences, error) {
	var out Differences
	err := c.call(ctx, http.MethodPost, "/diff", yaml, &out)
	return out, err
}

// Apply submits a YAML document as the next version. base is the version that it
// was edited from, or negative if there is none.
func (c *Client) Apply(ctx context.Context, yaml []byte, base int64, author string) (Confirmation, error) {
	query := url.Values{"author": {author}}
	if base >= 0 {
		query.Set("base", fmt.Sprint(base))
	}
	var out Confirmation
	err := c.call(ctx, http.MethodPost, "/apply?"+query.Encode(), yaml, &out)
	return out, err
}

// Withdraw revokes a key.
func (c *Client) Withdraw(ctx context.Context, in Withdrawal) (Confirmation, error) {
	var out Confirmation
	err := c.callJSON(ctx, "/withdraw", in, &out)
	return out, err
}

// SetCentre takes a data centre out or in.
func (c *Client) SetCentre(ctx context.Context, in CentreState) (Confirmation, error) {
	var out Confirmation
	err := c.callJSON(ctx, "/centre", in, &out)
	return out, err
}

// Status returns the status of the daemon and of all data centres.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	err := c.call(ctx, http.MethodGet, "/status", nil, &out)
	return out, err
}

// Usage lists the frozen usage windows.
func (c *Client) Usage(ctx context.Context) ([]usage.WindowStatus, error) {
	var out []usage.WindowStatus
	err := c.call(ctx, http.MethodGet, "/usage", nil, &out)
	return out, err
}

func (c *Client) callJSON(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	return c.call(ctx, http.MethodPost, path, body, out)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return &Error{Op: "operator.call", Kind: sesamepitch.KindInvalid, Err: err}
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return &Error{Op: "operator.call", Kind: sesamepitch.KindUnavailable, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return &Error{Op: "operator.call", Kind: sesamepitch.KindUnknown, Err: err}
	}
	if response.StatusCode != http.StatusOK {
		return responseError(response.StatusCode, content)
	}
	if err := json.Unmarshal(content, out); err != nil {
		return &Error{Op: "operator.call", Kind: sesamepitch.KindInternal, Err: err}
	}
	return nil
}

func responseError(status int, content []byte) error {
	var failure Failure
	if err := json.Unmarshal(content, &failure); err != nil {
		return &Error{Op: "operator.call", Kind: sesamepitch.KindInternal, Err: fmt.Errorf("status %d", status)}
	}
	return &Error{Op: "operator.call", Kind: failure.Kind, Err: errors.New(failure.Message)}
}
