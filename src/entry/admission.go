// Package entry serves the HTTP API for callers: trainers, interactive users and
// programs that call plain services. It authenticates each request by its API
// key. Every error response has a kind and states whether the request ran.
package entry

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/document"
	"sesamepitch/src/notice"
	"sesamepitch/src/supervisor"

	"github.com/go-logr/logr"
)

const (
	// maxContactAge is the maximum age of the last finished attempt to reach the
	// platform or a peer. An older attempt means that this process was paused.
	maxContactAge       = 3 * time.Second
	contactTimeout      = 2 * time.Second
	contactPollInterval = 20 * time.Millisecond
	keyCheckInterval    = 250 * time.Millisecond
	maxKeyLength        = 512 // bytes
)

var (
	errNoKey     = errors.New("give one Authorization header: Bearer KEY")
	errBadKey    = errors.New("the key is unknown or withdrawn")
	errWithdrawn = errors.New("the key was withdrawn while the request was open")
	errCutOff    = errors.New("this data centre has been out of contact for longer than the workspace allows")
	errNoConfig  = errors.New("no configuration is in force yet")
)

// Contact reports how fresh this daemon's copy of the platform's table is.
type Contact interface {
	// Contact returns when this daemon was last in sync with the platform's
	// table, and when its last attempt to synchronize finished.
	Contact() (fresh, attempt time.Time)
}

// Caller is the workspace and key of an admitted request.
type Caller struct {
	workspace document.Workspace
	hash      string
	secret    string
}

// Workspace returns the caller's workspace.
func (c Caller) Workspace() document.Workspace { return c.workspace }

// Secret returns the caller's key. It must never be sent to an endpoint, logged
// or stored in the table.
func (c Caller) Secret() string { return c.secret }

// Admission authenticates requests by their keys, and cancels open requests
// whose key is withdrawn.
type Admission struct {
	clock   sesamepitch.Clock
	log     logr.Logger
	holder  *document.Holder
	notices *notice.Set
	contact Contact

	mu   sync.Mutex
	open map[string]map[*openRequest]bool
}

// openRequest is an admitted request that has not ended.
type openRequest struct {
	cancel context.CancelCauseFunc
}

// NewAdmission returns the Admission of a daemon.
func NewAdmission(clock sesamepitch.Clock, log logr.Logger, holder *document.Holder, notices *notice.Set, contact Contact) *Admission {
	return &Admission{clock: clock, log: log, holder: holder, notices: notices, contact: contact, open: map[string]map[*openRequest]bool{}}
}

// Workers returns the background task that watches the keys of open requests.
func (a *Admission) Workers() []supervisor.Worker {
	return []supervisor.Worker{supervisor.NewWorker("key-watch", a.watch)}
}

// Admit authenticates a request and returns its caller.
func (a *Admission) Admit(r *http.Request) (Caller, error) {
	secret, err := bearer(r)
	if err != nil {
		return Caller{}, err
	}
	if a.holder.Current().Version() == 0 {
		return Caller{}, admissionError(sesamepitch.KindUnavailable, errNoConfig)
	}
	if err := a.awaitContact(r.Context()); err != nil {
		return Caller{}, err
	}
	caller := Caller{hash: sesamepitch.KeyHash(secret), secret: secret}
	if err := a.authorize(&caller); err != nil {
		return Caller{}, err
	}
	return caller, nil
}

// bearer returns the key in the request's single Authorization header.
func bearer(r *http.Request) (string, error) {
	values := r.Header.Values("Authorization")
	if len(values) != 1 {
		return "", admissionError(sesamepitch.KindDenied, errNoKey)
	}
	scheme, key, found := strings.Cut(values[0], " ")
	if !found || !strings.EqualFold(scheme, "Bearer") || key == "" || len(key) > maxKeyLength || strings.ContainsAny(key, " ,\t") {
		return "", admissionError(sesamepitch.KindDenied, errNoKey)
	}
	return key, nil
}

// authorize sets the caller's workspace from the configuration in force. It
// fails if the key is unknown, withdrawn, or belongs to another workspace than
// the one already set, or if the daemon was out of contact for too long.
func (a *Admission) authorize(caller *Caller) error {
	config := a.holder.Current()
	key, found := config.KeyByHash(caller.hash)
	if !found || a.notices.IsWithdrawn(caller.hash) {
		return admissionError(sesamepitch.KindDenied, errBadKey)
	}
	workspace, found := config.Workspace(key.Workspace)
	if !found {
		return admissionError(sesamepitch.KindDenied, errBadKey)
	}
	if caller.workspace.Name != "" && caller.workspace.Name != workspace.Name {
		return admissionError(sesamepitch.KindDenied, errBadKey)
	}
	caller.workspace = workspace
	fresh, _ := a.contact.Contact()
	if a.clock.Now().Sub(fresh) > workspace.GracePeriod()+maxContactAge {
		return admissionError(sesamepitch.KindUnavailable, errCutOff)
	}
	return nil
}

// awaitContact waits, after a pause of this process, for a new attempt to read
// withdrawals. If that attempt fails, the workspace's grace period applies.
func (a *Admission) awaitContact(ctx context.Context) error {
	deadline := a.clock.Now().Add(contactTimeout)
	for {
		_, attempt := a.contact.Contact()
		now := a.clock.Now()
		if now.Sub(attempt) <= maxContactAge {
			return nil
		}
		if now.After(deadline) {
			return admissionError(sesamepitch.KindUnavailable, errCutOff)
		}
		select {
		case <-a.clock.After(contactPollInterval):
		case <-ctx.Done():
			return admissionError(sesamepitch.KindTimeout, ctx.Err())
		}
	}
}

// HasSynced reports whether this process has ever been in sync with the
// platform's table.
func (a *Admission) HasSynced() bool {
	fresh, _ := a.contact.Contact()
	return !fresh.IsZero()
}

// Watch returns a context that is cancelled when the caller's key is no longer
// accepted. The caller must call done when the request ends.
func (a *Admission) Watch(ctx context.Context, caller Caller) (watched context.Context, done func()) {
	watched, cancel := context.WithCancelCause(ctx)
	request := &openRequest{cancel: cancel}
	a.mu.Lock()
	if a.open[caller.hash] == nil {
		a.open[caller.hash] = map[*openRequest]bool{}
	}
	a.open[caller.hash][request] = true
	a.mu.Unlock()
	return watched, func() {
		cancel(nil)
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.open[caller.hash], request)
		if len(a.open[caller.hash]) == 0 {
			delete(a.open, caller.hash)
		}
	}
}

// watch checks the keys of open requests whenever a notice arrives, and every
// keyCheckInterval, because the configuration and the contact change without one.
func (a *Admission) watch(ctx context.Context) error {
	changed := a.notices.Watch()
	for {
		a.checkOpenRequests()
		select {
		case <-changed:
		case <-a.clock.After(keyCheckInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (a *Admission) checkOpenRequests() {
	a.mu.Lock()
	hashes := make([]string, 0, len(a.open))
	for hash := range a.open {
		hashes = append(hashes, hash)
	}
	a.mu.Unlock()
	for _, hash := range hashes {
		err := a.authorize(&Caller{hash: hash})
		if err == nil {
			continue
		}
		a.cancelRequests(hash, err)
	}
}

func (a *Admission) cancelRequests(hash string, err error) {
	cause := error(admissionError(sesamepitch.KindDenied, errWithdrawn))
	if sesamepitch.KindOf(err) == sesamepitch.KindUnavailable {
		cause = err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.log.Info("open requests cancelled", "reason", cause.Error(), "key", hash[:12], "requests", len(a.open[hash]))
	for request := range a.open[hash] {
		request.cancel(cause)
	}
}

func admissionError(kind sesamepitch.Kind, err error) *Error {
	return &Error{Op: "entry.admit", Kind: kind, Err: err}
}
