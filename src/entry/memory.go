package entry

import (
	"errors"
	"io"
	"sync"

	sesamepitch "sesamepitch/src"
)

// workspacePart is the part of the bodies' memory that one workspace may hold.
const workspacePart = 2

var errNoMemory = errors.New("too many bytes of request bodies are held here; try again")

// memory bounds the bytes of request bodies that this process holds, whatever
// number of callers sends them and however slowly.
type memory struct {
	mu    sync.Mutex
	total int64
	held  map[string]int64
}

func newMemory() *memory { return &memory{held: map[string]int64{}} }

// reserve takes bytes for a workspace's request; it fails at the limit, or at
// the workspace's part of it.
func (m *memory) reserve(workspace string, bytes, limit int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.total+bytes > limit || m.held[workspace]+bytes > limit/workspacePart {
		return false
	}
	m.total += bytes
	m.held[workspace] += bytes
	return true
}

func (m *memory) free(workspace string, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.total -= bytes
	m.held[workspace] -= bytes
	if m.held[workspace] == 0 {
		delete(m.held, workspace)
	}
}

// meteredBody reserves memory for what it reads. What was read is held until
// the request ends, since it may have to be sent again.
type meteredBody struct {
	io.ReadCloser
	memory    *memory
	workspace string
	limit     int64
	read      int64
}

// Read implements io.Reader; KindOverloaded if there is no memory left.
func (b *meteredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && !b.memory.reserve(b.workspace, int64(n), b.limit) {
		return 0, &Error{Op: "entry.read", Kind: sesamepitch.KindOverloaded, Err: errNoMemory}
	}
	b.read += int64(n)
	return n, err
}

// release frees what the request held.
func (b *meteredBody) release() { b.memory.free(b.workspace, b.read) }
