// Package sesamepitch defines the domain types, error kinds and interfaces that
// the packages below it share: clock, platform services, endpoints and peers.
package sesamepitch

import (
	"errors"
	"fmt"
)

// Kind classifies an error by how its receiver can react.
type Kind string

// The kinds of errors.
const (
	// KindInvalid means the input is invalid; a retry cannot succeed.
	KindInvalid Kind = "invalid"
	// KindDenied means the key is missing, unknown or withdrawn.
	KindDenied Kind = "denied"
	// KindNotFound means the named thing does not exist.
	KindNotFound Kind = "not_found"
	// KindConflict means another writer changed the state first.
	KindConflict Kind = "conflict"
	// KindUnavailable means the operation had no effect; a retry may succeed.
	KindUnavailable Kind = "unavailable"
	// KindOverloaded means a limit is reached; retry later.
	KindOverloaded Kind = "overloaded"
	// KindUnknown means the operation may have taken effect; read the state
	// before a retry.
	KindUnknown Kind = "unknown"
	// KindTimeout means the deadline passed before the work started.
	KindTimeout Kind = "timeout"
	// KindCrashed means the endpoint failed while it ran the request.
	KindCrashed Kind = "crashed"
	// KindFailed means the endpoint ran the request and returned an error.
	KindFailed Kind = "failed"
	// KindQuarantined means the content has crashed endpoints before.
	KindQuarantined Kind = "quarantined"
	// KindStale means the weight version is older than allowed.
	KindStale Kind = "stale"
	// KindGone means the requested change history is no longer kept.
	KindGone Kind = "gone"
	// KindInternal means an invariant is violated.
	KindInternal Kind = "internal"
)

// KindedError is an error with a Kind; the Error type of each package
// implements it.
type KindedError interface {
	error
	ErrorKind() Kind
}

// KindOf returns the kind of the first KindedError in err's chain, or
// KindInternal if there is none. A nil error has the empty kind.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	var kinded KindedError
	if errors.As(err, &kinded) {
		return kinded.ErrorKind()
	}
	return KindInternal
}

// Error is a failed operation of this package.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error formats operation, kind and cause.
func (e *Error) Error() string { return FormatError(e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrorKind returns the kind.
func (e *Error) ErrorKind() Kind { return e.Kind }

// FormatError returns the common text of the packages' errors.
func FormatError(op string, kind Kind, err error) string {
	if err == nil {
		return fmt.Sprintf("%s: %s", op, kind)
	}
	return fmt.Sprintf("%s: %s: %v", op, kind, err)
}
