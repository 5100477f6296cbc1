package ratelimit

import sesamepitch "sesamepitch/src"

// Error is an error of one of this package's operations.
type Error struct {
	Op   string
	Kind sesamepitch.Kind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return sesamepitch.FormatError(e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrorKind returns the error's kind.
func (e *Error) ErrorKind() sesamepitch.Kind { return e.Kind }
