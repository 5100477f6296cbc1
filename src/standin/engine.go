package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// CrashMarker in a prompt crashes the engine that runs it.
const CrashMarker = "<crash>"

// EngineFaults are the faults that can be injected into an engine.
type EngineFaults struct {
	// Down closes every connection without a response.
	Down bool `json:"down"`
	// Slow multiplies the time per token; zero means one.
	Slow float64 `json:"slow"`
	// SwapFails accepts load orders and keeps the old version.
	SwapFails bool `json:"swap_fails"`
	// MisreportSwap reports the ordered version even if the old one still runs.
	MisreportSwap bool `json:"swap_lies"`
	// CutAfter closes the connection of each stream after this many tokens.
	CutAfter int `json:"cut_after"`
	// Truncate ends each stream without its end mark.
	Truncate bool `json:"truncate"`
	// EndAfter ends each stream normally after this many tokens, but without its
	// end mark.
	EndAfter int `json:"end_after"`
	// CrossAnswers sends each chunk under the ID of the request whose chunk was sent
	// before.
	CrossAnswers bool `json:"cross_answers"`
	// Redirect responds with a redirect to this address.
	Redirect string `json:"redirect"`
}

// EngineSettings configures an engine; the values do not change after its start.
type EngineSettings struct {
	// Version is the weight version at start.
	Version int64
	// TokenTime is the time per token at or below the knee.
	TokenTime time.Duration
	// PrefillTime is the time before the first token of an uncached prompt.
	PrefillTime time.Duration
	// Knee is the number of streams above which tokens slow down.
	Knee int
	// ColdTime is how long the engine is cold after its first request.
	ColdTime time.Duration
	// ColdLimit is the number of streams above which a cold engine crashes.
	ColdLimit int
	// RestartTime is the time from a crash to the next start, which is cold.
	RestartTime time.Duration
	// CheckFence refuses load orders with old fencing numbers.
	CheckFence bool
	// SwapTime is the time that loading a weight version takes.
	SwapTime time.Duration
	// CacheSlots is the number of cached prompt prefixes.
	CacheSlots int
}

// EngineLoad is the engine's load report.
type EngineLoad struct {
	Running int   `json:"running"`
	Version int64 `json:"version"`
	Cold    bool  `json:"cold"`
	// ProcessStart is the start of the engine's process in Unix milliseconds.
	ProcessStart int64 `json:"born"`
}

// EngineStats counts what the engine received and did, for tests and reports.
type EngineStats struct {
	Requests      map[string]int `json:"requests"`
	Secrets       []string       `json:"secrets"`
	MaxRunning    int            `json:"max_running"`
	ColdOverloads int            `json:"cold_overloads"`
	LastOverload  string         `json:"last_overload"`
	Crashes       int            `json:"crashes"`
	Started       int            `json:"started"`
	LastStart     time.Time      `json:"last_start"`
	CacheHits     int            `json:"cache_hits"`
	Version       int64          `json:"version"`
	// Orders are the accepted load orders, oldest first.
	Orders []LoadOrder `json:"orders"`
}

// CompletionRequest is the part of a model server's completion request that the
// engine reads.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// Chunk is one event of the engine's stream.
type Chunk struct {
	ID      string `json:"id"`
	Text    string `json:"text"`
	Tokens  int    `json:"tokens"`
	Version int64  `json:"weight_version"`
}

// LoadOrder is an order to load a weight version.
type LoadOrder struct {
	Version  int64     `json:"version"`
	Fence    int64     `json:"fence"`
	NotAfter time.Time `json:"not_after"`
}

// Engine is the model engine stand-in.
type Engine struct {
	settings        EngineSettings
	mu              sync.Mutex
	faults          EngineFaults
	version         int64
	reportedVersion int64
	fence           int64
	running         int
	coldUntil       time.Time
	// coldSince is when a running engine was made cold; zero after a start.
	coldSince time.Time
	downUntil time.Time
	// processStart is the start of the engine's current process.
	processStart time.Time
	incarnation  int
	lastID       string
	cache        []string
	stats        EngineStats
	mux          *http.ServeMux
}

// NewEngine returns an engine with the given settings.
func NewEngine(settings EngineSettings) *Engine {
	e := &Engine{settings: settings, processStart: time.Now(), version: settings.Version, reportedVersion: settings.Version, mux: http.NewServeMux()}
	e.stats.Requests = map[string]int{}
	e.mux.HandleFunc("POST /v1/completions", e.complete)
	e.mux.HandleFunc("GET /load", e.load)
	e.mux.HandleFunc("POST /orders/load", e.loadVersion)
	e.mux.HandleFunc("POST /control/faults", e.setFaults)
	e.mux.HandleFunc("POST /control/cool", e.makeCold)
	e.mux.HandleFunc("POST /control/crash", e.crashNow)
	e.mux.HandleFunc("GET /control/seen", e.readStats)
	return e
}

// ServeHTTP serves requests, and closes connections without a response while the
// engine is down. Control routes are always served.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/control/") {
		e.mux.ServeHTTP(w, r)
		return
	}
	e.mu.Lock()
	down := e.faults.Down || time.Now().Before(e.downUntil)
	e.mu.Unlock()
	if down {
		abort()
	}
	e.mux.ServeHTTP(w, r)
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var request CompletionRequest
	if !readJSON(w, r, &request) {
		return
	}
	id := r.Header.Get("X-Request-Id")
	e.recordRequest(id, r)
	incarnation, hit, ok := e.admit(request)
	if !ok {
		abort()
	}
	var once sync.Once
	release := func() { once.Do(func() { e.release(incarnation) }) }
	defer release()
	if strings.Contains(request.Prompt, CrashMarker) {
		e.crash()
		abort()
	}
	faults := e.currentFaults()
	if faults.Redirect != "" {
		http.Redirect(w, r, faults.Redirect, http.StatusTemporaryRedirect)
		return
	}
	if !hit {
		time.Sleep(e.settings.PrefillTime)
	}
	e.stream(w, r, request, id, incarnation, release)
}

func (e *Engine) recordRequest(id string, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Requests[id]++
	e.stats.Started++
	e.stats.LastStart = time.Now()
	for name, values := range r.Header {
		lower := strings.ToLower(name)
		if strings.Contains(lower, "auth") || strings.Contains(lower, "cookie") || strings.Contains(lower, "key") {
			e.stats.Secrets = append(e.stats.Secrets, name+": "+strings.Join(values, ","))
		}
	}
	if r.URL.RawQuery != "" {
		e.stats.Secrets = append(e.stats.Secrets, "query: "+r.URL.RawQuery)
	}
}

// admit registers a stream and reports the engine's incarnation and whether the
// prompt's prefix was cached. A cold engine with too many streams crashes.
func (e *Engine) admit(request CompletionRequest) (incarnation int, hit, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.coldUntil.IsZero() {
		e.coldUntil = time.Now().Add(e.settings.ColdTime)
	}
	e.running++
	e.stats.MaxRunning = max(e.stats.MaxRunning, e.running)
	if e.overloaded() {
		e.recordOverload("admission")
		e.crashLocked()
		return 0, false, false
	}
	return e.incarnation, e.touchCache(request.Prompt), true
}

// coldTokenFactor is the factor by which a cold engine's time per token is longer.
const coldTokenFactor = 2

// coldGrace is how long an engine that was made cold while running tolerates more
// streams than its cold limit. An engine in its cold start has no such grace.
const coldGrace = 3 * time.Second

func (e *Engine) recordOverload(where string) {
	e.stats.ColdOverloads++
	e.stats.LastOverload = fmt.Sprintf("%s at %s with %d streams, cold until %s", where, time.Now().Format(time.StampMilli), e.running, e.coldUntil.Format(time.StampMilli))
}

func (e *Engine) overloaded() bool {
	now := time.Now()
	if !now.Before(e.coldUntil) || e.running <= e.settings.ColdLimit {
		return false
	}
	return e.coldSince.IsZero() || now.Sub(e.coldSince) > coldGrace
}

const cachedPrefixBytes = 64

// touchCache moves the prompt's prefix to the front of the cache and reports
// whether it was cached.
func (e *Engine) touchCache(prompt string) bool {
	prefix := prompt[:min(len(prompt), cachedPrefixBytes)]
	for i, cached := range e.cache {
		if cached == prefix {
			copy(e.cache[1:i+1], e.cache[:i])
			e.cache[0] = prefix
			e.stats.CacheHits++
			return true
		}
	}
	e.cache = append([]string{prefix}, e.cache...)
	if len(e.cache) > e.settings.CacheSlots {
		e.cache = e.cache[:e.settings.CacheSlots]
	}
	return false
}

func (e *Engine) release(incarnation int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if incarnation == e.incarnation {
		e.running--
	}
}

func (e *Engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashLocked()
}

func (e *Engine) crashLocked() {
	e.incarnation++
	e.running = 0
	e.cache = nil
	e.coldUntil, e.coldSince = time.Time{}, time.Time{}
	e.downUntil = time.Now().Add(e.settings.RestartTime)
	e.processStart = e.downUntil
	e.stats.Crashes++
}

func (e *Engine) currentFaults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// nextToken reports whether the stream is still alive, the weight version, the
// time that the next token takes and the current faults.
func (e *Engine) nextToken(incarnation int) (alive bool, version int64, wait time.Duration, faults EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	wait = e.settings.TokenTime
	if e.running > e.settings.Knee {
		wait = wait * time.Duration(e.running) / time.Duration(e.settings.Knee)
	}
	if time.Now().Before(e.coldUntil) {
		wait *= coldTokenFactor
	}
	if e.faults.Slow > 0 {
		wait = time.Duration(float64(wait) * e.faults.Slow)
	}
	if incarnation == e.incarnation && e.overloaded() {
		e.recordOverload("stream")
		e.crashLocked()
	}
	return incarnation == e.incarnation && !e.faults.Down, e.version, wait, e.faults
}

// stream sends the tokens. It releases the stream's slot before it sends the end
// mark, since the caller may reuse the slot as soon as it has read the mark.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, request CompletionRequest, id string, incarnation int, release func()) {
	w.Header().Set("Content-Type", "text/event-stream")
	// Each due time is derived from the previous due time, so that late timers do
	// not accumulate.
	due := time.Now()
	for i := range request.MaxTokens {
		alive, version, wait, faults := e.nextToken(incarnation)
		due = due.Add(wait)
		if !alive || (faults.CutAfter > 0 && i >= faults.CutAfter) {
			abort()
		}
		if faults.EndAfter > 0 && i >= faults.EndAfter {
			return
		}
		select {
		case <-time.After(time.Until(due)):
		case <-r.Context().Done():
			abort()
		}
		if alive, _, _, _ = e.nextToken(incarnation); !alive {
			abort()
		}
		chunk := Chunk{ID: id, Text: fmt.Sprintf(" w%d", i), Tokens: 1, Version: version}
		if otherID := e.responseID(id, faults); otherID != id {
			chunk.ID, chunk.Text = otherID, " crossed"
		}
		encoded, _ := json.Marshal(chunk)
		if _, err := fmt.Fprintf(w, "data: %s\n\n", encoded); err != nil {
			abort()
		}
		_ = http.NewResponseController(w).Flush()
	}
	release()
	if !e.currentFaults().Truncate {
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

// responseID returns the request ID to send: id, or with CrossAnswers that of the
// chunk sent before.
func (e *Engine) responseID(id string, faults EngineFaults) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	last := e.lastID
	e.lastID = id
	if faults.CrossAnswers && last != "" {
		return last
	}
	return id
}
