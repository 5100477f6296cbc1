// Package standin implements stand-ins for the systems around sesamepitch: the
// platform, a model engine and a plain service. Faults can be injected into each
// through its /control routes.
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
	maxBodyBytes    = 64 << 20
	shutdownTimeout = time.Second
)

// Serve serves HTTP on listener until ctx is done.
func Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	closing, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(closing); err != nil {
		_ = server.Close()
	}
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// readJSON decodes the body into out. On invalid input it responds with status 400
// and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	content, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
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

// abort closes the connection without a response.
func abort() {
	panic(http.ErrAbortHandler)
}
