// Package call runs calls of services that may not be repeated at most once. A
// row in the platform's table, under the caller's idempotency key, is written
// before the call is sent; a repeat through any daemon finds it.
package call

import (
	"context"
	"errors"
	"net/url"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/platform"

	"github.com/google/uuid"
)

// Ran tells a caller whether its request ran.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Phase is how far a call has come.
type Phase string

// The phases of a call.
const (
	// Started: the call may have been sent.
	Started Phase = "started"
	// Done: the answer is in the row.
	Done Phase = "done"
)

// Record is a call's row.
type Record struct {
	Nonce       string    `json:"nonce"`
	Fingerprint string    `json:"fingerprint"`
	Phase       Phase     `json:"phase"`
	At          time.Time `json:"at"`
	Status      int       `json:"status,omitempty"`
	ContentType string    `json:"content_type,omitempty"`
	Body        []byte    `json:"body,omitempty"`
}

var (
	errReused  = errors.New("the idempotency key was used for another request")
	errUnknown = errors.New("the request was sent before and its outcome is unknown")
)

// Journal keeps the rows of calls that may not be repeated.
type Journal struct {
	clock sesamepitch.Clock
	table sesamepitch.Table
}

// NewJournal returns a journal on the platform's table.
func NewJournal(clock sesamepitch.Clock, table sesamepitch.Table) *Journal {
	return &Journal{clock: clock, table: table}
}

// Intent is a call that this daemon alone may send, once.
type Intent struct {
	key     string
	record  Record
	version int64
}

// rowKey keeps workspaces apart: one cannot name another's calls.
func rowKey(workspace, idempotencyKey string) string {
	return "call/" + url.QueryEscape(workspace) + "/" + sesamepitch.Digest([]byte(idempotencyKey))
}

// Begin writes the intent to run a call. It returns the recorded answer
// instead if the call has run, and an error if the call may not be sent:
// KindUnavailable (not run), KindConflict (the key stands for another request,
// not run) or KindUnknown (sent before, outcome unknown).
func (j *Journal) Begin(ctx context.Context, workspace, idempotencyKey, fingerprint string) (*Intent, *Record, error) {
	intent := &Intent{
		key:    rowKey(workspace, idempotencyKey),
		record: Record{Nonce: uuid.NewString(), Fingerprint: fingerprint, Phase: Started, At: j.clock.Now()},
	}
	revision, err := j.table.Commit(ctx, sesamepitch.Txn{
		Checks: []sesamepitch.Check{{Key: intent.key}},
		Writes: []sesamepitch.Write{{Key: intent.key, Value: platform.Encode(intent.record)}},
	})
	switch sesamepitch.KindOf(err) {
	case "":
		intent.version = revision
		return intent, nil, nil
	case sesamepitch.KindConflict, sesamepitch.KindUnknown:
		return j.readBack(ctx, intent)
	default:
		return nil, nil, &Error{Op: "call.begin", Kind: sesamepitch.KindUnavailable, Err: err}
	}
}

func (j *Journal) readBack(ctx context.Context, intent *Intent) (*Intent, *Record, error) {
	var row Record
	version, err := platform.Read(ctx, j.table, intent.key, &row)
	switch {
	case err != nil || version == 0:
		// The intent may still arrive, but this daemon will not send the call.
		return nil, nil, &Error{Op: "call.begin", Kind: sesamepitch.KindUnavailable, Err: err}
	case row.Nonce == intent.record.Nonce:
		intent.version = version
		return intent, nil, nil
	case row.Fingerprint != intent.record.Fingerprint:
		return nil, nil, &Error{Op: "call.begin", Kind: sesamepitch.KindConflict, Err: errReused}
	case row.Phase == Done:
		return nil, &row, nil
	default:
		return nil, nil, &Error{Op: "call.begin", Kind: sesamepitch.KindUnknown, Err: errUnknown}
	}
}

// Finish records the answer, so that repeats get it.
func (j *Journal) Finish(ctx context.Context, intent *Intent, status int, contentType string, body []byte) error {
	done := intent.record
	done.Phase, done.Status, done.ContentType, done.Body = Done, status, contentType, body
	_, err := j.table.Commit(ctx, sesamepitch.Txn{
		Checks: []sesamepitch.Check{{Key: intent.key, Version: intent.version}},
		Writes: []sesamepitch.Write{{Key: intent.key, Value: platform.Encode(done)}},
	})
	return err
}

// Abandon removes the intent of a call of which no byte was sent.
func (j *Journal) Abandon(ctx context.Context, intent *Intent) error {
	_, err := j.table.Commit(ctx, sesamepitch.Txn{
		Checks: []sesamepitch.Check{{Key: intent.key, Version: intent.version}},
		Writes: []sesamepitch.Write{{Key: intent.key, Delete: true}},
	})
	return err
}
