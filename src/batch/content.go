package batch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"iter"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/rowstore"
)

// The items of a job are one JSON array, which is split into rows of equal size but for
// the last one.

// pageRows is the number of rows of a job's content that are read at once.
const pageRows = 12

// Span is where an item lies in the content of its job, in bytes.
type Span struct{ Start, End int64 }

// size returns the number of bytes.
func (s Span) size() int64 { return s.End - s.Start }

// contentWriter stores the items of a new job as they come. It holds back the last rows,
// which are stored with the job's header.
type contentWriter struct {
	ledger *Ledger
	id     string
	// full are the complete rows that are not stored yet, rest is the beginning of the
	// next one.
	full [][]byte
	rest []byte
	// stored is the number of rows that are stored.
	stored int
	offset int64
	index  []indexEntry
	// exists is set if there is a job with this ID.
	exists bool
}

// add encodes an item and stores the rows that it completes.
func (w *contentWriter) add(ctx context.Context, item Item) error {
	separator := ","
	if len(w.index) == 0 {
		separator = "["
	}
	if err := w.write(ctx, []byte(separator)); err != nil {
		return err
	}
	encoded := rowstore.Encode(item)
	start := w.offset
	if err := w.write(ctx, encoded); err != nil {
		return err
	}
	w.index = append(w.index, indexEntry{id: item.ID, span: Span{Start: start, End: w.offset}})
	return nil
}

// finish writes the end of the content and leaves as many rows as fit into the
// transaction of the header.
func (w *contentWriter) finish(ctx context.Context) error {
	end := "]"
	if len(w.index) == 0 {
		end = "[]"
	}
	if err := w.write(ctx, []byte(end)); err != nil {
		return err
	}
	if len(w.full) < w.ledger.chunksPerTxn() {
		return nil
	}
	return w.store(ctx)
}

func (w *contentWriter) write(ctx context.Context, content []byte) error {
	w.offset += int64(len(content))
	for len(content) > 0 {
		if len(w.rest) == w.ledger.chunkBytes {
			w.full = append(w.full, w.rest)
			w.rest = nil
		}
		if len(w.full) == w.ledger.chunksPerTxn() {
			if err := w.store(ctx); err != nil {
				return err
			}
		}
		if w.rest == nil {
			w.rest = make([]byte, 0, min(w.ledger.chunkBytes, max(len(content), minRest)))
		}
		n := min(len(content), w.ledger.chunkBytes-len(w.rest))
		w.rest = append(w.rest, content[:n]...)
		content = content[n:]
	}
	return nil
}

// minRest is the first size of a row that is being filled, in bytes.
const minRest = 1 << 10

// store stores the complete rows. They have no effect until the header is stored.
func (w *contentWriter) store(ctx context.Context) error {
	var writes []sesamepitch.Write
	for i, chunk := range w.full {
		writes = append(writes, sesamepitch.Write{Key: specKey(w.id, w.stored+i), Value: chunk})
	}
	w.stored += len(w.full)
	w.full = nil
	return w.commit(ctx, writes)
}

// commit stores rows of a job that does not exist yet.
func (w *contentWriter) commit(ctx context.Context, writes []sesamepitch.Write) error {
	if w.exists {
		return nil
	}
	_, err := w.ledger.store.Commit(ctx, sesamepitch.Txn{Checks: []sesamepitch.Check{{Key: openKey(w.id)}}, Writes: writes})
	switch sesamepitch.KindOf(err) {
	case "":
		return nil
	case sesamepitch.KindConflict:
		w.exists = true // the header's owner is checked at the end
		return nil
	default:
		return &Error{Op: "batch.accept", Kind: sesamepitch.KindUnavailable, Err: err}
	}
}

// lastRows returns the writes of the rows that are stored with the header.
func (w *contentWriter) lastRows() []sesamepitch.Write {
	var writes []sesamepitch.Write
	for i, chunk := range append(w.full, w.rest) {
		writes = append(writes, sesamepitch.Write{Key: specKey(w.id, w.stored+i), Value: chunk})
	}
	return writes
}

// contentReader reads the content of a job, a few rows at a time.
type contentReader struct {
	ctx    context.Context
	ledger *Ledger
	header Header
	// next is the next row to read, buffer what was read and not passed on.
	next   int
	buffer []byte
	rows   []sesamepitch.Row
	// limit is the number of rows that are read at once.
	limit   int
	failure error
}

// Read implements io.Reader.
func (r *contentReader) Read(b []byte) (int, error) {
	for len(r.buffer) == 0 {
		if err := r.advance(); err != nil {
			return 0, err
		}
	}
	n := copy(b, r.buffer)
	r.buffer = r.buffer[n:]
	return n, nil
}

// advance makes the next row the buffer.
func (r *contentReader) advance() error {
	if r.next >= r.header.Chunks {
		return io.EOF
	}
	if len(r.rows) == 0 {
		limit := min(r.limit, r.header.Chunks-r.next)
		r.rows, r.failure = r.ledger.store.Range(r.ctx, specKey(r.header.ID, r.next), limit)
		if r.failure == nil && (len(r.rows) == 0 || r.rows[0].Key != specKey(r.header.ID, r.next)) {
			r.failure = errRowMissing
		}
		if r.failure != nil {
			return r.failure
		}
	}
	r.buffer, r.rows = r.rows[0].Value, r.rows[1:]
	r.next++
	return nil
}

var errRowMissing = errors.New("a row of the job's items is missing")

// Items passes each item of a job with its place to visit, in order, and holds only one of
// them. It ends with the first error of visit.
func (l *Ledger) Items(ctx context.Context, header Header, visit func(Item, Span) error) error {
	reader := &contentReader{ctx: ctx, ledger: l, header: header, limit: pageRows}
	fail := func(err error) error {
		kind := sesamepitch.KindInternal
		if reader.failure != nil {
			kind = sesamepitch.KindUnavailable
		}
		return &Error{Op: "batch.items " + header.ID, Kind: kind, Err: err}
	}
	decoder := json.NewDecoder(reader)
	if _, err := decoder.Token(); err != nil {
		return fail(err)
	}
	for decoder.More() {
		var item Item
		start := decoder.InputOffset()
		if err := decoder.Decode(&item); err != nil {
			return fail(err)
		}
		if err := visit(item, Span{Start: start, End: decoder.InputOffset()}); err != nil {
			return err
		}
	}
	if _, err := decoder.Token(); err != nil {
		return fail(err)
	}
	return nil
}

// HasSpans reports whether the items of a job can be read one by one.
func (h Header) HasSpans() bool { return h.ChunkBytes > 0 }

// ItemAt reads one item by its place in the content of a job that HasSpans.
func (l *Ledger) ItemAt(ctx context.Context, header Header, at Span) (Item, error) {
	var item Item
	chunk := int64(header.ChunkBytes)
	first, last := int(at.Start/chunk), int((at.End-1)/chunk)
	reader := &contentReader{ctx: ctx, ledger: l, header: header, next: first, limit: min(pageRows, last-first+1)}
	encoded := make([]byte, at.size())
	_, err := io.CopyN(io.Discard, reader, at.Start%chunk)
	if err == nil {
		_, err = io.ReadFull(reader, encoded)
	}
	if err != nil {
		return item, &Error{Op: "batch.item " + header.ID, Kind: sesamepitch.KindUnavailable, Err: err}
	}
	if err := json.Unmarshal(bytes.TrimLeft(encoded, ", \n"), &item); err != nil {
		return item, &Error{Op: "batch.item " + header.ID, Kind: sesamepitch.KindInternal, Err: err}
	}
	return item, nil
}

// AcceptItems is Accept for items that come one after the other.
func (l *Ledger) AcceptItems(ctx context.Context, header Header, items iter.Seq[Item]) error {
	w := &contentWriter{ledger: l, id: header.ID}
	for item := range items {
		if err := w.add(ctx, item); err != nil {
			return err
		}
	}
	if err := w.finish(ctx); err != nil {
		return err
	}
	header.Total = len(w.index)
	header.Chunks = w.stored + len(w.full) + 1
	header.ChunkBytes = l.chunkBytes
	if header.Chunks > minIndexedChunks {
		rows := l.indexRows(header.ID, w.index)
		header.IndexRows = len(rows)
		for _, row := range rows {
			if err := w.commit(ctx, []sesamepitch.Write{row}); err != nil {
				return err
			}
		}
	}
	return l.storeHeader(ctx, header, w.lastRows())
}
