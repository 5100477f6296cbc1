package batch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/rowstore"
)

const (
	// pageBytes limits the encoded results of one page; a page has at least one
	// result.
	pageBytes = 900_000
	// rangeRows is the maximum number of rows of results per read.
	rangeRows = 200
)

var (
	errFenced        = errors.New("another process with a higher epoch has claimed the job")
	errCursorChanged = errors.New("a process with an older epoch wrote the job's cursor first")
)

// Cursor is the row of a job that fences the writers of its results: the current
// writer with its epoch, and the next result position.
type Cursor struct {
	Holder string `json:"holder"`
	Epoch  int64  `json:"epoch"`
	// Count is the number of results appended, which is the next position.
	Count int `json:"count"`
	// Renewal increases with each append, so that the cursor also changes when no
	// result is appended, and readBack can recognise each append.
	Renewal int64 `json:"renewal"`
	// Finished has a bit for each item that has a result, by the item's index, so
	// that a new writer need not read the results.
	Finished itemSet `json:"finished,omitempty"`
}

// equals reports whether two cursors are the same.
func (c Cursor) equals(other Cursor) bool {
	return c.Holder == other.Holder && c.Epoch == other.Epoch && c.Count == other.Count && c.Renewal == other.Renewal &&
		bytes.Equal(c.Finished, other.Finished)
}

// Claim is the right to append results to a job. It ends when another process
// claims the job with a higher epoch. It is not safe for concurrent use.
type Claim struct {
	ledger  *Ledger
	id      string
	cursor  Cursor
	version int64
	first   bool
}

// Finished returns the indexes of the items with a result. It is not known if a
// part of the results was written by a version of this program that did not keep
// them.
func (c *Claim) Finished() (items []int, known bool) {
	items = c.cursor.Finished.items()
	return items, len(items) == c.cursor.Count
}

// IsFirst reports whether the job had not been claimed before.
func (c *Claim) IsFirst() bool { return c.first }

// Claim takes over a job and ends the previous holder's claim. KindConflict means
// that a holder with a higher epoch has claimed the job; after any other error the
// call must be retried.
func (l *Ledger) Claim(ctx context.Context, id, holder string, epoch int64) (*Claim, error) {
	var cursor Cursor
	version, err := rowstore.Read(ctx, l.store, cursorKey(id), &cursor)
	if err != nil {
		return nil, &Error{Op: "batch.claim", Kind: sesamepitch.KindUnavailable, Err: err}
	}
	if cursor.Epoch > epoch {
		return nil, &Error{Op: "batch.claim", Kind: sesamepitch.KindConflict, Err: errFenced}
	}
	cursor.Holder, cursor.Epoch = holder, epoch
	claim := &Claim{ledger: l, id: id, cursor: cursor, version: version, first: version == 0}
	return claim, claim.commit(ctx, cursor, nil)
}

// Append stores results at the next positions together with checkpoints, in one
// transaction. KindConflict means that the claim has ended, KindUnavailable that
// nothing was stored, KindInvalid that the store will not store this, and KindUnknown that the results may have been stored: the
// caller must repeat the same call.
func (c *Claim) Append(ctx context.Context, results []Result, checkpoints []Checkpoint) error {
	next := c.cursor
	next.Count += len(results)
	next.Renewal++
	next.Finished = c.cursor.Finished.clone()
	writes := checkpointWrites(c.id, checkpoints)
	for i, result := range results {
		next.Finished = next.Finished.with(result.Item)
		for k, chunk := range c.ledger.split(rowstore.Encode(result)) {
			writes = append(writes, sesamepitch.Write{Key: resultKey(c.id, c.cursor.Count+i, k), Value: chunk})
		}
	}
	return c.commit(ctx, next, writes)
}

// commit writes the cursor and the given rows if the cursor has not changed since
// this claim last wrote or read it.
func (c *Claim) commit(ctx context.Context, next Cursor, writes []sesamepitch.Write) error {
	writes = append(writes, sesamepitch.Write{Key: cursorKey(c.id), Value: rowstore.Encode(next)})
	revision, err := c.ledger.store.Commit(ctx, sesamepitch.Txn{
		Checks: []sesamepitch.Check{{Key: cursorKey(c.id), Version: c.version}},
		Writes: writes,
	})
	switch sesamepitch.KindOf(err) {
	case "":
		c.cursor, c.version = next, revision
		return nil
	case sesamepitch.KindConflict:
		return c.readBack(ctx, next)
	case sesamepitch.KindUnknown, sesamepitch.KindInvalid:
		return &Error{Op: "batch.commit", Kind: sesamepitch.KindOf(err), Err: err}
	default:
		return &Error{Op: "batch.commit", Kind: sesamepitch.KindUnavailable, Err: err}
	}
}

// readBack checks whether an earlier attempt of the same commit, whose answer was
// lost, wrote the cursor.
func (c *Claim) readBack(ctx context.Context, next Cursor) error {
	var cursor Cursor
	version, err := rowstore.Read(ctx, c.ledger.store, cursorKey(c.id), &cursor)
	if err != nil {
		return &Error{Op: "batch.commit", Kind: sesamepitch.KindUnknown, Err: err}
	}
	if cursor.Epoch > next.Epoch {
		return &Error{Op: "batch.commit", Kind: sesamepitch.KindConflict, Err: errFenced}
	}
	if !cursor.equals(next) {
		return &Error{Op: "batch.commit", Kind: sesamepitch.KindUnavailable, Err: errCursorChanged}
	}
	c.cursor, c.version = cursor, version
	return nil
}

// AppendLimit returns how many of the results, from the first one, fit into one
// Append; at least one if there are any.
func (l *Ledger) AppendLimit(results []Result) int {
	rows, bytes := 0, 0
	for i, result := range results {
		size := len(rowstore.Encode(result))
		rows += 1 + size/l.chunkBytes
		bytes += size
		if i > 0 && (rows > maxTxnRows || bytes > maxTxnBytes) {
			return i
		}
	}
	return len(results)
}

// Read returns one page of results, beginning with the one at position start.
func (l *Ledger) Read(ctx context.Context, id string, start int) (Page, error) {
	header, err := l.Header(ctx, id)
	if err != nil {
		return Page{}, err
	}
	page := Page{Total: header.Total, Next: start}
	if start >= header.Total {
		return page, nil
	}
	rows, err := l.store.Range(ctx, resultKey(id, start, 0), rangeRows)
	if err != nil {
		return Page{}, &Error{Op: "batch.read", Kind: sesamepitch.KindUnavailable, Err: err}
	}
	return page, page.fill(rows)
}

// fill appends the results in rows, as long as their positions are consecutive and
// pageBytes is not exceeded. A last result whose rows are incomplete is left out.
func (p *Page) fill(rows []sesamepitch.Row) error {
	bytes := 0
	for i := 0; i < len(rows); {
		position := positionOf(rows[i].Key)
		if position != p.Next {
			return nil
		}
		var encoded []byte
		for ; i < len(rows) && positionOf(rows[i].Key) == position; i++ {
			encoded = append(encoded, rows[i].Value...)
		}
		var result Result
		if err := json.Unmarshal(encoded, &result); err != nil {
			if i == len(rows) && len(p.Results) > 0 {
				return nil // the rows of this result are incomplete
			}
			return &Error{Op: "batch.read", Kind: sesamepitch.KindInternal, Err: err}
		}
		bytes += len(encoded)
		if len(p.Results) > 0 && bytes > pageBytes {
			return nil
		}
		p.Results = append(p.Results, result)
		p.Next++
	}
	return nil
}

// positionOf returns the position in a key of resultTable, or -1 if there is none.
func positionOf(key string) int {
	fields := strings.Split(key, "/")
	if len(fields) < 4 {
		return -1
	}
	position, err := strconv.Atoi(fields[2])
	if err != nil {
		return -1
	}
	return position
}

// AllResults returns all results appended so far.
func (l *Ledger) AllResults(ctx context.Context, id string) ([]Result, error) {
	var all []Result
	for {
		page, err := l.Read(ctx, id, len(all))
		if err != nil || len(page.Results) == 0 {
			return all, err
		}
		all = append(all, page.Results...)
	}
}
