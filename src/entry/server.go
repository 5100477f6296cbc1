package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/call"
	"sesamepitch/src/document"
	"sesamepitch/src/endpoint"
	"sesamepitch/src/notice"
	"sesamepitch/src/pool"
	"sesamepitch/src/rollout"
	"sesamepitch/src/step"

	"github.com/go-logr/logr"
)

const (
	bodyReadTime = 30 * time.Second
	// readerPatience is how long a part of a streamed answer may wait for its
	// caller to read; one that does not read must not hold an engine's stream.
	readerPatience = 30 * time.Second
)

// Dependencies are what a Server works with.
type Dependencies struct {
	Clock     sesamepitch.Clock
	Log       logr.Logger
	Holder    *document.Holder
	Notices   *notice.Set
	Admission *Admission
	Runner    *rollout.Runner
	Streams   *pool.Client
	Services  *endpoint.Client
	Calls     *call.Journal
	Steps     *step.Manager
	Recorder  rollout.Recorder
	Table     sesamepitch.Table
	Publisher Publisher
	Observer  Observer
}

// Publisher spreads notices.
type Publisher interface {
	// Publish spreads notices made here; the batch is zero if the table could
	// not be reached.
	Publish(ctx context.Context, notices ...notice.Notice) (batch int64)
}

// Observer counts requests for the metrics.
type Observer interface {
	// Request counts one request by route and kind of error, empty if none.
	Request(route string, kind sesamepitch.Kind, took time.Duration)
}

// Server answers callers.
type Server struct {
	Dependencies
	mux      *http.ServeMux
	draining atomic.Bool
	active   atomic.Int64

	memory *memory

	mu      sync.Mutex
	streams map[string]int64
}

// New returns the callers' server.
func New(parts Dependencies) *Server {
	s := &Server{Dependencies: parts, mux: http.NewServeMux(), memory: newMemory(), streams: map[string]int64{}}
	s.mux.HandleFunc("GET /healthz", s.health)
	s.mux.HandleFunc("GET /readyz", s.ready)
	s.mux.HandleFunc("GET /v1/models", s.keyed("models", s.listModels))
	s.mux.HandleFunc("POST /v1/completions", s.keyed("completions", s.completions))
	s.mux.HandleFunc("POST /v1/chat/completions", s.keyed("chat", s.chat))
	s.mux.HandleFunc("/v1/services/{service}/{path...}", s.keyed("service", s.service))
	s.mux.HandleFunc("POST /v1/trainers/{trainer}/steps/{step}", s.keyed("step", s.runStep))
	s.mux.HandleFunc("POST /v1/trainers/{trainer}/steps/{step}/ack", s.keyed("ack", s.acknowledge))
	s.mux.HandleFunc("POST /v1/models/{model}/versions", s.keyed("version", s.publishVersion))
	s.mux.HandleFunc("/", s.open)
	return s
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(s.Clock.Now().Add(bodyReadTime))
	// The connection's last streamed answer left its deadline behind.
	_ = controller.SetWriteDeadline(time.Time{})
	s.mux.ServeHTTP(w, r)
}

// Drain makes the balancer send new requests elsewhere; those that still come
// are answered.
func (s *Server) Drain() { s.draining.Store(true) }

// Active counts the open requests.
func (s *Server) Active() int64 { return s.active.Load() }

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.draining.Load():
		http.Error(w, "draining", http.StatusServiceUnavailable)
	case s.Holder.Current().Version() == 0 || !s.Admission.HasSynced():
		http.Error(w, "no configuration", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}

// handler answers an admitted request and returns what went wrong, for the
// metrics; it has answered in any case.
type handler func(ctx context.Context, w http.ResponseWriter, r *http.Request, caller Caller) error

// keyed admits the request, bounds the workspace's open requests, and ends the
// request if its key is withdrawn.
func (s *Server) keyed(route string, next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		started := s.Clock.Now()
		caller, err := s.Admission.Admit(r)
		if err == nil {
			err = s.enter(caller.workspace)
		}
		if err != nil {
			fail(r.Context(), w, route, err, call.RanNo)
			s.Observer.Request(route, sesamepitch.KindOf(err), s.Clock.Now().Sub(started))
			return
		}
		defer s.leave(caller.workspace)
		defer s.meter(r, caller.workspace).release()
		ctx, done := s.Admission.Watch(r.Context(), caller)
		defer done()
		err = next(ctx, w, r, caller)
		s.Observer.Request(route, sesamepitch.KindOf(err), s.Clock.Now().Sub(started))
	}
}

// meter bounds the memory of the request's body.
func (s *Server) meter(r *http.Request, workspace document.Workspace) *meteredBody {
	limit := s.Holder.Current().Limit(document.LimitBodyMemory)
	body := &meteredBody{ReadCloser: r.Body, memory: s.memory, workspace: workspace.Name, limit: limit}
	r.Body = body
	return body
}

func (s *Server) enter(workspace document.Workspace) error {
	limit := s.Holder.Current().Limit(document.LimitStreams)
	if workspace.MaxQueued > 0 {
		limit = min(limit, int64(workspace.MaxQueued))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[workspace.Name] >= limit {
		return &Error{Op: "entry.enter", Kind: sesamepitch.KindOverloaded, Err: errTooMany}
	}
	s.streams[workspace.Name]++
	return nil
}

func (s *Server) leave(workspace document.Workspace) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[workspace.Name]--
}

// model is one row of the model list.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Version int64  `json:"weight_version"`
}

// modelList is the model list as the model servers give it.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

func (s *Server) listModels(_ context.Context, w http.ResponseWriter, _ *http.Request, _ Caller) error {
	list := modelList{Object: "list", Data: []model{}}
	for _, m := range s.Holder.Current().Document().Models {
		version := max(m.Version, s.Notices.ModelVersion(m.Name))
		list.Data = append(list.Data, model{ID: m.Name, Object: "model", Version: version})
	}
	writeJSON(w, http.StatusOK, list)
	return nil
}
