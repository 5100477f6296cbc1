// Package entry answers callers: trainers, interactive users and programs that
// use plain services. It admits each request by its key, and refuses with a
// typed error that says whether the request ran.
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
	// contactLimit is how old the last finished attempt to reach the platform
	// or a peer may be; an older one means that this process stood still.
	contactLimit = 3 * time.Second
	contactWait  = 2 * time.Second
	contactPoll  = 20 * time.Millisecond
	watchEvery   = 250 * time.Millisecond
	maxKeyLength = 512 // bytes
)

var (
	errNoKey     = errors.New("give one Authorization header: Bearer KEY")
	errBadKey    = errors.New("the key is unknown or withdrawn")
	errWithdrawn = errors.New("the key was withdrawn while the request was open")
	errCutOff    = errors.New("this data centre has been out of contact for longer than the workspace allows")
	errNoConfig  = errors.New("no configuration is in force yet")
)

// Contact tells how fresh this daemon's knowledge is.
type Contact interface {
	// Contact returns when this daemon last knew all that the platform's
	// table held, and when it last finished trying to find out.
	Contact() (fresh, attempt time.Time)
}

// Caller is an admitted request's workspace and key.
type Caller struct {
	workspace document.Workspace
	hash      string
	secret    string
}

// Workspace returns the caller's workspace.
func (c Caller) Workspace() document.Workspace { return c.workspace }

// Secret returns the caller's key; it must reach no endpoint, log or table.
func (c Caller) Secret() string { return c.secret }

// Admission admits requests by their keys and ends those whose key is
// withdrawn while they are open.
type Admission struct {
	clock   sesamepitch.Clock
	log     logr.Logger
	holder  *document.Holder
	notices *notice.Set
	contact Contact

	mu   sync.Mutex
	open map[string]map[*openRequest]bool
}

// openRequest is an admitted request under way.
type openRequest struct {
	cancel context.CancelCauseFunc
}

// NewAdmission returns the admission of a daemon.
func NewAdmission(clock sesamepitch.Clock, log logr.Logger, holder *document.Holder, notices *notice.Set, contact Contact) *Admission {
	return &Admission{clock: clock, log: log, holder: holder, notices: notices, contact: contact, open: map[string]map[*openRequest]bool{}}
}

// Workers returns the admission's supervised task.
func (a *Admission) Workers() []supervisor.Worker {
	return []supervisor.Worker{supervisor.NewWorker("key-watch", a.watch)}
}

// Admit finds the workspace of the request's key.
func (a *Admission) Admit(r *http.Request) (Caller, error) {
	secret, err := bearer(r)
	if err != nil {
		return Caller{}, err
	}
	if a.holder.Current().Version() == 0 {
		return Caller{}, refusal(sesamepitch.KindUnavailable, errNoConfig)
	}
	if err := a.awaitContact(r.Context()); err != nil {
		return Caller{}, err
	}
	caller := Caller{hash: sesamepitch.KeyHash(secret), secret: secret}
	if err := a.check(&caller); err != nil {
		return Caller{}, err
	}
	return caller, nil
}

// bearer takes the key out of the one Authorization header.
func bearer(r *http.Request) (string, error) {
	values := r.Header.Values("Authorization")
	if len(values) != 1 {
		return "", refusal(sesamepitch.KindDenied, errNoKey)
	}
	scheme, key, found := strings.Cut(values[0], " ")
	if !found || !strings.EqualFold(scheme, "Bearer") || key == "" || len(key) > maxKeyLength || strings.ContainsAny(key, " ,\t") {
		return "", refusal(sesamepitch.KindDenied, errNoKey)
	}
	return key, nil
}

// check looks the key up in the configuration and notices in force.
func (a *Admission) check(caller *Caller) error {
	config := a.holder.Current()
	key, found := config.KeyByHash(caller.hash)
	if !found || a.notices.IsWithdrawn(caller.hash) {
		return refusal(sesamepitch.KindDenied, errBadKey)
	}
	workspace, found := config.Workspace(key.Workspace)
	if !found {
		return refusal(sesamepitch.KindDenied, errBadKey)
	}
	if caller.workspace.Name != "" && caller.workspace.Name != workspace.Name {
		return refusal(sesamepitch.KindDenied, errBadKey)
	}
	caller.workspace = workspace
	fresh, _ := a.contact.Contact()
	if a.clock.Now().Sub(fresh) > workspace.GracePeriod()+contactLimit {
		return refusal(sesamepitch.KindUnavailable, errCutOff)
	}
	return nil
}

// awaitContact waits, after this process stood still, until it has tried anew
// to learn of withdrawals. If the attempt fails the workspace's grace decides.
func (a *Admission) awaitContact(ctx context.Context) error {
	limit := a.clock.Now().Add(contactWait)
	for {
		_, attempt := a.contact.Contact()
		now := a.clock.Now()
		if now.Sub(attempt) <= contactLimit {
			return nil
		}
		if now.After(limit) {
			return refusal(sesamepitch.KindUnavailable, errCutOff)
		}
		select {
		case <-a.clock.After(contactPoll):
		case <-ctx.Done():
			return refusal(sesamepitch.KindTimeout, ctx.Err())
		}
	}
}

// HasSynced tells whether this process has ever known all that the platform's
// table held.
func (a *Admission) HasSynced() bool {
	fresh, _ := a.contact.Contact()
	return !fresh.IsZero()
}

// Watch returns a context that ends when the caller's key stops working; done
// must be called at the request's end.
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

// watch checks the keys of open requests whenever notices come in, and
// regularly for changes of the configuration and of the contact.
func (a *Admission) watch(ctx context.Context) error {
	changed := a.notices.Watch()
	for {
		a.checkOpen()
		select {
		case <-changed:
		case <-a.clock.After(watchEvery):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (a *Admission) checkOpen() {
	a.mu.Lock()
	hashes := make([]string, 0, len(a.open))
	for hash := range a.open {
		hashes = append(hashes, hash)
	}
	a.mu.Unlock()
	for _, hash := range hashes {
		err := a.check(&Caller{hash: hash})
		if err == nil {
			continue
		}
		a.end(hash, err)
	}
}

func (a *Admission) end(hash string, err error) {
	cause := error(refusal(sesamepitch.KindDenied, errWithdrawn))
	if sesamepitch.KindOf(err) == sesamepitch.KindUnavailable {
		cause = err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.log.Info("open requests ended", "reason", cause.Error(), "key", hash[:12], "requests", len(a.open[hash]))
	for request := range a.open[hash] {
		request.cancel(cause)
	}
}

func refusal(kind sesamepitch.Kind, err error) *Error {
	return &Error{Op: "entry.admit", Kind: kind, Err: err}
}
