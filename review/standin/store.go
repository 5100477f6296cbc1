package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, by the users' pages.
const (
	rowBytes       = 65536
	callEntries    = 100
	callBytes      = 1_000_000
	partsPerAnswer = 1000
	rowsPerAnswer  = 500
	storeDelay     = 4 * time.Millisecond
)

// store plays the platform's store and its cloud API in memory. It follows the
// users' pages and keeps their limits.
type store struct {
	address string
	server  *http.Server

	mu      sync.Mutex
	rows    map[rowKey]storedRow
	history []wireRow
	version int64
	changed chan struct{}
	began   time.Time
	// refused are the calls that the store refused for their size.
	refused []string
}

// rowKey names a row.
type rowKey struct{ table, part, key string }

// storedRow is a row's value and version.
type storedRow struct {
	value   []byte
	version int64
}

// wireRow is a row as it is sent.
type wireRow struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   int64  `json:"row_version"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), rows: map[rowKey]storedRow{}, changed: make(chan struct{}), began: time.Now()}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// put writes a row, as the operator and the workers do.
func (s *store) put(table, key string, value any) {
	content, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(rowKey{table, "", key}, content)
	s.wake()
}

// remove deletes a row, as the platform does with the entry of a worker.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	delete(s.rows, rowKey{table, "", key})
	s.history = append(s.history, wireRow{table, "", key, nil, s.version, true})
	s.wake()
}

func (s *store) write(key rowKey, value []byte) {
	s.rows[key] = storedRow{value, s.version}
	s.history = append(s.history, wireRow{key.table, key.part, key.key, value, s.version, false})
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// value returns a row's value.
func (s *store) value(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{table, part, key}].value
}

// refusedCalls returns the calls that the store refused for their size.
func (s *store) refusedCalls() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.refused)
}

// ServeHTTP serves the store's calls and the calls of duties.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if r.URL.Path != "/v1/rows-feed" {
		time.Sleep(storeDelay)
	}
	switch r.URL.Path {
	case "/v1/rows-tx":
		s.transaction(w, r)
	case "/v1/rows-get":
		limit, _ := strconv.Atoi(query.Get("limit"))
		s.get(w, query.Get("table"), query.Get("part"), query.Get("from"), query.Get("to"), limit)
	case "/v1/rows-parts":
		s.parts(w, query.Get("table"), query.Get("after"))
	case "/v1/rows-feed":
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		s.feed(w, r, query.Get("table"), after, time.Duration(wait)*time.Millisecond)
	case "/usage", "/scale":
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) answer(w http.ResponseWriter, status int, fields map[string]any) {
	fields["row_version"] = s.version
	fields["now_ms"] = time.Since(s.began).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(fields)
}

// transaction carries out a transaction, or refuses one beyond the limits.
func (s *store) transaction(w http.ResponseWriter, r *http.Request) {
	var wire struct{ Expected, Writes, Remove []wireRow }
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, callBytes)).Decode(&wire); err != nil {
		s.refuse(w, fmt.Sprintf("a call of %d bytes: %v", r.ContentLength, err))
		return
	}
	parts := map[string]bool{}
	for _, row := range slices.Concat(wire.Expected, wire.Writes, wire.Remove) {
		parts[row.Part] = true
		if len(row.Value) > rowBytes {
			s.refuse(w, fmt.Sprintf("row %s/%s/%s of %d bytes", row.Table, row.Part, row.Key, len(row.Value)))
			return
		}
	}
	if entries := len(wire.Expected) + len(wire.Writes) + len(wire.Remove); entries > callEntries || len(parts) > 1 {
		s.refuse(w, fmt.Sprintf("%d entries in %d parts", entries, len(parts)))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range wire.Expected {
		if s.rows[rowKey{row.Table, row.Part, row.Key}].version != row.Version {
			s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": []wireRow{}})
			return
		}
	}
	s.version++
	for _, row := range wire.Writes {
		s.write(rowKey{row.Table, row.Part, row.Key}, row.Value)
	}
	for _, row := range wire.Remove {
		delete(s.rows, rowKey{row.Table, row.Part, row.Key})
		s.history = append(s.history, wireRow{row.Table, row.Part, row.Key, nil, s.version, true})
	}
	s.wake()
	s.answer(w, http.StatusOK, map[string]any{})
}

func (s *store) refuse(w http.ResponseWriter, why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = append(s.refused, why)
	w.WriteHeader(http.StatusBadRequest)
}

func (s *store) get(w http.ResponseWriter, table, part, from, to string, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit <= 0 || limit > rowsPerAnswer {
		limit = rowsPerAnswer
	}
	var rows []wireRow
	for key, row := range s.rows {
		if key.table == table && key.part == part && key.key >= from && (to == "" || key.key < to) {
			rows = append(rows, wireRow{table, part, key.key, row.value, row.version, false})
		}
	}
	slices.SortFunc(rows, func(a, b wireRow) int { return strings.Compare(a.Key, b.Key) })
	bytes, count := 0, 0
	for count < len(rows) && count < limit && (count == 0 || bytes+len(rows[count].Value)*4/3 < callBytes) {
		bytes += len(rows[count].Value) * 4 / 3
		count++
	}
	s.answer(w, http.StatusOK, map[string]any{"rows": slices.Concat([]wireRow{}, rows[:count]), "has_more": count < len(rows)})
}

// parts lists a table's parts, a limited number in each answer.
func (s *store) parts(w http.ResponseWriter, table, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := map[string]bool{}
	for key := range s.rows {
		if key.table == table && (after == "" || key.part > after) {
			names[key.part] = true
		}
	}
	list := []string{}
	for name := range names {
		list = append(list, name)
	}
	slices.Sort(list)
	s.answer(w, http.StatusOK, map[string]any{"parts": list[:min(len(list), partsPerAnswer)]})
}

// feed answers with the changes of a table as soon as there is one.
func (s *store) feed(w http.ResponseWriter, r *http.Request, table string, after int64, wait time.Duration) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		rows := []wireRow{}
		first, _ := slices.BinarySearchFunc(s.history, after+1, func(row wireRow, v int64) int { return int(row.Version - v) })
		for _, row := range s.history[first:] {
			if row.Table == table {
				rows = append(rows, row)
			}
		}
		changed := s.changed
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			s.mu.Lock()
			s.answer(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		case <-r.Context().Done():
			return
		}
	}
}
