package batch

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/rowstore"
)

const (
	// pageBytes bounds the texts of one page; a page has at least one result.
	pageBytes = 900_000
	// pageRows is how many rows of results are read at once.
	pageRows = 200
)

var (
	errFenced    = errors.New("another process has taken the job over")
	errOvertaken = errors.New("an older driver wrote the mark first")
)

// Cursor is a job's row for whoever appends its results.
type Cursor struct {
	Holder string `json:"holder"`
	Epoch  int64  `json:"epoch"`
	// Count is the number of results listed.
	Count int `json:"count"`
	// Renewal tells appends apart that list no result.
	Renewal int64 `json:"renewal"`
}

// Claim is the right to append a job's results. It ends when another process
// claims the job with a higher epoch. One goroutine uses it at a time.
type Claim struct {
	ledger  *Ledger
	id      string
	mark    Cursor
	version int64
	first   bool
}

// IsFirst tells whether nobody had claimed the job before.
func (c *Claim) IsFirst() bool { return c.first }

// Claim takes a job over; the former holder's claim ends. KindConflict means
// that a holder with a higher epoch has it; after any other error it must be
// tried again.
func (l *Ledger) Claim(ctx context.Context, id, holder string, epoch int64) (*Claim, error) {
	var mark Cursor
	version, err := rowstore.Read(ctx, l.store, markKey(id), &mark)
	if err != nil {
		return nil, &Error{Op: "batch.claim", Kind: sesamepitch.KindUnavailable, Err: err}
	}
	if mark.Epoch > epoch {
		return nil, &Error{Op: "batch.claim", Kind: sesamepitch.KindConflict, Err: errFenced}
	}
	mark.Holder, mark.Epoch = holder, epoch
	claim := &Claim{ledger: l, id: id, mark: mark, version: version, first: version == 0}
	return claim, claim.commit(ctx, mark, nil)
}

// Append lists results at the next positions and keeps progress, all or none.
// KindConflict means that the claim has ended, KindUnavailable that nothing
// happened, KindUnknown that the same call must be repeated.
func (c *Claim) Append(ctx context.Context, results []Result, progress []Checkpoint) error {
	next := c.mark
	next.Count += len(results)
	next.Renewal++
	writes := progressWrites(c.id, progress)
	for i, result := range results {
		for k, chunk := range c.ledger.split(rowstore.Encode(result)) {
			writes = append(writes, sesamepitch.Write{Key: resultKey(c.id, c.mark.Count+i, k), Value: chunk})
		}
	}
	return c.commit(ctx, next, writes)
}

// commit writes the mark with the given rows if no one else has written it.
func (c *Claim) commit(ctx context.Context, next Cursor, writes []sesamepitch.Write) error {
	writes = append(writes, sesamepitch.Write{Key: markKey(c.id), Value: rowstore.Encode(next)})
	revision, err := c.ledger.store.Commit(ctx, sesamepitch.Txn{
		Checks: []sesamepitch.Check{{Key: markKey(c.id), Version: c.version}},
		Writes: writes,
	})
	switch sesamepitch.KindOf(err) {
	case "":
		c.mark, c.version = next, revision
		return nil
	case sesamepitch.KindConflict:
		return c.readBack(ctx, next)
	case sesamepitch.KindUnknown:
		return &Error{Op: "batch.commit", Kind: sesamepitch.KindUnknown, Err: err}
	default:
		return &Error{Op: "batch.commit", Kind: sesamepitch.KindUnavailable, Err: err}
	}
}

// readBack finds out whether the mark was written by an earlier try of the
// same commit whose answer was lost.
func (c *Claim) readBack(ctx context.Context, next Cursor) error {
	var mark Cursor
	version, err := rowstore.Read(ctx, c.ledger.store, markKey(c.id), &mark)
	if err != nil {
		return &Error{Op: "batch.commit", Kind: sesamepitch.KindUnknown, Err: err}
	}
	if mark.Epoch > next.Epoch {
		return &Error{Op: "batch.commit", Kind: sesamepitch.KindConflict, Err: errFenced}
	}
	if mark != next {
		return &Error{Op: "batch.commit", Kind: sesamepitch.KindUnavailable, Err: errOvertaken}
	}
	c.mark, c.version = mark, version
	return nil
}

// AppendLimit returns how many of the results one Append may list.
func (l *Ledger) AppendLimit(results []Result) int {
	rows, bytes := 0, 0
	for i, result := range results {
		size := len(rowstore.Encode(result))
		rows += 1 + size/l.chunkBytes
		bytes += size
		if i > 0 && (rows > txnRows || bytes > txnBytes) {
			return i
		}
	}
	return len(results)
}

// Read returns the results listed from a position on, as far as one page goes.
func (l *Ledger) Read(ctx context.Context, id string, after int) (Page, error) {
	head, err := l.Header(ctx, id)
	if err != nil {
		return Page{}, err
	}
	page := Page{Total: head.Total, Next: after}
	if after >= head.Total {
		return page, nil
	}
	rows, err := l.store.Range(ctx, resultKey(id, after, 0), pageRows)
	if err != nil {
		return Page{}, &Error{Op: "batch.read", Kind: sesamepitch.KindUnavailable, Err: err}
	}
	return page, page.fill(rows)
}

// fill decodes the results of rows that follow each other from the page's
// position on. The last result is left out if its rows may be cut off.
func (p *Page) fill(rows []sesamepitch.Row) error {
	bytes := 0
	for i := 0; i < len(rows); {
		position := positionOf(rows[i].Key)
		if position != p.Next {
			return nil
		}
		var content []byte
		for ; i < len(rows) && positionOf(rows[i].Key) == position; i++ {
			content = append(content, rows[i].Value...)
		}
		var result Result
		if err := json.Unmarshal(content, &result); err != nil {
			if i == len(rows) && len(p.Results) > 0 {
				return nil // the page of rows ended within this result
			}
			return &Error{Op: "batch.read", Kind: sesamepitch.KindInternal, Err: err}
		}
		bytes += len(content)
		if len(p.Results) > 0 && bytes > pageBytes {
			return nil
		}
		p.Results = append(p.Results, result)
		p.Next++
	}
	return nil
}

// positionOf returns the position in a key of resultTable, -1 if there is none.
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

// AllResults returns all results that are listed.
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
