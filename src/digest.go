package sesamepitch

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// KeyHash returns the hex SHA-256 of a caller's API key, the only form in which
// a key is stored or sent.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Digest returns the hex SHA-256 of content.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Fingerprint returns a 64-bit hash of parts in hex; equal requests have the same
// fingerprint. Each part is prefixed by its length, so that parts of different
// lengths cannot yield the same input.
func Fingerprint(parts ...string) string {
	h := xxhash.New()
	for _, part := range parts {
		_, _ = h.WriteString(strconv.Itoa(len(part)))
		_, _ = h.WriteString(":")
		_, _ = h.WriteString(part)
	}
	return strconv.FormatUint(h.Sum64(), 16)
}

// Rank returns the rendezvous hash of a member for a name; the member with the
// highest rank owns the name.
func Rank(member, name string) uint64 {
	return xxhash.Sum64String(member + "\x00" + name)
}
