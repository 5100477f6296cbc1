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

// EngineFaults are the faults of the engine stand-in.
type EngineFaults struct {
	// Down breaks every connection off.
	Down bool `json:"down"`
	// Slow multiplies the time of a token; zero means one.
	Slow float64 `json:"slow"`
	// SwapFails takes a load order and keeps the old version.
	SwapFails bool `json:"swap_fails"`
	// MisreportSwap reports the ordered version although the old one runs.
	MisreportSwap bool `json:"swap_lies"`
	// CutAfter breaks each stream off after this many tokens.
	CutAfter int `json:"cut_after"`
	// Truncate ends each stream without its end mark.
	Truncate bool `json:"truncate"`
	// EndAfter ends each stream cleanly after this many tokens, without its end
	// mark.
	EndAfter int `json:"end_after"`
	// CrossAnswers sends the answer of the request before.
	CrossAnswers bool `json:"cross_answers"`
	// Redirect answers with a redirect to this address.
	Redirect string `json:"redirect"`
}

// EngineSettings are fixed at the engine's start.
type EngineSettings struct {
	// Version is the weight version at start.
	Version int64
	// TokenTime is the time of one token below the knee.
	TokenTime time.Duration
	// PrefillTime is the time before the first token of an uncached prompt.
	PrefillTime time.Duration
	// Knee is the number of streams above which tokens slow down.
	Knee int
	// ColdTime is how long the engine is cold after its first request.
	ColdTime time.Duration
	// ColdLimit is the number of streams that the cold engine bears.
	ColdLimit int
	// RestartTime is the time from a crash to the next, cold start.
	RestartTime time.Duration
	// CheckFence refuses load orders with old fencing numbers.
	CheckFence bool
	// SwapTime is the time of a weight swap.
	SwapTime time.Duration
	// CacheSlots is the number of prompt prefixes kept.
	CacheSlots int
}

// EngineLoad is the engine's lagging load report.
type EngineLoad struct {
	Running int   `json:"running"`
	Version int64 `json:"version"`
	Cold    bool  `json:"cold"`
	// ProcessStart is the start of the engine's process in Unix milliseconds.
	ProcessStart int64 `json:"born"`
}

// EngineStats is what the engine saw, for tests and reports.
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
	// Orders are the load orders received, in their order.
	Orders []LoadOrder `json:"orders"`
}

// CompletionRequest is the part of the model servers' request that we send.
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

// LoadOrder asks the engine to load a weight version.
type LoadOrder struct {
	Version  int64     `json:"version"`
	Fence    int64     `json:"fence"`
	NotAfter time.Time `json:"not_after"`
}

// Engine is the model engine stand-in.
type Engine struct {
	settings EngineSettings
	mu       sync.Mutex
	faults   EngineFaults
	version  int64
	reported int64
	fence    int64
	running  int
	coldTill time.Time
	// coldSince is when a warm engine turned cold; zero after a start.
	coldSince time.Time
	downTill  time.Time
	// born is the start of the engine's present process.
	born   time.Time
	life   int
	lastID string
	cache  []string
	seen   EngineStats
	mux    *http.ServeMux
}

// NewEngine returns an engine with these settings.
func NewEngine(settings EngineSettings) *Engine {
	e := &Engine{settings: settings, born: time.Now(), version: settings.Version, reported: settings.Version, mux: http.NewServeMux()}
	e.seen.Requests = map[string]int{}
	e.mux.HandleFunc("POST /v1/completions", e.complete)
	e.mux.HandleFunc("GET /load", e.load)
	e.mux.HandleFunc("POST /orders/load", e.loadVersion)
	e.mux.HandleFunc("POST /control/faults", e.setFaults)
	e.mux.HandleFunc("POST /control/cool", e.cool)
	e.mux.HandleFunc("POST /control/crash", e.crashNow)
	e.mux.HandleFunc("GET /control/seen", e.readSeen)
	return e
}

// ServeHTTP breaks connections off while the engine is down.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/control/") {
		e.mux.ServeHTTP(w, r)
		return
	}
	e.mu.Lock()
	down := e.faults.Down || time.Now().Before(e.downTill)
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
	e.noteRequest(id, r)
	life, hit, ok := e.admit(request)
	if !ok {
		abort()
	}
	var once sync.Once
	leave := func() { once.Do(func() { e.leave(life) }) }
	defer leave()
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
	e.stream(w, r, request, id, life, leave)
}

func (e *Engine) noteRequest(id string, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen.Requests[id]++
	e.seen.Started++
	e.seen.LastStart = time.Now()
	for name, values := range r.Header {
		lower := strings.ToLower(name)
		if strings.Contains(lower, "auth") || strings.Contains(lower, "cookie") || strings.Contains(lower, "key") {
			e.seen.Secrets = append(e.seen.Secrets, name+": "+strings.Join(values, ","))
		}
	}
	if r.URL.RawQuery != "" {
		e.seen.Secrets = append(e.seen.Secrets, "query: "+r.URL.RawQuery)
	}
}

// admit counts the stream; a cold engine with too many streams falls over.
func (e *Engine) admit(request CompletionRequest) (life int, hit, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.coldTill.IsZero() {
		e.coldTill = time.Now().Add(e.settings.ColdTime)
	}
	e.running++
	e.seen.MaxRunning = max(e.seen.MaxRunning, e.running)
	if e.overloaded() {
		e.noteOverload("admission")
		e.crashLocked()
		return 0, false, false
	}
	return e.life, e.touchCache(request.Prompt), true
}

// coldSlowness is how many times longer a token takes in cold start.
const coldSlowness = 2

// coldPatience is how long an engine that turned cold bears the streams that
// it has; one that starts bears no more than its limit at once.
const coldPatience = 3 * time.Second

func (e *Engine) noteOverload(where string) {
	e.seen.ColdOverloads++
	e.seen.LastOverload = fmt.Sprintf("%s at %s with %d streams, cold until %s", where, time.Now().Format(time.StampMilli), e.running, e.coldTill.Format(time.StampMilli))
}

func (e *Engine) overloaded() bool {
	now := time.Now()
	if !now.Before(e.coldTill) || e.running <= e.settings.ColdLimit {
		return false
	}
	return e.coldSince.IsZero() || now.Sub(e.coldSince) > coldPatience
}

const prefixBytes = 64

// touchCache moves the prompt's prefix to the front and tells whether it was there.
func (e *Engine) touchCache(prompt string) bool {
	prefix := prompt[:min(len(prompt), prefixBytes)]
	for i, cached := range e.cache {
		if cached == prefix {
			copy(e.cache[1:i+1], e.cache[:i])
			e.cache[0] = prefix
			e.seen.CacheHits++
			return true
		}
	}
	e.cache = append([]string{prefix}, e.cache...)
	if len(e.cache) > e.settings.CacheSlots {
		e.cache = e.cache[:e.settings.CacheSlots]
	}
	return false
}

func (e *Engine) leave(life int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if life == e.life {
		e.running--
	}
}

func (e *Engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashLocked()
}

func (e *Engine) crashLocked() {
	e.life++
	e.running = 0
	e.cache = nil
	e.coldTill, e.coldSince = time.Time{}, time.Time{}
	e.downTill = time.Now().Add(e.settings.RestartTime)
	e.born = e.downTill
	e.seen.Crashes++
}

func (e *Engine) currentFaults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// step returns the state of one token: whether the stream still lives, its
// version, and how long the token takes.
func (e *Engine) step(life int) (alive bool, version int64, wait time.Duration, faults EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	wait = e.settings.TokenTime
	if e.running > e.settings.Knee {
		wait = wait * time.Duration(e.running) / time.Duration(e.settings.Knee)
	}
	if time.Now().Before(e.coldTill) {
		wait *= coldSlowness
	}
	if e.faults.Slow > 0 {
		wait = time.Duration(float64(wait) * e.faults.Slow)
	}
	if life == e.life && e.overloaded() {
		e.noteOverload("stream")
		e.crashLocked()
	}
	return life == e.life && !e.faults.Down, e.version, wait, e.faults
}

// stream sends the tokens; the stream's place is free before its end mark is
// sent, since the caller may use the place as soon as it has read that.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, request CompletionRequest, id string, life int, leave func()) {
	w.Header().Set("Content-Type", "text/event-stream")
	// Each token is due a token's time after the one before was due, so that late
	// timers do not add up.
	due := time.Now()
	for i := range request.MaxTokens {
		alive, version, wait, faults := e.step(life)
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
		if alive, _, _, _ = e.step(life); !alive {
			abort()
		}
		chunk := Chunk{ID: id, Text: fmt.Sprintf(" w%d", i), Tokens: 1, Version: version}
		if before := e.before(id, faults); before != id {
			chunk.ID, chunk.Text = before, " crossed"
		}
		encoded, _ := json.Marshal(chunk)
		if _, err := fmt.Fprintf(w, "data: %s\n\n", encoded); err != nil {
			abort()
		}
		_ = http.NewResponseController(w).Flush()
	}
	leave()
	if !e.currentFaults().Truncate {
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

// before returns the request whose answer is sent: the own one, or another's if
// answers are crossed.
func (e *Engine) before(id string, faults EngineFaults) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	last := e.lastID
	e.lastID = id
	if faults.CrossAnswers && last != "" {
		return last
	}
	return id
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	load := EngineLoad{Running: e.running, Version: e.reported, Cold: e.coldTill.IsZero() || time.Now().Before(e.coldTill), ProcessStart: e.born.UnixMilli()}
	e.mu.Unlock()
	writeJSON(w, load)
}

func (e *Engine) loadVersion(w http.ResponseWriter, r *http.Request) {
	var order LoadOrder
	if !readJSON(w, r, &order) {
		return
	}
	e.mu.Lock()
	if e.settings.CheckFence && order.Fence < e.fence {
		e.mu.Unlock()
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	e.fence = max(e.fence, order.Fence)
	e.seen.Orders = append(e.seen.Orders, order)
	e.mu.Unlock()
	time.Sleep(e.settings.SwapTime)
	e.mu.Lock()
	if !e.faults.SwapFails {
		e.version = order.Version
	}
	e.reported = e.version
	if e.faults.MisreportSwap {
		e.reported = order.Version
	}
	e.mu.Unlock()
	writeJSON(w, struct{}{})
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults EngineFaults
	if !readJSON(w, r, &faults) {
		return
	}
	e.SetFaults(faults)
	writeJSON(w, struct{}{})
}

func (e *Engine) crashNow(w http.ResponseWriter, _ *http.Request) {
	e.crash()
	writeJSON(w, struct{}{})
}

func (e *Engine) cool(w http.ResponseWriter, _ *http.Request) {
	e.MakeCold()
	writeJSON(w, struct{}{})
}

func (e *Engine) readSeen(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.Stats())
}

// SetFaults switches the engine's faults.
func (e *Engine) SetFaults(faults EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// Stats returns what the engine saw.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	seen := e.seen
	seen.Version = e.version
	seen.Orders = append([]LoadOrder(nil), e.seen.Orders...)
	seen.Requests = map[string]int{}
	for id, count := range e.seen.Requests {
		seen.Requests[id] = count
	}
	return seen
}

// Running counts the streams under way.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// MakeCold turns the engine cold without a warning.
func (e *Engine) MakeCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldTill = time.Now().Add(e.settings.ColdTime)
	e.coldSince = time.Now()
}
