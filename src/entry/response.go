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

// ErrorBody describes an error in the response to a caller.
type ErrorBody struct {
	Operation string           `json:"operation"`
	Kind      sesamepitch.Kind `json:"kind"`
	Ran       call.Ran         `json:"ran"`
	Message   string           `json:"message"`
}

// errorEnvelope is the JSON body of an error response.
type errorEnvelope struct {
	Error ErrorBody `json:"error"`
}

var httpStatus = map[sesamepitch.Kind]int{
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

func newErrorBody(ctx context.Context, operation string, err error, ran call.Ran) ErrorBody {
	if cause := context.Cause(ctx); cause != nil && sesamepitch.KindOf(cause) != sesamepitch.KindInternal {
		err = cause
	}
	return ErrorBody{Operation: operation, Kind: sesamepitch.KindOf(err), Ran: ran, Message: err.Error()}
}

// writeError writes an error response with the status of the error's kind.
func writeError(ctx context.Context, w http.ResponseWriter, operation string, err error, ran call.Ran) {
	body := newErrorBody(ctx, operation, err, ran)
	status, known := httpStatus[body.Kind]
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

func invalidRequest(format string, args ...any) error {
	return &Error{Op: "entry.read", Kind: sesamepitch.KindInvalid, Err: fmt.Errorf(format, args...)}
}

// readBody reads the request's body, which may have at most limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, invalidRequest("body is larger than %d bytes", limit)
	case sesamepitch.KindOf(err) == sesamepitch.KindOverloaded:
		return nil, err
	case err != nil:
		return nil, invalidRequest("body ended early: %v", err)
	}
	return content, nil
}

// readJSON decodes a JSON body of at most limit bytes into out, and ignores
// unknown fields.
func readJSON(w http.ResponseWriter, r *http.Request, limit int64, out any) error {
	if media, _, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err != nil || media != "application/json" {
		return invalidRequest("content type must be application/json")
	}
	content, err := readBody(w, r, limit)
	if err != nil {
		return err
	}
	if !utf8.Valid(content) {
		return invalidRequest("body is not UTF-8")
	}
	if err := json.Unmarshal(content, out); err != nil {
		return invalidRequest("body is not the JSON expected: %v", err)
	}
	return nil
}
