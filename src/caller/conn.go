package caller

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// What a connection takes in memory, in bytes. It is reserved before it is used.
const (
	// connectionBytes is the memory of an open connection: its goroutine and buffers.
	connectionBytes = 10 << 10
	// receiveBuffer is the kernel's buffer for what arrives and is not read yet. It is no
	// smaller than what a caller may have sent before the connection is accepted: what
	// does not fit would be lost and sent again, ever later.
	receiveBuffer = 64 << 10
	// requestBytes is the memory of a request beside its header and body. What waits in
	// the kernel counts from the first byte of a request on: before, it is read at once.
	requestBytes = 8<<10 + receiveBuffer
	// headerLineBytes is what a header line takes beside its text, with the copies that
	// are made of it: entries of maps, slices, texts.
	headerLineBytes = 320
	// headerCopies is how often the text of a header is held.
	headerCopies = 2
	// headAllowance is what may follow a head in the same read.
	headAllowance = 4 << 10
	// writePart is the part of an answer that a caller must take within writeStall.
	writePart  = 64 << 10
	writeStall = 30 * time.Second
)

// phase is what a connection is doing.
type phase int

const (
	// phaseNew has sent nothing yet.
	phaseNew phase = iota
	// phaseIdle waits for another request.
	phaseIdle
	// phaseHead reads the head of a request.
	phaseHead
	// phaseBody reads the body of a request that is not passed on yet.
	phaseBody
	// phaseServing has a request that is being served.
	phaseServing
	// phaseEnded has a request that is answered; the rest of its body may be on the way.
	phaseEnded
	// phaseEvicted was closed to make room and still holds its memory.
	phaseEvicted
	phaseClosed
)

// Conn is a connection of a caller that reserves the memory it takes.
type Conn struct {
	net.Conn
	listener *Listener
	// tcp is nil if the connection has no kernel buffer that can be set.
	tcp *net.TCPConn

	mu    sync.Mutex
	phase phase
	since time.Time
	// reserved is what the connection holds of its listener's share; lastRead is what
	// its last read would take if it was part of a head, since it may be that of the
	// next request.
	reserved, lastRead int64
	// headRead is the number of bytes read of the current head.
	headRead int
	progress progress
	// writingSince is the start of the write under way; zero for none.
	writingSince time.Time
}

// Read reads from the connection. While a head is read it fails if there is no memory for
// it, or if it is too large.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	switch c.received(b[:n]) {
	case headTooLarge:
		c.refuseHead()
		return 0, io.EOF
	case headWithoutMemory:
		return 0, io.EOF
	}
	return n, err
}

// headVerdict is what becomes of a head after a read.
type headVerdict int

const (
	headAccepted headVerdict = iota
	headTooLarge
	headWithoutMemory
)

// received accounts for bytes that were read.
func (c *Conn) received(b []byte) headVerdict {
	cost := int64(headerCopies*len(b) + headerLineBytes*bytes.Count(b, []byte("\n")))
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.listener.clock.Now()
	c.progress.add(now, len(b))
	last := c.lastRead
	c.lastRead = cost
	if c.phase == phaseNew || c.phase == phaseIdle {
		cost += requestBytes
		c.enter(phaseHead, now)
	}
	if c.phase != phaseHead {
		return headAccepted
	}
	if c.headRead == 0 {
		c.release(last)
	}
	c.headRead += len(b)
	if limit := c.listener.headLimit(); limit > 0 && c.headRead > limit+headAllowance {
		return headTooLarge
	}
	if !c.reserve(cost) {
		return headWithoutMemory
	}
	return headAccepted
}

// reserve reserves memory of the listener's share, and makes room for it if there is
// none. The caller holds c.mu, which is released meanwhile.
func (c *Conn) reserve(bytes int64) bool {
	total := c.reserved + bytes
	share := c.listener.share
	if !share.TryReserve(bytes, total) {
		c.mu.Unlock()
		fits := c.listener.makeRoom(c, anyPhase, func() bool { return share.TryReserve(bytes, total) })
		c.mu.Lock()
		if !fits {
			share.Refuse()
			return false
		}
	}
	c.reserved += bytes
	if c.phase == phaseClosed {
		c.release(c.reserved)
		return false
	}
	return true
}

// serve begins to serve a request. The head of one that came together with the request
// before was read then.
func (c *Conn) serve() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseIdle {
		c.listener.share.Hold(requestBytes)
		c.reserved += requestBytes
	}
	c.enter(phaseServing, c.listener.clock.Now())
}

// release gives memory back. The caller holds c.mu.
func (c *Conn) release(bytes int64) {
	bytes = min(bytes, c.reserved)
	c.listener.share.Free(bytes)
	c.reserved -= bytes
}

// enter begins a phase. The caller holds c.mu.
func (c *Conn) enter(next phase, now time.Time) {
	if c.phase >= phaseEvicted {
		return
	}
	if next == phaseHead {
		c.headRead = 0
	}
	c.phase, c.since = next, now
}

// set begins a phase.
func (c *Conn) set(next phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enter(next, c.listener.clock.Now())
}

// becomeIdle gives back what the request took.
func (c *Conn) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase >= phaseEvicted {
		return
	}
	c.enter(phaseIdle, c.listener.clock.Now())
	kept := c.lastRead + connectionBytes
	c.listener.share.Hold(kept)
	c.listener.share.Free(c.reserved)
	c.reserved = kept
}

// refuseHead answers a head that is too large.
func (c *Conn) refuseHead() {
	status := http.StatusRequestHeaderFieldsTooLarge
	text := "HTTP/1.1 431 " + http.StatusText(status) + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	if _, err := c.Write([]byte(text)); err == nil {
		_ = c.CloseWrite()
	}
}

// Write writes an answer in parts, each of which the caller must take in time.
func (c *Conn) Write(b []byte) (int, error) {
	written := 0
	for {
		part := b[written:min(len(b), written+writePart)]
		n, err := c.writePart(part)
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

func (c *Conn) writePart(part []byte) (int, error) {
	c.mu.Lock()
	c.writingSince = c.listener.clock.Now()
	c.mu.Unlock()
	// Deadlines of connections are times of the system's clock.
	if err := c.Conn.SetWriteDeadline(time.Now().Add(writeStall)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(part)
	c.mu.Lock()
	c.writingSince = time.Time{}
	c.mu.Unlock()
	return n, err
}

// CloseWrite ends what is sent, so that the caller can still read an answer.
func (c *Conn) CloseWrite() error {
	if c.tcp == nil {
		return nil
	}
	return c.tcp.CloseWrite()
}

// Close closes the connection and gives its memory back.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.release(c.reserved)
	c.phase = phaseClosed
	c.mu.Unlock()
	c.listener.remove(c)
	return c.Conn.Close()
}

// evict closes the connection's socket. Its memory is given back when the server has
// noticed.
func (c *Conn) evict() {
	c.mu.Lock()
	if c.phase < phaseEvicted {
		c.phase = phaseEvicted
	}
	c.mu.Unlock()
	_ = c.Conn.Close()
}

func (c *Conn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseEvicted
}

// standing is how willingly a connection is closed to make room.
type standing struct {
	conn  *Conn
	phase phase
	// rank orders connections, the lowest is closed first; among equals the one that
	// has been there longest.
	rank  int
	since time.Time
}

// The time after which a connection may be closed to make room for others.
const (
	// headPatience is the time for a head, and for the first byte.
	headPatience = 100 * time.Millisecond
	// bodyPatience is the time in which a body has to make progress, or an answer to be
	// taken.
	bodyPatience = time.Second
)

// standing returns how willingly the connection is closed; ok is false if it is not.
func (c *Conn) standing(now time.Time) (s standing, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s = standing{conn: c, phase: c.phase, since: c.since}
	age := now.Sub(c.since)
	switch c.phase {
	case phaseNew:
		return s, age > headPatience
	case phaseHead:
		s.rank = 1
		return s, age > headPatience
	case phaseIdle:
		s.rank = 2
		return s, age > headPatience
	case phaseBody, phaseEnded:
		s.rank = 1
		return s, age > bodyPatience && c.progress.isStalled(now)
	case phaseServing:
		s.rank, s.since = 3, c.writingSince
		return s, !c.writingSince.IsZero() && now.Sub(c.writingSince) > bodyPatience
	}
	return s, false
}
