package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/rowstore"
)

// The tables of jobs; all rows of a job have its ID as their part.
const (
	// OpenTable has one row for each job: its Head.
	OpenTable   = "open"
	specTable   = "spec"
	markTable   = "mark"
	resultTable = "result"
)

const (
	// rowBytes is the largest value of a row where nothing else is set, and
	// rowShare the part of it that is used.
	rowBytes = 65536
	rowShare = 0.9
	// mostChunk leaves room for several rows in a transaction.
	mostChunk = txnBytes / 6
	// txnBytes keeps a transaction, in base64, below the store's limit of 1 MB.
	txnBytes = 600_000
	// txnRows keeps a transaction, with its mark and ProgressRows, within the
	// store's limit of 100 entries.
	txnRows = 100 - 1 - MaxCheckpoints
	// settlePause is the time between tries of a write whose outcome is unknown.
	settlePause = 60 * time.Millisecond
	// knownHeads bounds the cache of heads.
	knownHeads = 4096
)

var (
	errTaken  = errors.New("the id belongs to another workspace's job")
	errAbsent = errors.New("there is no such job")
)

// Ledger keeps jobs and their results.
type Ledger struct {
	clock sesamepitch.Clock
	store sesamepitch.Store
	heads *headCache
	// chunkBytes is how much of a job or result goes into one row.
	chunkBytes int
}

// Option changes a Ledger.
type Option func(*Ledger)

// WithRowBytes sets the largest value of a row of the store.
func WithRowBytes(bytes int) Option {
	return func(l *Ledger) { l.chunkBytes = min(int(rowShare*float64(bytes)), mostChunk) }
}

// NewLedger returns a ledger in the store.
func NewLedger(clock sesamepitch.Clock, store sesamepitch.Store, options ...Option) *Ledger {
	l := &Ledger{clock: clock, store: store, heads: newHeadCache(knownHeads)}
	WithRowBytes(rowBytes)(l)
	for _, option := range options {
		option(l)
	}
	return l
}

func openKey(id string) string            { return OpenTable + "/" + id + "/" + id }
func specKey(id string, chunk int) string { return fmt.Sprintf("%s/%s/%05d", specTable, id, chunk) }
func markKey(id string) string            { return markTable + "/" + id + "/" + id }
func resultKey(id string, position, chunk int) string {
	return fmt.Sprintf("%s/%s/%06d/%03d", resultTable, id, position, chunk)
}

// Accept stores a job once and whole; storing it again is no error. Errors are
// of the kinds KindUnavailable (the job is surely not accepted), KindUnknown
// and KindDenied (the ID belongs to another workspace).
func (l *Ledger) Accept(ctx context.Context, job Job) error {
	chunks := l.split(rowstore.Encode(job.Items))
	job.Chunks = len(chunks)
	job.Total = len(job.Items)
	if err := l.storeChunks(ctx, &job, chunks); err != nil {
		return err
	}
	return l.storeHead(ctx, job, chunks)
}

// split cuts content into the values of rows.
func (l *Ledger) split(content []byte) [][]byte {
	var chunks [][]byte
	for len(content) > l.chunkBytes {
		chunks = append(chunks, content[:l.chunkBytes])
		content = content[l.chunkBytes:]
	}
	return append(chunks, content)
}

// chunksPerTxn is how many chunks fit into one transaction with the head.
func (l *Ledger) chunksPerTxn() int { return min(txnBytes/l.chunkBytes, txnRows) }

// lastChunks returns the number of chunks before those that fit into one
// transaction with the head.
func (l *Ledger) lastChunks(chunks [][]byte) int {
	return max(0, len(chunks)-l.chunksPerTxn())
}

// storeChunks stores the chunks that do not fit beside the head. They mean
// nothing without it.
func (l *Ledger) storeChunks(ctx context.Context, job *Job, chunks [][]byte) error {
	before := l.lastChunks(chunks)
	for start := 0; start < before; start += l.chunksPerTxn() {
		end := min(start+l.chunksPerTxn(), before)
		txn := sesamepitch.Txn{Checks: []sesamepitch.Check{{Key: openKey(job.ID)}}}
		for i := start; i < end; i++ {
			txn.Writes = append(txn.Writes, sesamepitch.Write{Key: specKey(job.ID, i), Value: chunks[i]})
		}
		_, err := l.store.Commit(ctx, txn)
		switch sesamepitch.KindOf(err) {
		case "":
		case sesamepitch.KindConflict:
			return nil // storeHead finds out whose job it is
		default:
			return &Error{Op: "batch.accept", Kind: sesamepitch.KindUnavailable, Err: err}
		}
	}
	return nil
}

func (l *Ledger) storeHead(ctx context.Context, job Job, chunks [][]byte) error {
	txn := sesamepitch.Txn{
		Checks: []sesamepitch.Check{{Key: openKey(job.ID)}},
		Writes: []sesamepitch.Write{{Key: openKey(job.ID), Value: rowstore.Encode(job.Header)}},
	}
	for i := l.lastChunks(chunks); i < len(chunks); i++ {
		txn.Writes = append(txn.Writes, sesamepitch.Write{Key: specKey(job.ID, i), Value: chunks[i]})
	}
	unsettled := false
	for {
		_, err := l.store.Commit(ctx, txn)
		switch sesamepitch.KindOf(err) {
		case "":
			l.heads.put(job.Header)
			return nil
		case sesamepitch.KindConflict:
			return l.sameJob(ctx, job)
		case sesamepitch.KindUnknown:
			unsettled = true
		default:
			if !unsettled {
				return &Error{Op: "batch.accept", Kind: sesamepitch.KindUnavailable, Err: err}
			}
		}
		select {
		case <-l.clock.After(settlePause):
		case <-ctx.Done():
			return &Error{Op: "batch.accept", Kind: sesamepitch.KindUnknown, Err: err}
		}
	}
}

// sameJob finds out whether the job that holds the ID is this one.
func (l *Ledger) sameJob(ctx context.Context, job Job) error {
	head, err := l.Header(ctx, job.ID)
	if err != nil {
		return &Error{Op: "batch.accept", Kind: sesamepitch.KindUnknown, Err: err}
	}
	if head.Workspace != job.Workspace {
		return &Error{Op: "batch.accept", Kind: sesamepitch.KindDenied, Err: errTaken}
	}
	return nil
}

// Header returns a job's head; KindNotFound if there is no such job for sure,
// KindUnavailable if the table cannot be asked.
func (l *Ledger) Header(ctx context.Context, id string) (Header, error) {
	if !validID(id) {
		return Header{}, &Error{Op: "batch.head", Kind: sesamepitch.KindNotFound, Err: errAbsent}
	}
	if head, known := l.heads.get(id); known {
		return head, nil
	}
	head, version, err := l.readHead(ctx, id)
	if err != nil {
		return head, err
	}
	if version == 0 {
		return head, &Error{Op: "batch.head", Kind: sesamepitch.KindNotFound, Err: errAbsent}
	}
	l.heads.put(head)
	return head, nil
}

func (l *Ledger) readHead(ctx context.Context, id string) (Header, int64, error) {
	var head Header
	version, err := rowstore.Read(ctx, l.store, openKey(id), &head)
	if err != nil {
		return head, 0, &Error{Op: "batch.head", Kind: sesamepitch.KindUnavailable, Err: err}
	}
	return head, version, nil
}

// End marks a job as ended; repeating it is no error. KindUnknown means that
// it could not be found out whether the job is marked.
func (l *Ledger) End(ctx context.Context, id string) error {
	for {
		err := l.tryEnd(ctx, id)
		switch sesamepitch.KindOf(err) {
		case "", sesamepitch.KindNotFound:
			return err
		}
		select {
		case <-l.clock.After(settlePause):
		case <-ctx.Done():
			return &Error{Op: "batch.end", Kind: sesamepitch.KindUnknown, Err: err}
		}
	}
}

func (l *Ledger) tryEnd(ctx context.Context, id string) error {
	head, version, err := l.readHead(ctx, id)
	if err != nil {
		return err
	}
	if version == 0 {
		return &Error{Op: "batch.end", Kind: sesamepitch.KindNotFound, Err: errAbsent}
	}
	if head.Ended {
		return nil
	}
	head.Ended = true
	_, err = l.store.Commit(ctx, sesamepitch.Txn{
		Checks: []sesamepitch.Check{{Key: openKey(id), Version: version}},
		Writes: []sesamepitch.Write{{Key: openKey(id), Value: rowstore.Encode(head)}},
	})
	return err
}

// Job returns a job with its items.
func (l *Ledger) Job(ctx context.Context, head Header) (Job, error) {
	job := Job{Header: head}
	rows, err := l.store.List(ctx, specTable+"/"+head.ID+"/")
	if err != nil {
		return job, &Error{Op: "batch.job", Kind: sesamepitch.KindUnavailable, Err: err}
	}
	var content []byte
	for _, row := range rows[:min(head.Chunks, len(rows))] {
		content = append(content, row.Value...)
	}
	if err := json.Unmarshal(content, &job.Items); err != nil {
		return job, &Error{Op: "batch.job " + head.ID, Kind: sesamepitch.KindInternal, Err: err}
	}
	return job, nil
}

// DecodeHeader decodes a row of OpenTable.
func DecodeHeader(row sesamepitch.Row) (Header, error) {
	var head Header
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return head, &Error{Op: "batch.decode " + row.Key, Kind: sesamepitch.KindInvalid, Err: err}
	}
	return head, nil
}
