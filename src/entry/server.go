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
	bodyReadTimeout = 30 * time.Second
	// streamWriteTimeout is the timeout of one write of a streamed response. A
	// caller that does not read must not occupy an engine's stream for longer.
	streamWriteTimeout = 30 * time.Second
)

// Dependencies are the components that a Server uses.
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

// Publisher distributes notices to the other daemons.
type Publisher interface {
	// Publish distributes notices that this daemon created and returns their
	// batch number in the table, or zero if the table could not be reached.
	Publish(ctx context.Context, notices ...notice.Notice) (batch int64)
}

// Observer records requests in the metrics.
type Observer interface {
	// Request records one request; the kind is empty if it succeeded.
	Request(route string, kind sesamepitch.Kind, took time.Duration)
}

// Server is the HTTP handler for callers.
type Server struct {
	Dependencies
	mux      *http.ServeMux
	draining atomic.Bool
	active   atomic.Int64

	memory *bodyMemory

	mu           sync.Mutex
	openRequests map[string]int64
}

// New returns a Server.
func New(deps Dependencies) *Server {
	s := &Server{Dependencies: deps, mux: http.NewServeMux(), memory: newBodyMemory(), openRequests: map[string]int64{}}
	s.mux.HandleFunc("GET /healthz", s.health)
	s.mux.HandleFunc("GET /readyz", s.ready)
	s.mux.HandleFunc("GET /v1/models", s.authenticated("models", s.listModels))
	s.mux.HandleFunc("POST /v1/completions", s.authenticated("completions", s.completions))
	s.mux.HandleFunc("POST /v1/chat/completions", s.authenticated("chat", s.chat))
	s.mux.HandleFunc("/v1/services/{service}/{path...}", s.authenticated("service", s.callService))
	s.mux.HandleFunc("POST /v1/trainers/{trainer}/steps/{step}", s.authenticated("step", s.runStep))
	s.mux.HandleFunc("POST /v1/trainers/{trainer}/steps/{step}/ack", s.authenticated("ack", s.acknowledge))
	s.mux.HandleFunc("POST /v1/models/{model}/versions", s.authenticated("version", s.publishVersion))
	s.mux.HandleFunc("/", s.serveOpenRoute)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(s.Clock.Now().Add(bodyReadTimeout))
	// An earlier streamed response on this connection may have left a deadline.
	_ = controller.SetWriteDeadline(time.Time{})
	s.mux.ServeHTTP(w, r)
}

// Drain makes the readiness check fail, so that the load balancer sends new
// requests elsewhere. Requests that still arrive are served.
func (s *Server) Drain() { s.draining.Store(true) }

// Active returns the number of open requests.
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

// handler serves an admitted request. It always writes the response itself; the
// returned error is for the metrics.
type handler func(ctx context.Context, w http.ResponseWriter, r *http.Request, caller Caller) error

// authenticated wraps a handler. It admits the request, limits the workspace's
// open requests, and cancels the request if its key is withdrawn.
func (s *Server) authenticated(route string, next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		started := s.Clock.Now()
		caller, err := s.Admission.Admit(r)
		if err == nil {
			err = s.beginRequest(caller.workspace)
		}
		if err != nil {
			writeError(r.Context(), w, route, err, call.RanNo)
			s.Observer.Request(route, sesamepitch.KindOf(err), s.Clock.Now().Sub(started))
			return
		}
		defer s.endRequest(caller.workspace)
		defer s.limitBody(r, caller.workspace).release()
		ctx, done := s.Admission.Watch(r.Context(), caller)
		defer done()
		err = next(ctx, w, r, caller)
		s.Observer.Request(route, sesamepitch.KindOf(err), s.Clock.Now().Sub(started))
	}
}

// limitBody makes the request's body count against the memory for bodies.
func (s *Server) limitBody(r *http.Request, workspace document.Workspace) *meteredBody {
	limit := s.Holder.Current().Limit(document.LimitBodyMemory)
	body := &meteredBody{ReadCloser: r.Body, memory: s.memory, workspace: workspace.Name, limit: limit}
	r.Body = body
	return body
}

func (s *Server) beginRequest(workspace document.Workspace) error {
	limit := s.Holder.Current().Limit(document.LimitStreams)
	if workspace.MaxQueued > 0 {
		limit = min(limit, int64(workspace.MaxQueued))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openRequests[workspace.Name] >= limit {
		return &Error{Op: "entry.enter", Kind: sesamepitch.KindOverloaded, Err: errTooManyRequests}
	}
	s.openRequests[workspace.Name]++
	return nil
}

func (s *Server) endRequest(workspace document.Workspace) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openRequests[workspace.Name]--
}

// model is one entry of the model list.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Version int64  `json:"weight_version"`
}

// modelList is the model list in the format of common model servers.
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
