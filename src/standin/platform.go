package standin

import (
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"
)

// PlatformFaults are the faults that can be injected into the platform.
type PlatformFaults struct {
	// Down refuses every call with status 503.
	Down bool `json:"down"`
	// Hang blocks every call until the caller cancels it.
	Hang bool `json:"hang"`
	// SlowMillis delays every call.
	SlowMillis int `json:"slow_millis"`
	// LoseAnswers is the share (0 to 1) of writes that are carried out without a
	// response.
	LoseAnswers float64 `json:"lose_answers"`
	// StaleList keeps serving the last live list.
	StaleList bool `json:"stale_list"`
	// IgnoreFence accepts orders and reports with old fencing numbers.
	IgnoreFence bool `json:"ignore_fence"`
}

// ReceivedOrder is an order that the platform received, with its result.
type ReceivedOrder struct {
	sesamepitch.EndpointOrder
	At     time.Time `json:"at"`
	Result string    `json:"result"`
}

// ReceivedReport is a usage report that the platform received, with its result.
type ReceivedReport struct {
	sesamepitch.UsageReport
	At     time.Time `json:"at"`
	Result string    `json:"result"`
}

// PlatformJournal records the calls that the platform received, for tests and
// reports. Bytes counts the request bodies.
type PlatformJournal struct {
	Orders  []ReceivedOrder  `json:"orders"`
	Reports []ReceivedReport `json:"reports"`
	Reads   int64            `json:"reads"`
	Writes  int64            `json:"writes"`
	Bytes   int64            `json:"bytes"`
}

// Platform is the stand-in for the platform: table, objects, orders, usage reports
// and live list. The list served last is kept in listed for StaleList.
type Platform struct {
	mu       sync.Mutex
	faults   PlatformFaults
	revision int64
	rows     map[string]sesamepitch.Row
	objects  map[string][]byte
	orders   map[string]sesamepitch.EndpointOrder
	reports  map[string]sesamepitch.UsageReport
	fences   map[string]int64
	live     map[string]sesamepitch.Liveness
	listed   []sesamepitch.Liveness
	journal  PlatformJournal
	mux      *http.ServeMux
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	p := &Platform{
		rows:    map[string]sesamepitch.Row{},
		objects: map[string][]byte{},
		orders:  map[string]sesamepitch.EndpointOrder{},
		reports: map[string]sesamepitch.UsageReport{},
		fences:  map[string]int64{},
		live:    map[string]sesamepitch.Liveness{},
		mux:     http.NewServeMux(),
	}
	p.mux.HandleFunc("GET /table/row", p.get)
	p.mux.HandleFunc("GET /table/rows", p.list)
	p.mux.HandleFunc("POST /table/commit", p.commit)
	p.mux.HandleFunc("PUT /objects/{name}", p.putObject)
	p.mux.HandleFunc("GET /objects/{name}", p.getObject)
	p.mux.HandleFunc("DELETE /objects/{name}", p.deleteObject)
	p.mux.HandleFunc("POST /orders", p.order)
	p.mux.HandleFunc("GET /orders/{id}", p.ordered)
	p.mux.HandleFunc("POST /usage", p.report)
	p.mux.HandleFunc("GET /usage/{id}", p.reported)
	p.mux.HandleFunc("GET /live", p.liveList)
	p.mux.HandleFunc("POST /control/faults", p.setFaults)
	p.mux.HandleFunc("POST /control/live", p.setLive)
	p.mux.HandleFunc("GET /control/journal", p.readJournal)
	return p
}

// ServeHTTP applies the faults and serves the request. Control routes have no
// faults.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/control/") {
		p.mux.ServeHTTP(w, r)
		return
	}
	p.mu.Lock()
	faults := p.faults
	if r.Method == http.MethodGet {
		p.journal.Reads++
	} else {
		p.journal.Writes++
	}
	p.journal.Bytes += max(r.ContentLength, 0)
	p.mu.Unlock()
	if faults.Hang {
		<-r.Context().Done()
		abort()
	}
	time.Sleep(time.Duration(faults.SlowMillis) * time.Millisecond)
	if faults.Down {
		http.Error(w, "platform is down", http.StatusServiceUnavailable)
		return
	}
	if r.Method != http.MethodGet && rand.Float64() < faults.LoseAnswers {
		p.mux.ServeHTTP(discardWriter{header: http.Header{}}, r)
		abort()
	}
	p.mux.ServeHTTP(w, r)
}

// discardWriter is a ResponseWriter that drops the response, as if it was lost on
// the network.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	row := p.rows[r.URL.Query().Get("key")]
	p.mu.Unlock()
	writeJSON(w, row)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	rows := []sesamepitch.Row{}
	p.mu.Lock()
	for key, row := range p.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	p.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	writeJSON(w, rows)
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var txn sesamepitch.Txn
	if !readJSON(w, r, &txn) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, check := range txn.Checks {
		if p.rows[check.Key].Version != check.Version {
			http.Error(w, check.Key, http.StatusConflict)
			return
		}
	}
	p.revision++
	for _, write := range txn.Writes {
		if write.Delete {
			delete(p.rows, write.Key)
			continue
		}
		p.rows[write.Key] = sesamepitch.Row{Key: write.Key, Value: write.Value, Version: p.revision}
	}
	writeJSON(w, map[string]int64{"revision": p.revision})
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	var content []byte
	if !readJSON(w, r, &content) {
		return
	}
	p.mu.Lock()
	p.objects[r.PathValue("name")] = content
	p.mu.Unlock()
	writeJSON(w, struct{}{})
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	content, found := p.objects[r.PathValue("name")]
	p.mu.Unlock()
	if !found {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, content)
}

func (p *Platform) deleteObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	delete(p.objects, r.PathValue("name"))
	p.mu.Unlock()
	writeJSON(w, struct{}{})
}

func (p *Platform) order(w http.ResponseWriter, r *http.Request) {
	var order sesamepitch.EndpointOrder
	if !readJSON(w, r, &order) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	result := p.acceptOrder(order)
	p.journal.Orders = append(p.journal.Orders, ReceivedOrder{EndpointOrder: order, At: time.Now(), Result: result})
	if result == ResultRefused {
		http.Error(w, "old fencing number or late order", http.StatusConflict)
		return
	}
	writeJSON(w, struct{}{})
}

// Results of orders and reports in the journal.
const (
	ResultAccepted = "taken"
	ResultRepeated = "repeated"
	ResultRefused  = "refused"
)

func (p *Platform) acceptOrder(order sesamepitch.EndpointOrder) string {
	if _, repeated := p.orders[order.ID]; repeated {
		return ResultRepeated
	}
	fence := "orders/" + order.Centre
	if !p.faults.IgnoreFence && (order.Fence < p.fences[fence] || time.Now().After(order.NotAfter)) {
		return ResultRefused
	}
	p.fences[fence] = max(order.Fence, p.fences[fence])
	p.orders[order.ID] = order
	switch order.Action {
	case sesamepitch.ActionStart:
		p.live[order.Endpoint] = sesamepitch.Liveness{Name: order.Endpoint, Centre: order.Centre, State: sesamepitch.StateLive}
	case sesamepitch.ActionStop:
		delete(p.live, order.Endpoint)
	}
	return ResultAccepted
}

func (p *Platform) ordered(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	order, found := p.orders[r.PathValue("id")]
	p.mu.Unlock()
	if !found {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, order)
}

func (p *Platform) report(w http.ResponseWriter, r *http.Request) {
	var report sesamepitch.UsageReport
	if !readJSON(w, r, &report) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	result := ResultAccepted
	if _, repeated := p.reports[report.ID]; repeated {
		result = ResultRepeated
	}
	if !p.faults.IgnoreFence && report.Fence < p.fences["usage"] {
		result = ResultRefused
	}
	p.journal.Reports = append(p.journal.Reports, ReceivedReport{UsageReport: report, At: time.Now(), Result: result})
	if result == ResultRefused {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	p.fences["usage"] = max(report.Fence, p.fences["usage"])
	if result == ResultAccepted {
		p.reports[report.ID] = report
	}
	writeJSON(w, struct{}{})
}

func (p *Platform) reported(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	report, found := p.reports[r.PathValue("id")]
	p.mu.Unlock()
	if !found {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, report)
}

func (p *Platform) liveList(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	if !p.faults.StaleList || p.listed == nil {
		p.listed = []sesamepitch.Liveness{}
		for _, liveness := range p.live {
			p.listed = append(p.listed, liveness)
		}
		sort.Slice(p.listed, func(i, j int) bool { return p.listed[i].Name < p.listed[j].Name })
	}
	listed := p.listed
	p.mu.Unlock()
	writeJSON(w, listed)
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults PlatformFaults
	if !readJSON(w, r, &faults) {
		return
	}
	p.SetFaults(faults)
	writeJSON(w, struct{}{})
}

// SetFaults replaces the platform's faults.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

// SetLive sets an endpoint's entry in the live list; an empty state removes it.
func (p *Platform) SetLive(liveness sesamepitch.Liveness) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if liveness.State == "" {
		delete(p.live, liveness.Name)
		return
	}
	p.live[liveness.Name] = liveness
}

// Journal returns a copy of the platform's journal.
func (p *Platform) Journal() PlatformJournal {
	p.mu.Lock()
	defer p.mu.Unlock()
	journal := p.journal
	journal.Orders = append([]ReceivedOrder{}, p.journal.Orders...)
	journal.Reports = append([]ReceivedReport{}, p.journal.Reports...)
	return journal
}

func (p *Platform) setLive(w http.ResponseWriter, r *http.Request) {
	var liveness sesamepitch.Liveness
	if !readJSON(w, r, &liveness) {
		return
	}
	p.SetLive(liveness)
	writeJSON(w, struct{}{})
}

func (p *Platform) readJournal(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	writeJSON(w, p.Journal())
}
