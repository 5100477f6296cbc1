package rowstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/answer"
)

const (
	defaultTimeout     = 1500 * time.Millisecond
	maxResponseBytes   = 64 << 20
	maxIdleConnections = 8
)

// Client implements sesamepitch.Platform over HTTP. Each call has a timeout. A
// read without a response fails with KindUnavailable, a write that may have been
// applied with KindUnknown.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout sets the timeout of each call.
func WithTimeout(d time.Duration) Option {
	return func(c *Client) { c.timeout = d }
}

// WithSource sets the source IP address of connections.
func WithSource(source string) Option {
	return func(c *Client) {
		dialer := sesamepitch.NewDialer(source, c.timeout)
		c.http = newHTTPClient(&http.Transport{MaxIdleConnsPerHost: maxIdleConnections, DialContext: dialer.DialContext})
	}
}

// WithTransport sets the transport, for example one that sends requests only
// while a lease is held.
func WithTransport(transport http.RoundTripper) Option {
	return func(c *Client) { c.http = &http.Client{Transport: transport} }
}

// New returns a client of the platform at address (host:port).
func New(address string, options ...Option) *Client {
	c := &Client{base: "http://" + address, timeout: defaultTimeout}
	c.http = newHTTPClient(&http.Transport{MaxIdleConnsPerHost: maxIdleConnections})
	for _, option := range options {
		option(c)
	}
	return c
}

func newHTTPClient(transport *http.Transport) *http.Client {
	return &http.Client{Transport: answer.NewTransport(transport)}
}

// commitResponse is the platform's response to a transaction.
type commitResponse struct {
	Revision int64 `json:"revision"`
}

// Get implements sesamepitch.Table.
func (c *Client) Get(ctx context.Context, key string) (sesamepitch.Row, error) {
	var row sesamepitch.Row
	err := c.call(ctx, "table.get", http.MethodGet, "/table/row?key="+url.QueryEscape(key), nil, &row)
	return row, err
}

// List implements sesamepitch.Table.
func (c *Client) List(ctx context.Context, prefix string) ([]sesamepitch.Row, error) {
	var rows []sesamepitch.Row
	err := c.call(ctx, "table.list", http.MethodGet, "/table/rows?prefix="+url.QueryEscape(prefix), nil, &rows)
	return rows, err
}

// Commit implements sesamepitch.Table.
func (c *Client) Commit(ctx context.Context, txn sesamepitch.Txn) (int64, error) {
	var response commitResponse
	err := c.call(ctx, "table.commit", http.MethodPost, "/table/commit", txn, &response)
	return response.Revision, err
}

// Order implements sesamepitch.Orders.
func (c *Client) Order(ctx context.Context, order sesamepitch.EndpointOrder) error {
	return c.call(ctx, "orders.order", http.MethodPost, "/orders", order, nil)
}

// Ordered implements sesamepitch.Orders.
func (c *Client) Ordered(ctx context.Context, id string) (bool, error) {
	err := c.call(ctx, "orders.read", http.MethodGet, "/orders/"+url.PathEscape(id), nil, nil)
	if sesamepitch.KindOf(err) == sesamepitch.KindNotFound {
		return false, nil
	}
	return err == nil, err
}

// Report implements sesamepitch.UsageReports.
func (c *Client) Report(ctx context.Context, report sesamepitch.UsageReport) error {
	return c.call(ctx, "usage.report", http.MethodPost, "/usage", report, nil)
}

// Reported implements sesamepitch.UsageReports.
func (c *Client) Reported(ctx context.Context, id string) (sesamepitch.UsageReport, error) {
	var report sesamepitch.UsageReport
	err := c.call(ctx, "usage.read", http.MethodGet, "/usage/"+url.PathEscape(id), nil, &report)
	return report, err
}

// Live implements sesamepitch.LiveList.
func (c *Client) Live(ctx context.Context) ([]sesamepitch.Liveness, error) {
	var list []sesamepitch.Liveness
	err := c.call(ctx, "live.list", http.MethodGet, "/live", nil, &list)
	return list, err
}

// Objects implements sesamepitch.Platform.
func (c *Client) Objects() sesamepitch.Objects { return objects{client: c} }

type objects struct{ client *Client }

func (o objects) Put(ctx context.Context, name string, content []byte) error {
	return o.client.call(ctx, "object.put", http.MethodPut, "/objects/"+url.PathEscape(name), content, nil)
}

func (o objects) Get(ctx context.Context, name string) ([]byte, error) {
	var content []byte
	err := o.client.call(ctx, "object.get", http.MethodGet, "/objects/"+url.PathEscape(name), nil, &content)
	return content, err
}

func (o objects) Delete(ctx context.Context, name string) error {
	err := o.client.call(ctx, "object.delete", http.MethodDelete, "/objects/"+url.PathEscape(name), nil, nil)
	if sesamepitch.KindOf(err) == sesamepitch.KindNotFound {
		return nil
	}
	return err
}

// call sends one request. in and out are encoded as JSON, a []byte as a base64
// string. in is nil for a request without a body, out if the response is not needed.
func (c *Client) call(ctx context.Context, op, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return &Error{Op: op, Kind: sesamepitch.KindInvalid, Err: err}
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return &Error{Op: op, Kind: sesamepitch.KindInvalid, Err: err}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return &Error{Op: op, Kind: kindWithoutResponse(method, err), Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	return readResponse(op, method, response, out)
}

// kindWithoutResponse returns the error kind of a call without a usable response.
// A call whose dial failed and a GET changed nothing; the outcome of any other call
// is unknown.
func kindWithoutResponse(method string, err error) sesamepitch.Kind {
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return sesamepitch.KindUnavailable
	}
	if method == http.MethodGet {
		return sesamepitch.KindUnavailable
	}
	return sesamepitch.KindUnknown
}

func readResponse(op, method string, response *http.Response, out any) error {
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return &Error{Op: op, Kind: kindWithoutResponse(method, err), Err: err}
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return &Error{Op: op, Kind: sesamepitch.KindConflict, Err: errors.New(string(content))}
	case http.StatusNotFound:
		return &Error{Op: op, Kind: sesamepitch.KindNotFound}
	case http.StatusBadRequest:
		return &Error{Op: op, Kind: sesamepitch.KindInvalid, Err: errors.New(string(content))}
	case http.StatusServiceUnavailable:
		return &Error{Op: op, Kind: sesamepitch.KindUnavailable, Err: errors.New(string(content))}
	default:
		return &Error{Op: op, Kind: kindWithoutResponse(method, nil), Err: fmt.Errorf("status %d", response.StatusCode)}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(content, out); err != nil {
		return &Error{Op: op, Kind: kindWithoutResponse(method, err), Err: err}
	}
	return nil
}
