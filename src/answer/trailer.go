package answer

import (
	"fmt"
	"io"
	"net"
	"net/http"
)

// trailerReader is a body whose end fails if its trailers have names that no field has.
type trailerReader struct {
	io.ReadCloser
	response *http.Response
	conn     net.Conn
}

// Read implements io.Reader.
func (r trailerReader) Read(b []byte) (int, error) {
	n, err := r.ReadCloser.Read(b)
	if err != io.EOF {
		return n, err
	}
	// net/http has decoded the trailers by now.
	for name := range r.response.Trailer {
		if !isName(name) {
			_ = r.conn.Close()
			return n, headError(fmt.Sprintf("a trailer is named %q", name))
		}
	}
	return n, io.EOF
}

// isName reports whether a field may have a name.
func isName(name string) bool {
	for i := range len(name) {
		if !isNameByte(name[i]) {
			return false
		}
	}
	return name != ""
}
