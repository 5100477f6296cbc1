// Package call runs calls of services that may not be repeated at most once. A
// row in the platform's table, under the caller's idempotency key, is written
// before the call is sent; a repeat through any daemon finds it.
package call

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/rowstore"

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
	errNoRow   = errors.New("the call's row could not be written")
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
	// places are all rows where the same call may be.
	places []string
}

// KeyRetention is the least time for which an idempotency key is remembered. Rows are
// kept in buckets of this length and removed bucket by bucket.
const KeyRetention = 24 * time.Hour

const (
	rowPrefix = "call/"
	// sliceLength is how many letters of a row's digest name its part of the bucket.
	sliceLength = 2
)

// bucketOf numbers the bucket of a time.
func bucketOf(at time.Time) int64 { return at.UnixMilli() / KeyRetention.Milliseconds() }

func bucketPrefix(bucket int64) string { return fmt.Sprintf("%s%08d/", rowPrefix, bucket) }

// rowKey keeps workspaces apart: one cannot name another's calls.
func rowKey(bucket int64, workspace, idempotencyKey string) string {
	digest := sesamepitch.Digest([]byte(idempotencyKey))
	return bucketPrefix(bucket) + digest[:sliceLength] + "/" + url.QueryEscape(workspace) + "/" + digest
}

// rowKeys are the rows where a call may be: of this bucket, of the one before,
// and of the next one, which a daemon whose clock is ahead may have begun.
func rowKeys(now time.Time, workspace, idempotencyKey string) []string {
	bucket := bucketOf(now)
	var keys []string
	for _, b := range []int64{bucket, bucket - 1, bucket + 1} {
		keys = append(keys, rowKey(b, workspace, idempotencyKey))
	}
	return keys
}

// Begin writes the intent to run a call. It returns the recorded answer
// instead if the call has run, and an error if the call may not be sent:
// KindUnavailable (not run), KindConflict (the key stands for another request,
// not run) or KindUnknown (sent before, outcome unknown).
func (j *Journal) Begin(ctx context.Context, workspace, idempotencyKey, fingerprint string) (*Intent, *Record, error) {
	places := rowKeys(j.clock.Now(), workspace, idempotencyKey)
	intent := &Intent{
		key: places[0], places: places,
		record: Record{Nonce: uuid.NewString(), Fingerprint: fingerprint, Phase: Started, At: j.clock.Now()},
	}
	txn := sesamepitch.Txn{Writes: []sesamepitch.Write{{Key: intent.key, Value: rowstore.Encode(intent.record)}}}
	for _, key := range places {
		txn.Checks = append(txn.Checks, sesamepitch.Check{Key: key})
	}
	revision, err := j.table.Commit(ctx, txn)
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

// readBack looks for the row that kept the intent from being written, or for
// the intent itself.
func (j *Journal) readBack(ctx context.Context, intent *Intent) (*Intent, *Record, error) {
	for _, key := range intent.places {
		var row Record
		version, err := rowstore.Read(ctx, j.table, key, &row)
		if err != nil {
			return nil, nil, &Error{Op: "call.begin", Kind: sesamepitch.KindUnavailable, Err: err}
		}
		if version != 0 {
			return settle(intent, row, version)
		}
	}
	// The intent may still arrive, but this daemon will not send the call.
	return nil, nil, &Error{Op: "call.begin", Kind: sesamepitch.KindUnavailable, Err: errNoRow}
}

// settle tells what the row that was found means for the intent.
func settle(intent *Intent, row Record, version int64) (*Intent, *Record, error) {
	switch {
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
		Writes: []sesamepitch.Write{{Key: intent.key, Value: rowstore.Encode(done)}},
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
