package sesamepitch

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// KeyHash returns the hex SHA-256 of a caller's key, the only form in which a
// key is stored or sent.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Digest returns the hex SHA-256 of content.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Fingerprint returns a short content hash that tells equal requests apart
// from different ones.
func Fingerprint(parts ...string) string {
	h := xxhash.New()
	for _, part := range parts {
		_, _ = h.WriteString(strconv.Itoa(len(part)))
		_, _ = h.WriteString(":")
		_, _ = h.WriteString(part)
	}
	return strconv.FormatUint(h.Sum64(), 16)
}

// Rank is the rendezvous hash of a member for a name; the member with the
// highest rank owns the name.
func Rank(member, name string) uint64 {
	return xxhash.Sum64String(member + "\x00" + name)
}
