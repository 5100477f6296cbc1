package answer

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	sesamepitch "sesamepitch/src"
)

const (
	// minStatus and maxStatus bound the statuses of RFC 9110, section 15.
	minStatus = 100
	maxStatus = 599
	// statusDigits is the length of a status in the status line.
	statusDigits = 3
	// maxKeptLine is how much of a status line or a field's name is kept, in bytes.
	maxKeptLine = 64
	// nameBytes are the bytes of a field's name besides letters and digits: RFC 9110,
	// section 5.6.2.
	nameBytes = "!#$%&'*+-.^_`|~"
)

// headState is what the next byte of a head belongs to.
type headState int

const (
	inStatusLine headState = iota
	atLineStart
	inName
	inValue
	// inLastLine is behind the CR of the empty line that ends a head.
	inLastLine
	behindHead
)

// head checks the head of an answer as its bytes arrive, before net/http parses it, which
// accepts more than the protocol allows.
type head struct {
	state headState
	// line is the beginning of the status line or of the name of the current field.
	line []byte
	// interim is set in the head of an interim answer, which another head follows.
	interim bool
	err     error
}

// read checks the next bytes and ignores those behind the head. Once it has failed it
// always fails.
func (h *head) read(part []byte) error {
	for _, b := range part {
		if h.state == behindHead || h.err != nil {
			break
		}
		h.err = h.next(b)
	}
	return h.err
}

// next checks the next byte.
func (h *head) next(b byte) error {
	switch h.state {
	case inStatusLine:
		return h.readStatusLine(b)
	case atLineStart:
		return h.beginLine(b)
	case inName:
		return h.readName(b)
	case inValue:
		if b == '\n' {
			h.state = atLineStart
		}
	case inLastLine:
		if b != '\n' {
			return headError("a CR without LF at the start of a line")
		}
		h.end()
	}
	return nil
}

// readStatusLine reads the next byte of the status line, and checks that line at its end.
func (h *head) readStatusLine(b byte) error {
	if b != '\n' {
		h.keep(b)
		return nil
	}
	status, err := parseStatusLine(strings.TrimSuffix(string(h.line), "\r"))
	if err != nil {
		return err
	}
	h.interim = status < http.StatusOK
	h.state = atLineStart
	return nil
}

// keep appends a byte to the kept part of the line.
func (h *head) keep(b byte) {
	if h.line == nil {
		h.line = make([]byte, 0, maxKeptLine)
	}
	if len(h.line) < maxKeptLine {
		h.line = append(h.line, b)
	}
}

// beginLine reads the first byte of a line behind the status line.
func (h *head) beginLine(b byte) error {
	switch b {
	case '\n':
		h.end()
	case '\r':
		h.state = inLastLine
	default:
		h.state = inName
		h.line = h.line[:0]
		return h.readName(b)
	}
	return nil
}

// readName reads the next byte of a field's name. A line that begins with a blank has none:
// it would be the continuation of the line before, which HTTP/1.1 no longer allows.
func (h *head) readName(b byte) error {
	switch {
	case b == ':' && len(h.line) > 0:
		h.state = inValue
	case !isNameByte(b):
		return headError(fmt.Sprintf("byte %q in the name of a field, behind %q", b, h.line))
	default:
		h.keep(b)
	}
	return nil
}

// isNameByte reports whether the name of a field may hold a byte.
func isNameByte(b byte) bool {
	isLetter := 'a' <= b|0x20 && b|0x20 <= 'z'
	isDigit := '0' <= b && b <= '9'
	return isLetter || isDigit || strings.IndexByte(nameBytes, b) >= 0
}

// end ends the head.
func (h *head) end() {
	if h.interim {
		*h = head{}
		return
	}
	h.state = behindHead
}

// parseStatusLine returns the status of a status line of HTTP/1, a final one or that of an
// interim answer. No request asks to switch protocols, so a status of 101 is none.
func parseStatusLine(line string) (int, error) {
	version, rest, _ := strings.Cut(line, " ")
	major, _, ok := http.ParseHTTPVersion(version)
	if !ok || major != 1 {
		return 0, headError(fmt.Sprintf("status line %q is not of HTTP/1", line))
	}
	text, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	status, err := strconv.ParseUint(text, 10, 16)
	if err != nil || len(text) != statusDigits || status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return 0, headError(fmt.Sprintf("status %q is none of an answer", text))
	}
	return int(status), nil
}

func headError(cause string) error {
	return &Error{Op: "answer.head", Kind: sesamepitch.KindCrashed, Err: errors.New(cause)}
}
