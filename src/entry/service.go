package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"path"
	"strings"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/call"
	"sesamepitch/src/document"
	"sesamepitch/src/endpoint"
	"sesamepitch/src/pool"

	"github.com/google/uuid"
)

const (
	serviceTimeout          = 2 * time.Minute
	maxServiceAttempts      = 4
	journalTimeout          = 2 * time.Second
	maxIdempotencyKeyLength = 256
	idempotencyHeader       = "Idempotency-Key"
)

// credentialParams are query parameters in which callers may send keys. They are
// removed before a call is forwarded.
var credentialParams = []string{"key", "api_key", "apikey", "api-key", "token", "access_token", "authorization", "auth"}

// invocation is one validated call of a service.
type invocation struct {
	service        document.Service
	workspace      document.Workspace
	call           endpoint.Call
	idempotencyKey string
}

func (s *Server) callService(ctx context.Context, w http.ResponseWriter, r *http.Request, caller Caller) error {
	const operation = "service"
	in, err := s.readInvocation(w, r, r.PathValue("service"), "/"+r.PathValue("path"), caller.workspace)
	if err != nil {
		writeError(ctx, w, operation, err, call.RanNo)
		return err
	}
	in.call.CallerKey = caller.secret
	return s.respond(ctx, w, operation, in)
}

// serveOpenRoute serves routes that need no key. If the caller sends a key
// nevertheless, it is not forwarded.
func (s *Server) serveOpenRoute(w http.ResponseWriter, r *http.Request) {
	const operation = "open"
	started := s.Clock.Now()
	err := s.callOpenRoute(w, r, operation)
	s.Observer.Request(operation, sesamepitch.KindOf(err), s.Clock.Now().Sub(started))
}

func (s *Server) callOpenRoute(w http.ResponseWriter, r *http.Request, operation string) error {
	config := s.Holder.Current()
	route, found := config.OpenRoute(r.URL.Path)
	if !found {
		err := &Error{Op: "entry.route", Kind: sesamepitch.KindNotFound, Err: errors.New("no such route")}
		writeError(r.Context(), w, operation, err, call.RanNo)
		return err
	}
	workspace, _ := config.Workspace(route.Workspace)
	if err := s.beginRequest(workspace); err != nil {
		writeError(r.Context(), w, operation, err, call.RanNo)
		return err
	}
	defer s.endRequest(workspace)
	defer s.limitBody(r, workspace).release()
	in, err := s.readInvocation(w, r, route.Service, r.URL.Path, workspace)
	if err != nil {
		writeError(r.Context(), w, operation, err, call.RanNo)
		return err
	}
	if values := r.Header.Values("Authorization"); len(values) > 0 {
		if secret, err := bearer(r); err == nil {
			in.call.CallerKey = secret
		}
	}
	return s.respond(r.Context(), w, operation, in)
}

func (s *Server) readInvocation(w http.ResponseWriter, r *http.Request, service, target string, workspace document.Workspace) (invocation, error) {
	config := s.Holder.Current()
	found, ok := config.Service(service)
	if !ok || !found.MayBeCalledBy(workspace.Name) {
		return invocation{}, &Error{Op: "entry.service", Kind: sesamepitch.KindNotFound, Err: fmt.Errorf("no service %q for this workspace", service)}
	}
	body, err := readBody(w, r, config.Limit(document.LimitBodyBytes))
	if err != nil {
		return invocation{}, err
	}
	keys := r.Header.Values(idempotencyHeader)
	if len(keys) > 1 || (len(keys) == 1 && (keys[0] == "" || len(keys[0]) > maxIdempotencyKeyLength)) {
		return invocation{}, invalidRequest("give at most one %s of 1 to %d bytes", idempotencyHeader, maxIdempotencyKeyLength)
	}
	in := invocation{service: found, workspace: workspace}
	if len(keys) == 1 {
		in.idempotencyKey = keys[0]
	}
	in.call = endpoint.Call{
		ID: uuid.NewString(), Method: r.Method, Path: (&url.URL{Path: path.Clean(target)}).EscapedPath(),
		Query: cleanQuery(r.URL.Query()), ContentType: r.Header.Get("Content-Type"), Body: body,
	}
	return in, nil
}

func cleanQuery(query url.Values) string {
	for name := range query {
		for _, field := range credentialParams {
			if strings.EqualFold(name, field) {
				query.Del(name)
			}
		}
	}
	return query.Encode()
}

func (s *Server) respond(ctx context.Context, w http.ResponseWriter, operation string, in invocation) error {
	ctx, cancel := context.WithTimeout(ctx, serviceTimeout)
	defer cancel()
	response, ran, err := s.invoke(ctx, in)
	if err != nil {
		writeError(ctx, w, operation, err, ran)
		return err
	}
	if response.ContentType != "" {
		w.Header().Set("Content-Type", response.ContentType)
	}
	w.WriteHeader(response.Status)
	_, err = w.Write(response.Body)
	return err
}

func (s *Server) invoke(ctx context.Context, in invocation) (endpoint.Response, call.Ran, error) {
	if in.service.Repeatable {
		return s.invokeRepeatable(ctx, in)
	}
	if in.idempotencyKey == "" {
		return s.invokeOnce(ctx, in)
	}
	return s.invokeJournaled(ctx, in)
}

// invokeJournaled runs a call at most once per idempotency key, and replays the
// recorded response if it has already run.
func (s *Server) invokeJournaled(ctx context.Context, in invocation) (endpoint.Response, call.Ran, error) {
	fingerprint := sesamepitch.Fingerprint(in.service.Name, in.call.Method, in.call.Path, in.call.Query, string(in.call.Body))
	intent, earlier, err := s.Calls.Begin(ctx, in.workspace.Name, in.service.Name+"/"+in.idempotencyKey, fingerprint)
	switch {
	case err != nil && sesamepitch.KindOf(err) == sesamepitch.KindUnknown:
		return endpoint.Response{}, call.RanUnknown, err
	case err != nil:
		return endpoint.Response{}, call.RanNo, err
	case earlier != nil:
		return endpoint.Response{Status: earlier.Status, ContentType: earlier.ContentType, Body: earlier.Body}, call.RanYes, nil
	}
	response, ran, err := s.invokeOnce(ctx, in)
	// The journal row is finished even if the caller has disconnected.
	settling, cancel := context.WithTimeout(context.WithoutCancel(ctx), journalTimeout)
	defer cancel()
	switch {
	case err == nil:
		if err := s.Calls.Finish(settling, intent, response.Status, response.ContentType, response.Body); err != nil {
			s.Log.Info("response not recorded", "service", in.service.Name, "workspace", in.workspace.Name, "kind", sesamepitch.KindOf(err))
		}
	case ran == call.RanNo:
		_ = s.Calls.Abandon(settling, intent)
	}
	return response, ran, err
}

// invokeOnce sends a call at most once. It retries on another endpoint only if
// no byte was sent to the first.
func (s *Server) invokeOnce(ctx context.Context, in invocation) (endpoint.Response, call.Ran, error) {
	var avoid []string
	for attempt := 1; ; attempt++ {
		stream, err := s.acquire(ctx, in, avoid)
		if err != nil {
			return endpoint.Response{}, call.RanNo, err
		}
		response, err := s.send(stream, in)
		if err == nil {
			return response, call.RanYes, nil
		}
		switch sesamepitch.KindOf(err) {
		case sesamepitch.KindDenied, sesamepitch.KindInvalid:
			return endpoint.Response{}, call.RanNo, err
		case sesamepitch.KindUnavailable:
			if attempt >= maxServiceAttempts {
				return endpoint.Response{}, call.RanNo, err
			}
			avoid = []string{stream.Endpoint()}
		default:
			return endpoint.Response{}, call.RanUnknown, &Error{Op: "entry.service", Kind: sesamepitch.KindUnknown, Err: err}
		}
	}
}

func (s *Server) invokeRepeatable(ctx context.Context, in invocation) (endpoint.Response, call.Ran, error) {
	var avoid []string
	ran := call.RanNo
	for attempt := 1; ; attempt++ {
		stream, err := s.acquire(ctx, in, avoid)
		if err != nil {
			return endpoint.Response{}, ran, err
		}
		response, err := s.send(stream, in)
		if err == nil {
			return response, call.RanYes, nil
		}
		kind := sesamepitch.KindOf(err)
		if kind == sesamepitch.KindDenied || kind == sesamepitch.KindInvalid {
			return endpoint.Response{}, ran, err
		}
		if kind != sesamepitch.KindUnavailable {
			ran = call.RanUnknown
		}
		if ctx.Err() != nil || attempt >= maxServiceAttempts {
			return endpoint.Response{}, ran, err
		}
		avoid = []string{stream.Endpoint()}
	}
}

func (s *Server) acquire(ctx context.Context, in invocation, avoid []string) (*pool.Stream, error) {
	return s.Streams.Acquire(ctx, pool.StreamSpec{
		Pool: in.service.Name, Workspace: in.workspace.Name, Weight: in.workspace.Weight,
		Interactive: in.workspace.Class == document.Interactive, Tokens: 1,
		Deadline: s.Clock.Now().Add(serviceTimeout), Avoid: avoid,
	})
}

func (s *Server) send(stream *pool.Stream, in invocation) (endpoint.Response, error) {
	in.call.ID = stream.ID()
	response, err := s.Services.Invoke(stream.Context(), stream.Address(), in.call)
	release := pool.Release{Outcome: pool.Complete}
	switch sesamepitch.KindOf(err) {
	case "":
		release.Billed = true
		release.Receipt = s.Recorder.Record(in.workspace.Name, 0, 0)
	case sesamepitch.KindUnavailable:
		release.Outcome = pool.Refused
	case sesamepitch.KindDenied, sesamepitch.KindInvalid:
		release.Outcome = pool.Cancelled
	default:
		release.Outcome = pool.Crashed
	}
	s.Streams.Release(stream, release)
	return response, err
}
