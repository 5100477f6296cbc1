package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   int64  `json:"row_version"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// limits of the store, as the users' pages state them.
const (
	maxEntries   = 100
	maxRowBytes  = 65536
	maxPageBytes = 1 << 20
	maxPageRows  = 500
)

// store is a stand-in of the platform's metadata store and of its cloud API.
type store struct {
	began time.Time

	mu      sync.Mutex
	rows    map[string]row
	history []row
	version int64
	changed chan struct{}
	note    func(path, holder, fence string)
}

func newStore(note func(path, holder, fence string)) *store {
	return &store{began: time.Now(), rows: map[string]row{}, changed: make(chan struct{}), note: note}
}

// put writes a row as the operator or a server does.
func (s *store) put(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: []byte(value), Version: s.version})
	s.announce()
}

// drop removes a row as the operator or the platform does.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Version: s.version, Tombstone: true})
	s.announce()
}

// write applies a change. The caller holds s.mu.
func (s *store) write(r row) {
	if _, found := s.rows[r.id()]; !found && r.Tombstone {
		return
	}
	s.rows[r.id()] = r
	if r.Tombstone {
		delete(s.rows, r.id())
	}
	s.history = append(s.history, r)
}

func (s *store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the store's calls and the cloud API.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch r.URL.Path {
	case "/v1/rows-tx":
		s.transaction(w, r)
	case "/v1/rows-get":
		s.get(w, query.Get("table"), query.Get("part"), query.Get("from"), query.Get("to"), query.Get("limit"))
	case "/v1/rows-parts":
		s.parts(w, query.Get("table"), query.Get("after"))
	case "/v1/rows-feed":
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("wait_ms"))
		s.feed(w, r, query.Get("table"), after, time.Duration(wait)*time.Millisecond)
	case "/usage", "/scale":
		s.note(r.URL.Path, r.Header.Get("Duty-Holder"), r.Header.Get("Fencing-Token"))
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) answer(w http.ResponseWriter, status int, fields map[string]any) {
	fields["now_ms"] = time.Since(s.began).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(fields)
}

func (s *store) transaction(w http.ResponseWriter, r *http.Request) {
	var txn struct{ Expected, Writes, Remove []row }
	body := http.MaxBytesReader(w, r.Body, maxPageBytes)
	if err := json.NewDecoder(body).Decode(&txn); err != nil || len(txn.Expected)+len(txn.Writes)+len(txn.Remove) > maxEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	parts := map[string]bool{}
	for _, entry := range slices.Concat(txn.Expected, txn.Writes, txn.Remove) {
		parts[entry.Part] = true
		if len(entry.Value) > maxRowBytes {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if len(parts) > 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, entry := range slices.Concat(txn.Writes, txn.Remove) {
		if entry.Table == "op" || entry.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.commit(w, txn.Expected, txn.Writes, txn.Remove)
}

func (s *store) commit(w http.ResponseWriter, expected, writes, remove []row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, check := range expected {
		if s.rows[check.id()].Version != check.Version {
			var current []row
			for _, each := range expected {
				if found, present := s.rows[each.id()]; present {
					current = append(current, found)
				}
			}
			s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "row_version": s.version})
			return
		}
	}
	s.version++
	for _, entry := range writes {
		entry.Version = s.version
		s.write(entry)
	}
	for _, entry := range remove {
		s.write(row{Table: entry.Table, Part: entry.Part, Key: entry.Key, Version: s.version, Tombstone: true})
	}
	s.announce()
	s.answer(w, http.StatusOK, map[string]any{"row_version": s.version})
}

func (s *store) get(w http.ResponseWriter, table, part, from, to, limitText string) {
	limit, err := strconv.Atoi(limitText)
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for _, r := range s.rows {
		if r.Table == table && r.Part == part && r.Key >= from && (to == "" || r.Key < to) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	size, more := 0, false
	for i, r := range found {
		size += len(r.Value) * 4 / 3
		if i >= limit || i > 0 && size > maxPageBytes {
			found, more = found[:i], true
			break
		}
	}
	s.answer(w, http.StatusOK, map[string]any{"rows": found, "has_more": more, "row_version": s.version})
}

func (s *store) parts(w http.ResponseWriter, table, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := map[string]bool{}
	for _, r := range s.rows {
		if r.Table == table && r.Part >= after && (after == "" || r.Part != after) {
			names[r.Part] = true
		}
	}
	parts := []string{}
	for name := range names {
		parts = append(parts, name)
	}
	slices.Sort(parts)
	more := len(parts) > 1000
	s.answer(w, http.StatusOK, map[string]any{"parts": parts[:min(len(parts), 1000)], "has_more": more, "row_version": s.version})
}

// feed answers with the changes of a table after a version, as soon as there is one.
func (s *store) feed(w http.ResponseWriter, r *http.Request, table string, after int64, wait time.Duration) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		changed, version := s.changed, s.version
		newest := map[string]row{}
		for _, change := range s.history {
			if change.Table == table && change.Version > after {
				newest[change.id()] = change
			}
		}
		s.mu.Unlock()
		if len(newest) > 0 {
			rows := []row{}
			for _, change := range newest {
				rows = append(rows, change)
			}
			slices.SortFunc(rows, func(a, b row) int { return int(a.Version - b.Version) })
			s.answer(w, http.StatusOK, map[string]any{"rows": rows, "row_version": version})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			s.answer(w, http.StatusOK, map[string]any{"rows": []row{}, "row_version": version})
			return
		case <-r.Context().Done():
			return
		}
	}
}
