package gateway

import (
	"context"
	"errors"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/batch"
	"sesamepitch/src/memory"
)

const (
	// pageReadBytes is what reading one page of results takes at most: rows, encoded and
	// decoded, and the results.
	pageReadBytes = 4 << 20
	// minPageReads is the least number of pages that are read at the same time.
	minPageReads = 4
	// pageCopies is how often the outputs of a page are held until it is sent.
	pageCopies = 2
	// defaultPageMemory is the memory for pages in bytes where none is set.
	defaultPageMemory = 64 << 20
)

var errPageMemory = errors.New("memory limit for results reached")

// pages bounds the memory of results that are read for callers.
type pages struct {
	memory *memory.Share
	// reads has a place for each page that is being read.
	reads chan struct{}
}

func newPages(share *memory.Share) pages {
	return pages{memory: share, reads: make(chan struct{}, max(minPageReads, share.Limit()/pageReadBytes))}
}

// WithPageMemory sets the share of the memory for results that are read for callers.
func WithPageMemory(share *memory.Share) Option {
	return func(g *Gateway) { g.pages = newPages(share) }
}

// readPage reads a page once there is a place for it.
func (g *Gateway) readPage(ctx context.Context, id string, after int) (batch.Page, error) {
	select {
	case g.pages.reads <- struct{}{}:
	case <-ctx.Done():
		return batch.Page{}, &Error{Op: "page", Kind: sesamepitch.KindUnavailable, Err: ctx.Err()}
	}
	defer func() { <-g.pages.reads }()
	return g.ledger.Read(ctx, id, after)
}

// hold reserves the memory of a page until release is called.
func (p pages) hold(page batch.Page) (release func(), err error) {
	var size int64
	for _, result := range page.Results {
		size += pageCopies * int64(len(result.Output))
	}
	if !p.memory.Reserve(size, size) {
		return func() {}, RefuseWithoutMemory(errPageMemory)
	}
	return func() { p.memory.Free(size) }, nil
}
