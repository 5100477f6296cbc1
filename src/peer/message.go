package peer

import (
	"errors"
	"net"

	"sesamepitch/src/memory"
)

const (
	// maxRequestBytes limits a message of a call that another instance makes, and
	// maxReplyBytes one that answers a call of this instance.
	maxRequestBytes = 2 << 20
	maxReplyBytes   = 64 << 20
	// maxLengthBytes is the largest number of bytes in which a message's length is
	// encoded, behind the byte with their number.
	maxLengthBytes = 8
)

var (
	errMessageTooLarge = errors.New("message exceeds the limit")
	errMessageMemory   = errors.New("memory limit for messages reached")
)

// messageConn is a connection that ends when a message on it is too large, before the
// message is read. Messages are those of encoding/gob, each behind its length: one byte
// below 128, or the negated number of bytes of a big-endian number.
type messageConn struct {
	net.Conn
	limit uint64
	// share has the memory of the message that is being read; nil if none is reserved.
	share    *memory.Share
	reserved int64
	// left is what is left of the current message, lengthLeft of its length, in bytes.
	left       uint64
	lengthLeft int
	length     uint64
}

// Read implements net.Conn.
func (c *messageConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if failure := c.follow(b[:n]); failure != nil {
		return 0, failure
	}
	return n, err
}

// follow finds the lengths of messages in the bytes that were read.
func (c *messageConn) follow(b []byte) error {
	for len(b) > 0 {
		if c.left > 0 {
			skipped := min(c.left, uint64(len(b)))
			c.left -= skipped
			b = b[skipped:]
			continue
		}
		if err := c.addToLength(b[0]); err != nil {
			return err
		}
		b = b[1:]
	}
	return nil
}

// addToLength adds a byte to the length of the next message.
func (c *messageConn) addToLength(b byte) error {
	switch {
	case c.lengthLeft > 0:
		c.length = c.length<<8 | uint64(b)
		c.lengthLeft--
	case b < 0x80:
		c.length = uint64(b)
	default:
		c.length, c.lengthLeft = 0, 0x100-int(b)
	}
	if c.lengthLeft > maxLengthBytes {
		return errMessageTooLarge
	}
	if c.lengthLeft > 0 {
		return nil
	}
	return c.beginMessage()
}

// beginMessage reserves the memory of a message and gives that of the previous one back.
func (c *messageConn) beginMessage() error {
	if c.length > c.limit {
		return errMessageTooLarge
	}
	c.left = c.length
	if c.share == nil {
		return nil
	}
	c.share.Free(c.reserved)
	c.reserved = 0
	if size := int64(c.length); !c.share.Reserve(size, size) {
		return errMessageMemory
	}
	c.reserved = int64(c.length)
	return nil
}

// release gives the memory of the last message back.
func (c *messageConn) release() {
	if c.share != nil {
		c.share.Free(c.reserved)
		c.reserved = 0
	}
}
