package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"unicode/utf8"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/call"
)

// ErrorBody is the body of every refusal and failure.
type ErrorBody struct {
	Operation string           `json:"operation"`
	Kind      sesamepitch.Kind `json:"kind"`
	Ran       call.Ran         `json:"ran"`
	Message   string           `json:"message"`
}

// errorEnvelope is an ErrorBody as it is sent.
type errorEnvelope struct {
	Error ErrorBody `json:"error"`
}

var statusOfKind = map[sesamepitch.Kind]int{
	sesamepitch.KindInvalid:     http.StatusBadRequest,
	sesamepitch.KindDenied:      http.StatusUnauthorized,
	sesamepitch.KindNotFound:    http.StatusNotFound,
	sesamepitch.KindConflict:    http.StatusConflict,
	sesamepitch.KindUnavailable: http.StatusServiceUnavailable,
	sesamepitch.KindOverloaded:  http.StatusTooManyRequests,
	sesamepitch.KindUnknown:     http.StatusBadGateway,
	sesamepitch.KindTimeout:     http.StatusGatewayTimeout,
	sesamepitch.KindCrashed:     http.StatusBadGateway,
	sesamepitch.KindQuarantined: http.StatusUnprocessableEntity,
	sesamepitch.KindStale:       http.StatusServiceUnavailable,
}

func bodyOf(ctx context.Context, operation string, err error, ran call.Ran) ErrorBody {
	if cause := context.Cause(ctx); cause != nil && sesamepitch.KindOf(cause) != sesamepitch.KindInternal {
		err = cause
	}
	return ErrorBody{Operation: operation, Kind: sesamepitch.KindOf(err), Ran: ran, Message: err.Error()}
}

// fail answers with a typed error.
func fail(ctx context.Context, w http.ResponseWriter, operation string, err error, ran call.Ran) {
	body := bodyOf(ctx, operation, err, ran)
	status, known := statusOfKind[body.Kind]
	if !known {
		status = http.StatusInternalServerError
	}
	if status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	writeJSON(w, status, errorEnvelope{Error: body})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func invalid(format string, args ...any) error {
	return &Error{Op: "entry.read", Kind: sesamepitch.KindInvalid, Err: fmt.Errorf(format, args...)}
}

// readBody reads a bounded body whole.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, invalid("body is larger than %d bytes", limit)
	case sesamepitch.KindOf(err) == sesamepitch.KindOverloaded:
		return nil, err
	case err != nil:
		return nil, invalid("body ended early: %v", err)
	}
	return content, nil
}

// readJSON decodes a bounded JSON body; fields that out does not name are
// dropped.
func readJSON(w http.ResponseWriter, r *http.Request, limit int64, out any) error {
	if media, _, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err != nil || media != "application/json" {
		return invalid("content type must be application/json")
	}
	content, err := readBody(w, r, limit)
	if err != nil {
		return err
	}
	if !utf8.Valid(content) {
		return invalid("body is not UTF-8")
	}
	if err := json.Unmarshal(content, out); err != nil {
		return invalid("body is not the JSON expected: %v", err)
	}
	return nil
}
