package standin

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ServiceFaults are the faults of the plain service stand-in.
type ServiceFaults struct {
	// Down breaks every connection off before the work runs.
	Down bool `json:"down"`
	// LoseAnswers breaks the connection off after the work has run.
	LoseAnswers bool `json:"lose_answers"`
	// SlowMillis delays the work.
	SlowMillis int `json:"slow_millis"`
	// Truncate sends half of the answer's declared length.
	Truncate bool `json:"truncate"`
}

// ServiceStats is what the service saw.
type ServiceStats struct {
	Runs    map[string]int `json:"runs"`
	Bodies  map[string]int `json:"bodies"`
	Secrets []string       `json:"secrets"`
}

// Service is the stand-in of a judge (POST /judge) and of a plain service
// (any other path), which answers how often the body's work has run.
type Service struct {
	mu     sync.Mutex
	faults ServiceFaults
	seen   ServiceStats
	mux    *http.ServeMux
}

// judgement is the judge's answer.
type judgement struct {
	Score float64 `json:"score"`
}

// judged is the judge's input.
type judged struct {
	Prompt string `json:"prompt"`
	Text   string `json:"text"`
}

// plainAnswer is the plain service's answer; Echo shows the headers it saw.
type plainAnswer struct {
	Runs int                 `json:"runs"`
	Body string              `json:"body"`
	Echo map[string][]string `json:"echo"`
}

// NewService returns a service without faults.
func NewService() *Service {
	s := &Service{mux: http.NewServeMux()}
	s.seen = ServiceStats{Runs: map[string]int{}, Bodies: map[string]int{}}
	s.mux.HandleFunc("POST /judge", s.judge)
	s.mux.HandleFunc("POST /control/faults", s.setFaults)
	s.mux.HandleFunc("GET /control/seen", s.readSeen)
	s.mux.HandleFunc("/", s.work)
	return s
}

// ServeHTTP answers.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

func (s *Service) judge(w http.ResponseWriter, r *http.Request) {
	if s.current().Down {
		abort()
	}
	var in judged
	if !readJSON(w, r, &in) {
		return
	}
	s.note(r, "")
	const scores = 1000
	writeJSON(w, judgement{Score: float64(xxhash.Sum64String(in.Prompt+in.Text)%scores) / scores})
}

func (s *Service) work(w http.ResponseWriter, r *http.Request) {
	faults := s.current()
	if faults.Down {
		abort()
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		abort()
	}
	time.Sleep(time.Duration(faults.SlowMillis) * time.Millisecond)
	runs := s.note(r, string(body))
	if faults.LoseAnswers {
		abort()
	}
	if faults.Truncate {
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write([]byte(`{"runs":`))
		return
	}
	writeJSON(w, plainAnswer{Runs: runs, Body: string(body), Echo: r.Header})
}

func (s *Service) note(r *http.Request, body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, values := range r.Header {
		lower := strings.ToLower(name)
		if strings.Contains(lower, "auth") || strings.Contains(lower, "cookie") || strings.Contains(lower, "key") {
			s.seen.Secrets = append(s.seen.Secrets, name+": "+strings.Join(values, ","))
		}
	}
	id := r.Header.Get("X-Request-Id")
	s.seen.Runs[id]++
	s.seen.Bodies[body]++
	return s.seen.Bodies[body]
}

func (s *Service) current() ServiceFaults {
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

func (s *Service) readSeen(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	seen := ServiceStats{Runs: map[string]int{}, Bodies: map[string]int{}}
	for id, count := range s.seen.Runs {
		seen.Runs[id] = count
	}
	for body, count := range s.seen.Bodies {
		seen.Bodies[body] = count
	}
	seen.Secrets = append(seen.Secrets, s.seen.Secrets...)
	s.mu.Unlock()
	writeJSON(w, seen)
}
