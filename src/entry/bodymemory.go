package entry

import (
	"errors"
	"io"
	"sync"

	sesamepitch "sesamepitch/src"
)

// workspaceFraction limits one workspace to 1/workspaceFraction of the memory
// for bodies.
const workspaceFraction = 2

var errBodyMemory = errors.New("too many bytes of request bodies are held here; try again")

// bodyMemory limits the total bytes of request bodies held by this process,
// however many callers send them and however slowly.
type bodyMemory struct {
	mu    sync.Mutex
	total int64
	held  map[string]int64
}

func newBodyMemory() *bodyMemory { return &bodyMemory{held: map[string]int64{}} }

// reserve reserves bytes for a workspace's request. It reports false if this
// would exceed the limit or the workspace's share of it.
func (m *bodyMemory) reserve(workspace string, bytes, limit int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.total+bytes > limit || m.held[workspace]+bytes > limit/workspaceFraction {
		return false
	}
	m.total += bytes
	m.held[workspace] += bytes
	return true
}

func (m *bodyMemory) free(workspace string, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.total -= bytes
	m.held[workspace] -= bytes
	if m.held[workspace] == 0 {
		delete(m.held, workspace)
	}
}

// meteredBody reserves memory for the bytes read. They stay reserved until the
// request ends, because a retry may have to send them again.
type meteredBody struct {
	io.ReadCloser
	memory    *bodyMemory
	workspace string
	limit     int64
	read      int64
}

// Read implements io.Reader. It fails with KindOverloaded when the memory limit
// is reached.
func (b *meteredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && !b.memory.reserve(b.workspace, int64(n), b.limit) {
		return 0, &Error{Op: "entry.read", Kind: sesamepitch.KindOverloaded, Err: errBodyMemory}
	}
	b.read += int64(n)
	return n, err
}

// release frees the memory reserved for the body.
func (b *meteredBody) release() { b.memory.free(b.workspace, b.read) }
