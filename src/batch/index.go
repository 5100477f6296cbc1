package batch

import (
	"context"
	"errors"
	"fmt"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/rowstore"

	"github.com/cespare/xxhash/v2"
)

const (
	// indexTable says where the items of a large job lie, in rows by the hash of the
	// item's ID.
	indexTable = "item"
	// minIndexedChunks is the number of rows up to which a job has no index: one of its
	// items is found by reading them.
	minIndexedChunks = 4
	// indexEntryBytes is about the size of an entry in a row, beside the item's ID.
	indexEntryBytes = 28
	// indexFill is the part of a row that the entries of its items fill on average.
	indexFill = 0.5
)

// indexEntry says where an item lies.
type indexEntry struct {
	id   string
	span Span
}

func indexKey(id string, row int) string { return fmt.Sprintf("%s/%s/%05d", indexTable, id, row) }

// indexRowOf returns the row of an index that has an item's entry.
func indexRowOf(item string, rows int) int { return int(xxhash.Sum64String(item) % uint64(rows)) }

// indexRows returns the rows of an index.
func (l *Ledger) indexRows(id string, entries []indexEntry) []sesamepitch.Write {
	bytes := 0
	for _, entry := range entries {
		bytes += len(entry.id) + indexEntryBytes
	}
	count := 1 + bytes/max(1, int(indexFill*float64(l.chunkBytes)))
	values := make([]map[string]Span, count)
	for _, entry := range entries {
		row := indexRowOf(entry.id, count)
		if values[row] == nil {
			values[row] = map[string]Span{}
		}
		values[row][entry.id] = entry.span
	}
	writes := make([]sesamepitch.Write, count)
	for i, value := range values {
		writes[i] = sesamepitch.Write{Key: indexKey(id, i), Value: rowstore.Encode(value)}
	}
	return writes
}

// lookUp returns where an item lies, and whether the index has it.
func (l *Ledger) lookUp(ctx context.Context, header Header, item string) (Span, bool, error) {
	spans := map[string]Span{}
	_, err := rowstore.Read(ctx, l.store, indexKey(header.ID, indexRowOf(item, header.IndexRows)), &spans)
	if err != nil {
		return Span{}, false, &Error{Op: "batch.index " + header.ID, Kind: sesamepitch.KindUnavailable, Err: err}
	}
	span, found := spans[item]
	return span, found, nil
}

// ReadCost returns the memory that reading an item takes at most, in bytes.
func (l *Ledger) ReadCost(at Span) int64 { return l.readCost(at.size()) }

// readCost counts an item's encoded and its decoded form, and a page of rows, encoded and
// decoded.
func (l *Ledger) readCost(size int64) int64 {
	const copies, pageCopies = 2, 3
	page := min(size, pageRows*int64(l.chunkBytes)) + int64(l.chunkBytes)
	return copies*size + pageCopies*page
}

// ContentBytes returns about the size of a job's items, encoded.
func (l *Ledger) ContentBytes(header Header) int64 {
	chunk := header.ChunkBytes
	if chunk == 0 {
		chunk = l.chunkBytes
	}
	return int64(header.Chunks) * int64(chunk)
}

var (
	errItemFound  = errors.New("item found")
	errItemMemory = errors.New("memory limit for bodies of items reached")
)

// ItemBody reads the body of an item; found is false if the job has no such item. The
// memory is reserved until release is called. KindOverloaded means that there is none.
func (l *Ledger) ItemBody(ctx context.Context, header Header, id string) (body []byte, found bool, release func(), err error) {
	release = func() {}
	if header.IndexRows == 0 {
		return l.scanForBody(ctx, header, id)
	}
	span, found, err := l.lookUp(ctx, header, id)
	if err != nil || !found {
		return nil, found, release, err
	}
	if release, err = l.reserve(l.readCost(span.size())); err != nil {
		return nil, true, release, err
	}
	item, err := l.ItemAt(ctx, header, span)
	return item.Body, true, release, err
}

// scanForBody is ItemBody for a job without an index.
func (l *Ledger) scanForBody(ctx context.Context, header Header, id string) (body []byte, found bool, release func(), err error) {
	content := int64(min(header.Chunks, minIndexedChunks)) * int64(l.chunkBytes)
	if release, err = l.reserve(l.readCost(content)); err != nil {
		return nil, false, release, err
	}
	err = l.Items(ctx, header, func(item Item, _ Span) error {
		if item.ID != id {
			return nil
		}
		body, found = item.Body, true
		return errItemFound
	})
	if found {
		err = nil
	}
	return body, found, release, err
}

// reserve reserves memory until the returned function is called.
func (l *Ledger) reserve(bytes int64) (release func(), err error) {
	if !l.memory.Reserve(bytes, bytes) {
		return func() {}, &Error{Op: "batch.item", Kind: sesamepitch.KindOverloaded, Err: errItemMemory}
	}
	return func() { l.memory.Free(bytes) }, nil
}
