// Package operator serves the HTTP API for operators: reading and changing the
// document, withdrawing keys, taking data centres out of service and back in, and
// the status of all daemons. It also has a client of this API.
package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/centre"
	"sesamepitch/src/document"
	"sesamepitch/src/notice"
	"sesamepitch/src/pool"
	"sesamepitch/src/usage"

	"github.com/go-logr/logr"
)

const (
	maxBodyBytes        = 8 << 20
	confirmPollInterval = 100 * time.Millisecond
	// confirmTimeout is how long a request waits for all daemons to apply a change.
	confirmTimeout = 4 * time.Second
	// statusTimeout bounds reading the data centres' statuses from the platform's
	// table.
	statusTimeout = 600 * time.Millisecond
	// maxStatusAge is the age from which a data centre's status is outdated, so
	// that its daemons count as not heard of.
	maxStatusAge = 25 * time.Second
)

// Dependencies are the components that a Server uses.
type Dependencies struct {
	Clock   sesamepitch.Clock
	Log     logr.Logger
	Node    *centre.Node
	Holder  *document.Holder
	Notices *notice.Set
	Table   sesamepitch.Table
	Owner   *pool.Owner
	Usage   *usage.Reporter
	Metrics http.Handler
	// TokenHash is the hash of the operators' token. If it is empty, requests need
	// no token.
	TokenHash string
}

// Server is the HTTP handler for operators.
type Server struct {
	Dependencies
	mux *http.ServeMux
}

// New returns a Server.
func New(deps Dependencies) *Server {
	s := &Server{Dependencies: deps, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /document", s.getDocument)
	s.mux.HandleFunc("POST /check", s.check)
	s.mux.HandleFunc("POST /diff", s.diff)
	s.mux.HandleFunc("POST /apply", s.apply)
	s.mux.HandleFunc("POST /withdraw", s.withdraw)
	s.mux.HandleFunc("POST /centre", s.setCentre)
	s.mux.HandleFunc("GET /status", s.status)
	s.mux.HandleFunc("GET /usage", s.usage)
	s.mux.Handle("GET /metrics", deps.Metrics)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.authorized(r) {
		writeError(w, &Error{Op: "operator.authorize", Kind: sesamepitch.KindDenied, Err: errors.New("the operators' token is missing or wrong")})
		return
	}
	s.mux.ServeHTTP(w, r)
}

func (s *Server) authorized(r *http.Request) bool {
	if s.TokenHash == "" {
		return true
	}
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return subtle.ConstantTimeCompare([]byte(sesamepitch.KeyHash(token)), []byte(s.TokenHash)) == 1
}

// Failure is the JSON body of an error response.
type Failure struct {
	Operation string            `json:"operation"`
	Kind      sesamepitch.Kind  `json:"kind"`
	Message   string            `json:"message"`
	Faults    []document.Fault  `json:"faults,omitempty"`
	Changes   []document.Change `json:"changes,omitempty"`
}

func writeError(w http.ResponseWriter, err error) {
	failure := Failure{Operation: "operator", Kind: sesamepitch.KindOf(err), Message: err.Error()}
	var faults document.Faults
	if errors.As(err, &faults) {
		failure.Faults = faults
	}
	status := http.StatusInternalServerError
	switch failure.Kind {
	case sesamepitch.KindInvalid:
		status = http.StatusBadRequest
	case sesamepitch.KindDenied:
		status = http.StatusUnauthorized
	case sesamepitch.KindNotFound:
		status = http.StatusNotFound
	case sesamepitch.KindConflict:
		status = http.StatusConflict
	case sesamepitch.KindUnavailable, sesamepitch.KindUnknown:
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, failure)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// VersionedDocument is a document with its version.
type VersionedDocument struct {
	Version  int64             `json:"version"`
	Digest   string            `json:"digest"`
	Document document.Document `json:"document"`
}

func (s *Server) getDocument(w http.ResponseWriter, _ *http.Request) {
	current := s.Holder.Current()
	writeJSON(w, http.StatusOK, VersionedDocument{Version: current.Version(), Digest: current.Digest(), Document: current.Document()})
}

func readDocument(w http.ResponseWriter, r *http.Request) (document.Document, error) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return document.Document{}, &Error{Op: "operator.read", Kind: sesamepitch.KindInvalid, Err: err}
	}
	return document.Parse(content)
}

func (s *Server) check(w http.ResponseWriter, r *http.Request) {
	if _, err := readDocument(w, r); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// Differences are the changes from the version in force to a submitted document.
type Differences struct {
	Version int64             `json:"version"`
	Changes []document.Change `json:"changes"`
}

func (s *Server) diff(w http.ResponseWriter, r *http.Request) {
	submitted, err := readDocument(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	current := s.Holder.Current()
	writeJSON(w, http.StatusOK, Differences{Version: current.Version(), Changes: document.Diff(current.Document(), submitted)})
}

// Withdrawal identifies a key by its name in the document or by its hash.
type Withdrawal struct {
	Name string `json:"name,omitempty"`
	Hash string `json:"hash,omitempty"`
}

func (s *Server) withdraw(w http.ResponseWriter, r *http.Request) {
	var in Withdrawal
	if err := readJSON(w, r, &in); err != nil {
		writeError(w, err)
		return
	}
	hash, err := s.keyHash(in)
	if err != nil {
		writeError(w, err)
		return
	}
	s.publish(r.Context(), w, s.Notices.NewWithdrawal(hash, s.Node.Self().ID))
}

func (s *Server) keyHash(in Withdrawal) (string, error) {
	if in.Hash != "" {
		return in.Hash, nil
	}
	for _, key := range s.Holder.Current().Document().Keys {
		if key.Name == in.Name {
			return key.Hash, nil
		}
	}
	return "", &Error{Op: "operator.withdraw", Kind: sesamepitch.KindNotFound, Err: fmt.Errorf("no key %q in the document; give its hash", in.Name)}
}

// publish distributes a notice and responds with the daemons that have it.
func (s *Server) publish(ctx context.Context, w http.ResponseWriter, n notice.Notice) {
	batch := s.Node.Publish(ctx, n)
	s.Log.Info("notice published", "kind", n.Kind, "name", abbreviate(n.Name), "value", n.Value, "batch", batch)
	if batch == 0 {
		writeJSON(w, http.StatusOK, Confirmation{Local: true, Confirmed: []string{s.Node.Centre() + "/" + s.Node.Self().ID}, Unconfirmed: []string{"all others: the platform's table is out of reach"}})
		return
	}
	confirmation := s.awaitConfirmation(ctx, func(m centre.MemberStatus) bool { return m.Batches >= batch })
	confirmation.Batch = batch
	writeJSON(w, http.StatusOK, confirmation)
}

func abbreviate(name string) string { return name[:min(len(name), 12)] }

// CentreState is a request to take a data centre out of service or back in.
type CentreState struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

func (s *Server) setCentre(w http.ResponseWriter, r *http.Request) {
	var in CentreState
	if err := readJSON(w, r, &in); err != nil {
		writeError(w, err)
		return
	}
	if in.State != notice.Out && in.State != notice.In {
		writeError(w, &Error{Op: "operator.centre", Kind: sesamepitch.KindInvalid, Err: fmt.Errorf("state must be %s or %s", notice.Out, notice.In)})
		return
	}
	if !s.hasCentre(in.Name) {
		writeError(w, &Error{Op: "operator.centre", Kind: sesamepitch.KindNotFound, Err: fmt.Errorf("no data centre %q in the document", in.Name)})
		return
	}
	s.publish(r.Context(), w, s.Notices.NewCentreChange(in.Name, in.State, s.Node.Self().ID))
}

func (s *Server) hasCentre(name string) bool {
	for _, c := range s.Holder.Current().Document().DataCentres {
		if c.Name == name {
			return true
		}
	}
	return false
}

func readJSON(w http.ResponseWriter, r *http.Request, out any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		return &Error{Op: "operator.read", Kind: sesamepitch.KindInvalid, Err: err}
	}
	return nil
}

// Status is the state of one daemon, and the statuses of all data centres if the
// table can be reached.
type Status struct {
	Instance    string            `json:"instance"`
	Centre      string            `json:"centre"`
	Leader      bool              `json:"leader"`
	Config      int64             `json:"config"`
	ContactAge  string            `json:"contact_age"`
	CentresOut  []string          `json:"centres_out"`
	Cells       []pool.CellStatus `json:"cells"`
	View        *centre.View      `json:"view"`
	DataCentres []centre.Status   `json:"data_centres"`
	Platform    string            `json:"platform"`
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	syncedAt, _ := s.Node.Contact()
	status := Status{
		Instance: s.Node.Self().ID, Centre: s.Node.Centre(), Leader: s.Node.IsLeader(),
		Config: s.Holder.Current().Version(), ContactAge: s.Clock.Now().Sub(syncedAt).Round(time.Millisecond).String(),
		CentresOut: []string{}, Cells: s.Owner.Status(), View: s.Node.View(), Platform: "reachable",
	}
	for _, c := range s.Holder.Current().Document().DataCentres {
		if s.Notices.IsOut(c.Name) {
			status.CentresOut = append(status.CentresOut, c.Name)
		}
	}
	var err error
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	if status.DataCentres, err = s.statuses(ctx); err != nil {
		status.Platform = err.Error()
	}
	writeJSON(w, http.StatusOK, status)
}

func (s *Server) usage(w http.ResponseWriter, r *http.Request) {
	list, err := s.Usage.Status(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, list)
}
