package rollout

import sesamepitch "sesamepitch/src"

// Error is a failed generation. Ran reports whether any endpoint may have run
// the request.
type Error struct {
	Op   string
	Kind sesamepitch.Kind
	Ran  bool
	Err  error
}

// Error formats operation, kind and cause.
func (e *Error) Error() string { return sesamepitch.FormatError(e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrorKind returns the kind.
func (e *Error) ErrorKind() sesamepitch.Kind { return e.Kind }
