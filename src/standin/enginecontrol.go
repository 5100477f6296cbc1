package standin

import (
	"net/http"
	"time"
)

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	load := EngineLoad{Running: e.running, Version: e.reportedVersion, Cold: e.coldUntil.IsZero() || time.Now().Before(e.coldUntil), ProcessStart: e.processStart.UnixMilli()}
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
	e.stats.Orders = append(e.stats.Orders, order)
	e.mu.Unlock()
	time.Sleep(e.settings.SwapTime)
	e.mu.Lock()
	if !e.faults.SwapFails {
		e.version = order.Version
	}
	e.reportedVersion = e.version
	if e.faults.MisreportSwap {
		e.reportedVersion = order.Version
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

func (e *Engine) makeCold(w http.ResponseWriter, _ *http.Request) {
	e.MakeCold()
	writeJSON(w, struct{}{})
}

func (e *Engine) readStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.Stats())
}

// SetFaults replaces the engine's faults.
func (e *Engine) SetFaults(faults EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// Stats returns a copy of the engine's statistics.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.Version = e.version
	stats.Orders = append([]LoadOrder(nil), e.stats.Orders...)
	stats.Requests = map[string]int{}
	for id, count := range e.stats.Requests {
		stats.Requests[id] = count
	}
	return stats
}

// Running returns the number of open streams.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// MakeCold makes the engine cold while it runs, without notice.
func (e *Engine) MakeCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldUntil = time.Now().Add(e.settings.ColdTime)
	e.coldSince = time.Now()
}
