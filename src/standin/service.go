package standin

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ServiceFaults are the faults that can be injected into a service.
type ServiceFaults struct {
	// Down closes every connection before the work runs.
	Down bool `json:"down"`
	// LoseAnswers closes the connection after the work has run.
	LoseAnswers bool `json:"lose_answers"`
	// SlowMillis delays the work.
	SlowMillis int `json:"slow_millis"`
	// Truncate sends fewer bytes than the declared length of the response.
	Truncate bool `json:"truncate"`
}

// ServiceStats counts the runs by request ID and by body, and lists the credential
// headers received.
type ServiceStats struct {
	Runs    map[string]int `json:"runs"`
	Bodies  map[string]int `json:"bodies"`
	Secrets []string       `json:"secrets"`
}

// Service is the stand-in for a judge (POST /judge) and for a plain service (any
// other path), which responds with the number of runs of the same body.
type Service struct {
	mu     sync.Mutex
	faults ServiceFaults
	stats  ServiceStats
	mux    *http.ServeMux
}

// judgeResponse is the body of the judge's response.
type judgeResponse struct {
	Score float64 `json:"score"`
}

// judgeRequest is the body of a request to the judge.
type judgeRequest struct {
	Prompt string `json:"prompt"`
	Text   string `json:"text"`
}

// serviceResponse is the body of the plain service's response; Echo holds the
// headers of the request.
type serviceResponse struct {
	Runs int                 `json:"runs"`
	Body string              `json:"body"`
	Echo map[string][]string `json:"echo"`
}

// NewService returns a service without faults.
func NewService() *Service {
	s := &Service{mux: http.NewServeMux()}
	s.stats = ServiceStats{Runs: map[string]int{}, Bodies: map[string]int{}}
	s.mux.HandleFunc("POST /judge", s.judge)
	s.mux.HandleFunc("POST /control/faults", s.setFaults)
	s.mux.HandleFunc("GET /control/seen", s.readStats)
	s.mux.HandleFunc("/", s.work)
	return s
}

// ServeHTTP serves the service's and the control routes.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

func (s *Service) judge(w http.ResponseWriter, r *http.Request) {
	if s.currentFaults().Down {
		abort()
	}
	var in judgeRequest
	if !readJSON(w, r, &in) {
		return
	}
	s.record(r, "")
	const scores = 1000
	writeJSON(w, judgeResponse{Score: float64(xxhash.Sum64String(in.Prompt+in.Text)%scores) / scores})
}

func (s *Service) work(w http.ResponseWriter, r *http.Request) {
	faults := s.currentFaults()
	if faults.Down {
		abort()
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		abort()
	}
	time.Sleep(time.Duration(faults.SlowMillis) * time.Millisecond)
	runs := s.record(r, string(body))
	if faults.LoseAnswers {
		abort()
	}
	if faults.Truncate {
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write([]byte(`{"runs":`))
		return
	}
	writeJSON(w, serviceResponse{Runs: runs, Body: string(body), Echo: r.Header})
}

func (s *Service) record(r *http.Request, body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, values := range r.Header {
		lower := strings.ToLower(name)
		if strings.Contains(lower, "auth") || strings.Contains(lower, "cookie") || strings.Contains(lower, "key") {
			s.stats.Secrets = append(s.stats.Secrets, name+": "+strings.Join(values, ","))
		}
	}
	id := r.Header.Get("X-Request-Id")
	s.stats.Runs[id]++
	s.stats.Bodies[body]++
	return s.stats.Bodies[body]
}

func (s *Service) currentFaults() ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults ServiceFaults
	if !readJSON(w, r, &faults) {
		return
	}
	s.mu.Lock()
	s.faults = faults
	s.mu.Unlock()
	writeJSON(w, struct{}{})
}

func (s *Service) readStats(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	stats := ServiceStats{Runs: map[string]int{}, Bodies: map[string]int{}}
	for id, count := range s.stats.Runs {
		stats.Runs[id] = count
	}
	for body, count := range s.stats.Bodies {
		stats.Bodies[body] = count
	}
	stats.Secrets = append(stats.Secrets, s.stats.Secrets...)
	s.mu.Unlock()
	writeJSON(w, stats)
}
