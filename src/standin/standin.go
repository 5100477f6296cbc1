// Package standin holds small stand-ins for the systems around sesamepitch:
// the platform, a model engine and a plain service. Each has faults that a
// control route switches.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	maxBody       = 64 << 20 // bytes
	closeDeadline = time.Second
)

// Serve answers HTTP on listener until ctx ends.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	closing, cancel := context.WithTimeout(context.Background(), closeDeadline)
	defer cancel()
	if err := server.Shutdown(closing); err != nil {
		_ = server.Close()
	}
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// readJSON decodes the body into out; it answers 400 and returns false on bad input.
func readJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	content, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err == nil {
		err = json.Unmarshal(content, out)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// abort breaks the connection off without an answer.
func abort() {
	panic(http.ErrAbortHandler)
}
