package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/centre"
	"sesamepitch/src/document"
)

// Confirmation lists the daemons that have applied a change and those that have not.
type Confirmation struct {
	// Version is the document version of the change.
	Version int64 `json:"version,omitempty"`
	// Batch is the number of a batch by which the notice log holds the change, if the
	// change is a notice.
	Batch       int64    `json:"batch,omitempty"`
	Confirmed   []string `json:"confirmed"`
	Unconfirmed []string `json:"unconfirmed"`
	// Local is set if the platform's table could not be reached, so that only this
	// daemon and the peers that it reaches have the change.
	Local bool `json:"local,omitempty"`
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	submitted, err := readDocument(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	base, err := s.readBase(r)
	if err != nil {
		writeError(w, err)
		return
	}
	accepted, err := s.Node.Accept(r.Context(), base, submitted, r.URL.Query().Get("author"))
	if err != nil {
		writeError(w, err)
		return
	}
	s.Log.Info("document accepted", "version", accepted.Version(), "author", r.URL.Query().Get("author"))
	confirmation := s.awaitConfirmation(r.Context(), func(m centre.MemberStatus) bool { return m.Config >= accepted.Version() })
	confirmation.Version = accepted.Version()
	writeJSON(w, http.StatusOK, confirmation)
}

// readBase returns the document version that the request's changes are based on,
// or nil if it names none.
func (s *Server) readBase(r *http.Request) (*document.Config, error) {
	param := r.URL.Query().Get("base")
	if param == "" {
		return nil, nil
	}
	version, err := strconv.ParseInt(param, 10, 64)
	if err != nil || version < 0 {
		return nil, &Error{Op: "operator.apply", Kind: sesamepitch.KindInvalid, Err: fmt.Errorf("base %q is no version", param)}
	}
	return s.Node.Store().ReadVersion(r.Context(), version)
}

// awaitConfirmation waits until every daemon of every data centre has applied a
// change, for at most confirmTimeout.
func (s *Server) awaitConfirmation(ctx context.Context, applied func(centre.MemberStatus) bool) Confirmation {
	deadline := s.Clock.Now().Add(confirmTimeout)
	for {
		confirmation := s.readConfirmation(ctx, applied)
		if len(confirmation.Unconfirmed) == 0 || s.Clock.Now().After(deadline) || ctx.Err() != nil {
			return confirmation
		}
		select {
		case <-s.Clock.After(confirmPollInterval):
		case <-ctx.Done():
		}
	}
}

func (s *Server) readConfirmation(ctx context.Context, applied func(centre.MemberStatus) bool) Confirmation {
	confirmation := Confirmation{Confirmed: []string{}, Unconfirmed: []string{}}
	statuses, err := s.statuses(ctx)
	if err != nil {
		confirmation.Unconfirmed = append(confirmation.Unconfirmed, "all: "+err.Error())
		return confirmation
	}
	for _, status := range statuses {
		fresh := s.Clock.Now().Sub(status.At) < maxStatusAge
		for _, member := range status.Members {
			name := status.Centre + "/" + member.ID
			switch {
			case applied(member):
				confirmation.Confirmed = append(confirmation.Confirmed, name)
			case fresh:
				confirmation.Unconfirmed = append(confirmation.Unconfirmed, name)
			default:
				confirmation.Unconfirmed = append(confirmation.Unconfirmed, name+" (not heard of since "+status.At.Format(time.TimeOnly)+")")
			}
		}
	}
	return confirmation
}

func (s *Server) statuses(ctx context.Context) ([]centre.Status, error) {
	rows, err := s.Table.List(ctx, centre.StatusPrefix)
	if err != nil {
		return nil, err
	}
	statuses := []centre.Status{}
	for _, row := range rows {
		var status centre.Status
		if err := json.Unmarshal(row.Value, &status); err != nil {
			return nil, &Error{Op: "operator.status", Kind: sesamepitch.KindInternal, Err: err}
		}
		statuses = append(statuses, status)
	}
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].Centre < statuses[j].Centre })
	return statuses, nil
}
