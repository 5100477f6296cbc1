// Package sesamepitch holds the domain types and the interfaces that the
// packages below it implement: clock, platform services and shared constants.
package sesamepitch

import (
	"errors"
	"fmt"
)

// Kind classifies an error by what its receiver may do next.
type Kind string

// The kinds of errors.
const (
	// KindInvalid means the input is wrong; a retry cannot help.
	KindInvalid Kind = "invalid"
	// KindDenied means the key is missing, unknown or withdrawn.
	KindDenied Kind = "denied"
	// KindNotFound means the named thing does not exist.
	KindNotFound Kind = "not_found"
	// KindConflict means another writer came first.
	KindConflict Kind = "conflict"
	// KindUnavailable means nothing happened; a retry may help.
	KindUnavailable Kind = "unavailable"
	// KindOverloaded means a limit is reached; retry later.
	KindOverloaded Kind = "overloaded"
	// KindUnknown means the outcome is unknown; read back before a retry.
	KindUnknown Kind = "unknown"
	// KindTimeout means the deadline passed before the work started.
	KindTimeout Kind = "timeout"
	// KindCrashed means the endpoint broke off during the request.
	KindCrashed Kind = "crashed"
	// KindFailed means the endpoint ran the request and answered with a failure.
	KindFailed Kind = "failed"
	// KindQuarantined means the content crashed endpoints before.
	KindQuarantined Kind = "quarantined"
	// KindStale means the weights are older than allowed.
	KindStale Kind = "stale"
	// KindGone means that the history asked for is no longer kept.
	KindGone Kind = "gone"
	// KindInternal means an invariant failed.
	KindInternal Kind = "internal"
)

// KindedError is an error that knows its kind; each package's Error is one.
type KindedError interface {
	error
	ErrorKind() Kind
}

// KindOf returns the kind of the first Kinded error in err's chain, or
// KindInternal where there is none. A nil error has the empty kind.
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

// Error is the root package's error.
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

// FormatError is the common text form of the packages' errors.
func FormatError(op string, kind Kind, err error) string {
	if err == nil {
		return fmt.Sprintf("%s: %s", op, kind)
	}
	return fmt.Sprintf("%s: %s: %v", op, kind, err)
}
