// Package call ensures that a call to a service whose calls are not repeatable is sent at
// most once: before the call is sent, a row is written to the platform's table under the
// caller's idempotency key, and a repeat through any daemon finds that row.
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

// Ran states whether a caller's request ran.
type Ran string

// The values of Ran.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Phase is the progress of a call.
type Phase string

// The phases of a call.
const (
	// Started means that the call may have been sent.
	Started Phase = "started"
	// Done means that the answer is in the row.
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
	errReused         = errors.New("the idempotency key was used for another request")
	errOutcomeUnknown = errors.New("the request was sent before and its outcome is unknown")
	errNotWritten     = errors.New("the call's row could not be written")
)

// Journal reads and writes the rows of calls that are not repeatable.
type Journal struct {
	clock sesamepitch.Clock
	table sesamepitch.Table
}

// NewJournal returns a journal on the platform's table.
func NewJournal(clock sesamepitch.Clock, table sesamepitch.Table) *Journal {
	return &Journal{clock: clock, table: table}
}

// Intent is a written row that entitles this daemon alone to send a call, once.
type Intent struct {
	key     string
	record  Record
	version int64
	// candidateKeys are the keys under which the call's row may be.
	candidateKeys []string
}

// KeyRetention is the least time for which a call's row is kept. Rows are in buckets of
// this length and are removed bucket by bucket.
const KeyRetention = 24 * time.Hour

const (
	rowPrefix = "call/"
	// sliceDigits is the number of hex digits of a row's digest that name its slice of the
	// bucket. Expired buckets are removed slice by slice.
	sliceDigits = 2
)

// bucketOf returns the number of a time's bucket.
func bucketOf(at time.Time) int64 { return at.UnixMilli() / KeyRetention.Milliseconds() }

func bucketPrefix(bucket int64) string { return fmt.Sprintf("%s%08d/", rowPrefix, bucket) }

// rowKey returns the key of a call's row. It includes the workspace, so that no workspace
// can name another's calls.
func rowKey(bucket int64, workspace, idempotencyKey string) string {
	digest := sesamepitch.Digest([]byte(idempotencyKey))
	return bucketPrefix(bucket) + digest[:sliceDigits] + "/" + url.QueryEscape(workspace) + "/" + digest
}

// candidateKeys returns the keys under which a call's row may be: in the current bucket,
// which is first, the one before, and the next one, which a daemon whose clock is ahead
// may have used.
func candidateKeys(now time.Time, workspace, idempotencyKey string) []string {
	bucket := bucketOf(now)
	var keys []string
	for _, b := range []int64{bucket, bucket - 1, bucket + 1} {
		keys = append(keys, rowKey(b, workspace, idempotencyKey))
	}
	return keys
}

// Begin writes the intent to run a call. If the call has already run it returns the
// recorded answer instead. It returns an error if the call may not be sent:
// KindUnavailable (not run), KindConflict (the key was used for another request, not run)
// or KindUnknown (sent before, outcome unknown).
func (j *Journal) Begin(ctx context.Context, workspace, idempotencyKey, fingerprint string) (*Intent, *Record, error) {
	keys := candidateKeys(j.clock.Now(), workspace, idempotencyKey)
	intent := &Intent{
		key: keys[0], candidateKeys: keys,
		record: Record{Nonce: uuid.NewString(), Fingerprint: fingerprint, Phase: Started, At: j.clock.Now()},
	}
	txn := sesamepitch.Txn{Writes: []sesamepitch.Write{{Key: intent.key, Value: rowstore.Encode(intent.record)}}}
	for _, key := range keys {
		txn.Checks = append(txn.Checks, sesamepitch.Check{Key: key})
	}
	revision, err := j.table.Commit(ctx, txn)
	switch sesamepitch.KindOf(err) {
	case "":
		intent.version = revision
		return intent, nil, nil
	case sesamepitch.KindConflict, sesamepitch.KindUnknown:
		return j.readExisting(ctx, intent)
	default:
		return nil, nil, &Error{Op: "call.begin", Kind: sesamepitch.KindUnavailable, Err: err}
	}
}

// readExisting reads the row that kept the intent from being written, or the intent's own
// row if its write succeeded but the answer was lost.
func (j *Journal) readExisting(ctx context.Context, intent *Intent) (*Intent, *Record, error) {
	for _, key := range intent.candidateKeys {
		var row Record
		version, err := rowstore.Read(ctx, j.table, key, &row)
		if err != nil {
			return nil, nil, &Error{Op: "call.begin", Kind: sesamepitch.KindUnavailable, Err: err}
		}
		if version != 0 {
			return resolve(intent, row, version)
		}
	}
	// The write may still take effect, but this daemon does not send the call.
	return nil, nil, &Error{Op: "call.begin", Kind: sesamepitch.KindUnavailable, Err: errNotWritten}
}

// resolve returns Begin's results for the row that was found.
func resolve(intent *Intent, row Record, version int64) (*Intent, *Record, error) {
	switch {
	case row.Nonce == intent.record.Nonce:
		intent.version = version
		return intent, nil, nil
	case row.Fingerprint != intent.record.Fingerprint:
		return nil, nil, &Error{Op: "call.begin", Kind: sesamepitch.KindConflict, Err: errReused}
	case row.Phase == Done:
		return nil, &row, nil
	default:
		return nil, nil, &Error{Op: "call.begin", Kind: sesamepitch.KindUnknown, Err: errOutcomeUnknown}
	}
}

// Finish records the answer for repeats of the call.
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
