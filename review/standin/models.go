package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["models"] = lostWorker }

// Figures of the case "models".
const (
	otherModel = "rada7437b5"
	modelSlots = 8
	loadTime   = 900 * time.Millisecond
	// modelItems is the size of the step: one group.
	modelItems = 4
	// newestVersion is named last; the step allows the one before it and newer.
	newestVersion = 3
	versionGap    = 4 * time.Second
	loseAfter     = 1500 * time.Millisecond
	silentTime    = 3600 * time.Millisecond
	modelsCalm    = 8 * time.Second
)

// modelWorker is a worker that holds several models and carries out orders.
type modelWorker struct {
	b       *bench
	id      string
	zone    string
	address string
	born    int64
	engines *engineSet
	server  *http.Server

	mu       sync.Mutex
	versions map[string]int
	orders   int
	busy     bool
}

func (b *bench) startModelWorker(id, zone string, engines *engineSet) (*modelWorker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &modelWorker{
		b: b, id: id, zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(), engines: engines,
		versions: map[string]int{model: 1, otherModel: 1},
	}
	w.server = &http.Server{ReadHeaderTimeout: time.Minute, Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	w.register()
	return w, nil
}

// register writes the worker's entry.
func (w *modelWorker) register() {
	w.b.store.put("servers", w.id, map[string]any{
		"service": "workshop", "address": w.address, "zone": w.zone, "version": "v1", "slots": modelSlots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1, "born": w.born, "stage": "both", "models": w.models(),
	})
}

func (w *modelWorker) models() []any {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := []any{}
	for _, name := range []string{model, otherModel} {
		list = append(list, map[string]any{"name": name, "version": w.versions[name], "adapters": []string{}})
	}
	return list
}

// ServeHTTP serves orders, reports and items.
func (w *modelWorker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		out.Header().Set("Instance-Id", w.id)
	case "/v1/report":
		list := w.models()
		w.mu.Lock()
		defer w.mu.Unlock()
		out.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(out).Encode(map[string]any{"stage": "both", "models": list, "busy": w.busy, "sequence": w.orders, "waiting": 0, "running": 0, "born": w.born})
	case "/v1/order":
		w.order(out, r)
	default:
		_, _ = io.ReadAll(r.Body)
		w.mu.Lock()
		version := w.versions[r.Header.Get("Model")]
		w.mu.Unlock()
		w.engines.generateVersion(out, r, w.id, version)
	}
}

func (w *modelWorker) order(out http.ResponseWriter, r *http.Request) {
	var order struct {
		Model    string
		Version  int
		Expected *int
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.busy || order.Expected != nil && *order.Expected != w.orders:
		out.WriteHeader(http.StatusConflict)
	case w.versions[order.Model] >= order.Version:
		out.WriteHeader(http.StatusOK)
	default:
		w.orders++
		w.busy = true
		w.b.record("%s accepts an order for version %d of %s", w.id, order.Version, order.Model)
		time.AfterFunc(loadTime, func() {
			w.mu.Lock()
			w.versions[order.Model] = order.Version
			w.busy = false
			w.mu.Unlock()
			w.register()
		})
		out.WriteHeader(http.StatusAccepted)
	}
}

// lose ends the worker for good: its channels are reset, and its entry is removed
// after three heartbeats of silence.
func (w *modelWorker) lose() {
	w.b.record("%s is lost for good", w.id)
	_ = w.server.Close()
	time.AfterFunc(silentTime, func() { w.b.store.remove("servers", w.id) })
}

// lostWorker loses one of two workers for good while a step of the model that it
// serves is under way. The other worker is idle and has an older version of the
// model.
func lostWorker(b *bench) (verdict, error) {
	b.models = []string{model, otherModel}
	b.putConfig(route{
		"name": "r-train", "path_prefix": "/train/", "kind": "rollout", "timeout_ms": 10000, "target_latency_ms": 400,
		"priority": 1, "service": "workshop", "max_attempts": 3, "queue_ttl_s": 40, "result_deadline_ms": 7500,
	})
	engines := &engineSet{gap: aloneGap, events: func(string) int { return aloneEvents }}
	workers := map[string]*modelWorker{}
	for n := range 2 {
		w, err := b.startModelWorker(fmt.Sprintf("i-lm-%d", n+1), zones[n], engines)
		if err != nil {
			return verdict{}, err
		}
		workers[w.id] = w
	}
	if err := b.addInstances(3); err != nil {
		return verdict{}, err
	}
	if err := b.waitDriver(); err != nil {
		return verdict{}, err
	}
	for version := 2; version <= newestVersion; version++ {
		for _, name := range b.models {
			b.store.put("op", "version/"+name, map[string]any{"model": name, "version": version})
		}
		b.record("version %d of both models is named", version)
		time.Sleep(versionGap)
	}
	time.Sleep(modelsCalm)
	for _, w := range workers {
		w.mu.Lock()
		b.record("%s has the versions %v", w.id, maps.Clone(w.versions))
		w.mu.Unlock()
	}
	return b.stepOnLostWorker(engines, workers)
}

// stepOnLostWorker sends a step, loses the worker that has its items, and judges
// them.
func (b *bench) stepOnLostWorker(engines *engineSet, workers map[string]*modelWorker) (verdict, error) {
	at, sentAt := b.instances[0], time.Now()
	status, _ := call(http.MethodPost, at.frontend, "/train/"+lastJob, lastJob, jobOf(lastJob, modelItems, otherModel, newestVersion-1))
	if status != http.StatusAccepted {
		return verdict{}, fmt.Errorf("the step was not accepted: status %d", status)
	}
	time.Sleep(loseAfter)
	calmAt := sentAt
	if b.trouble {
		name := engines.workerOf(fmt.Sprintf("%s-%02d", lastJob, modelItems-1))
		if workers[name] == nil {
			return verdict{}, fmt.Errorf("the step's items are at no worker")
		}
		workers[name].lose()
		calmAt = time.Now().Add(touchTime)
	}
	listed := b.follow(at, lastJob, sentAt, modelItems)
	now := time.Now()
	b.record("%d of %d items are listed %.1f s after the step was sent", listed, modelItems, now.Sub(sentAt).Seconds())
	return b.judgeItems(engines, modelItems, listed, calmAt, now), nil
}
