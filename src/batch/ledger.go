package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/memory"
	"sesamepitch/src/rowstore"
)

// The tables of jobs. The partition of all rows of a job is its ID.
const (
	// OpenTable has one row for each job: its Header.
	OpenTable   = "open"
	specTable   = "spec"
	cursorTable = "mark"
	resultTable = "result"
)

const (
	// defaultRowBytes is the maximum size of a row's value if WithRowBytes is not
	// used, and rowFill the fraction of the maximum that is used.
	defaultRowBytes = 65536
	rowFill         = 0.9
	// maxChunkBytes lets several rows fit into one transaction.
	maxChunkBytes = maxTxnBytes / 6
	// maxTxnBytes keeps a base64-encoded transaction below the store's limit of
	// 1 MB.
	maxTxnBytes = 600_000
	// maxTxnEntries is the store's limit; the cursor counts twice, as it is expected
	// and written. maxTxnRows keeps a transaction with MaxCheckpoints within it.
	maxTxnEntries = 100
	cursorEntries = 2
	maxTxnRows    = maxTxnEntries - cursorEntries - MaxCheckpoints
	// retryInterval is the delay before a write is retried.
	retryInterval = 60 * time.Millisecond
	// headerCacheSize is the maximum number of cached headers.
	headerCacheSize = 4096
)

var (
	errForeignJob = errors.New("the job id is in use by another workspace")
	errNoJob      = errors.New("the job does not exist")
)

// Ledger stores jobs and their results.
type Ledger struct {
	clock   sesamepitch.Clock
	store   sesamepitch.Store
	headers *headerCache
	// chunkBytes is the maximum number of bytes of a job or result in one row.
	chunkBytes int
	// memory is reserved for items that are read for callers.
	memory *memory.Share
}

// Option configures a Ledger.
type Option func(*Ledger)

// WithRowBytes sets the maximum size of a row's value in the store.
func WithRowBytes(bytes int) Option {
	return func(l *Ledger) { l.chunkBytes = min(int(rowFill*float64(bytes)), maxChunkBytes) }
}

// WithMemory sets the share of the memory for items that are read for callers; the default
// is defaultMemory.
func WithMemory(share *memory.Share) Option {
	return func(l *Ledger) { l.memory = share }
}

// defaultMemory is the memory for items in bytes where none is set.
const defaultMemory = 64 << 20

// NewLedger returns a ledger that uses the store.
func NewLedger(clock sesamepitch.Clock, store sesamepitch.Store, options ...Option) *Ledger {
	l := &Ledger{clock: clock, store: store, headers: newHeaderCache(headerCacheSize), memory: memory.NewShare("items", defaultMemory)}
	WithRowBytes(defaultRowBytes)(l)
	for _, option := range options {
		option(l)
	}
	return l
}

func openKey(id string) string            { return OpenTable + "/" + id + "/" + id }
func specKey(id string, chunk int) string { return fmt.Sprintf("%s/%s/%05d", specTable, id, chunk) }
func cursorKey(id string) string          { return cursorTable + "/" + id + "/" + id }
func resultKey(id string, position, chunk int) string {
	return fmt.Sprintf("%s/%s/%06d/%03d", resultTable, id, position, chunk)
}

// Accept stores a job atomically; accepting the same job again is not an error.
// Errors are of the kinds KindUnavailable (the job is definitely not accepted),
// KindUnknown (it may be) and KindDenied (the ID belongs to another workspace).
func (l *Ledger) Accept(ctx context.Context, job Job) error {
	return l.AcceptItems(ctx, job.Header, slices.Values(job.Items))
}

// split splits content into row values.
func (l *Ledger) split(content []byte) [][]byte {
	var chunks [][]byte
	for len(content) > l.chunkBytes {
		chunks = append(chunks, content[:l.chunkBytes])
		content = content[l.chunkBytes:]
	}
	return append(chunks, content)
}

// chunksPerTxn returns the number of chunks that fit into one transaction with the
// header.
func (l *Ledger) chunksPerTxn() int { return min(maxTxnBytes/l.chunkBytes, maxTxnRows) }

// storeHeader stores a job's header together with its last rows.
func (l *Ledger) storeHeader(ctx context.Context, header Header, rows []sesamepitch.Write) error {
	txn := sesamepitch.Txn{
		Checks: []sesamepitch.Check{{Key: openKey(header.ID)}},
		Writes: append([]sesamepitch.Write{{Key: openKey(header.ID), Value: rowstore.Encode(header)}}, rows...),
	}
	uncertain := false
	for {
		_, err := l.store.Commit(ctx, txn)
		switch sesamepitch.KindOf(err) {
		case "":
			l.headers.put(header)
			return nil
		case sesamepitch.KindConflict:
			return l.checkOwner(ctx, header)
		case sesamepitch.KindUnknown:
			uncertain = true
		default:
			if !uncertain {
				return &Error{Op: "batch.accept", Kind: sesamepitch.KindUnavailable, Err: err}
			}
		}
		select {
		case <-l.clock.After(retryInterval):
		case <-ctx.Done():
			return &Error{Op: "batch.accept", Kind: sesamepitch.KindUnknown, Err: err}
		}
	}
}

// checkOwner returns an error unless the existing job with this ID belongs to the
// same workspace.
func (l *Ledger) checkOwner(ctx context.Context, job Header) error {
	header, err := l.Header(ctx, job.ID)
	if err != nil {
		return &Error{Op: "batch.accept", Kind: sesamepitch.KindUnknown, Err: err}
	}
	if header.Workspace != job.Workspace {
		return &Error{Op: "batch.accept", Kind: sesamepitch.KindDenied, Err: errForeignJob}
	}
	return nil
}

// Header returns a job's header. It fails with KindNotFound if the job does not
// exist and with KindUnavailable if the table cannot be read.
func (l *Ledger) Header(ctx context.Context, id string) (Header, error) {
	if !validID(id) {
		return Header{}, &Error{Op: "batch.head", Kind: sesamepitch.KindNotFound, Err: errNoJob}
	}
	if header, found := l.headers.get(id); found {
		return header, nil
	}
	header, version, err := l.readHeader(ctx, id)
	if err != nil {
		return header, err
	}
	if version == 0 {
		return header, &Error{Op: "batch.head", Kind: sesamepitch.KindNotFound, Err: errNoJob}
	}
	l.headers.put(header)
	return header, nil
}

func (l *Ledger) readHeader(ctx context.Context, id string) (Header, int64, error) {
	var header Header
	version, err := rowstore.Read(ctx, l.store, openKey(id), &header)
	if err != nil {
		return header, 0, &Error{Op: "batch.head", Kind: sesamepitch.KindUnavailable, Err: err}
	}
	return header, version, nil
}

// End marks a job as ended; ending it again is not an error. KindUnknown means
// that the job may or may not be marked.
func (l *Ledger) End(ctx context.Context, id string) error {
	for {
		err := l.tryEnd(ctx, id)
		switch sesamepitch.KindOf(err) {
		case "", sesamepitch.KindNotFound:
			return err
		}
		select {
		case <-l.clock.After(retryInterval):
		case <-ctx.Done():
			return &Error{Op: "batch.end", Kind: sesamepitch.KindUnknown, Err: err}
		}
	}
}

func (l *Ledger) tryEnd(ctx context.Context, id string) error {
	header, version, err := l.readHeader(ctx, id)
	if err != nil {
		return err
	}
	if version == 0 {
		return &Error{Op: "batch.end", Kind: sesamepitch.KindNotFound, Err: errNoJob}
	}
	if header.Ended {
		return nil
	}
	header.Ended = true
	_, err = l.store.Commit(ctx, sesamepitch.Txn{
		Checks: []sesamepitch.Check{{Key: openKey(id), Version: version}},
		Writes: []sesamepitch.Write{{Key: openKey(id), Value: rowstore.Encode(header)}},
	})
	return err
}

// Job returns a job with its items.
func (l *Ledger) Job(ctx context.Context, header Header) (Job, error) {
	job := Job{Header: header}
	err := l.Items(ctx, header, func(item Item, _ Span) error {
		job.Items = append(job.Items, item)
		return nil
	})
	return job, err
}

// DecodeHeader decodes a row of OpenTable.
func DecodeHeader(row sesamepitch.Row) (Header, error) {
	var header Header
	if err := json.Unmarshal(row.Value, &header); err != nil {
		return header, &Error{Op: "batch.decode " + row.Key, Kind: sesamepitch.KindInvalid, Err: err}
	}
	return header, nil
}
