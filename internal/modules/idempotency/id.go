package idempotency

import (
	"crypto/sha256"
	"encoding/binary"

	"quincegap/internal/balancer"
)

// ID identifies a request and its repeats. It is a digest of the Idempotency-Key or, without one, of the request's own id. A digest is
// used because keys may contain personal data, which must not be readable on a disk. The first byte is the kind of the digest.
type ID [17]byte

// The kinds of digests. Their values are stored on disk.
const (
	kindKey       = 'k'
	kindRequestID = 'r'
)

// KeyedID returns the ID of a request of a class with an Idempotency-Key.
func KeyedID(class, key string) ID { return digest(kindKey, class, key) }

// RequestID returns the ID of a request without an Idempotency-Key, which is recognised as a repeat only if its caller sends it again
// with the same id.
func RequestID(class string, id balancer.RequestID) ID {
	return digest(kindRequestID, class, string(id))
}

func digest(kind byte, class, text string) (id ID) {
	h := sha256.New()
	var size [4]byte
	binary.BigEndian.PutUint32(size[:], uint32(len(class))) // ensures that no two pairs of class and text hash the same bytes
	h.Write(size[:])
	h.Write([]byte(class))
	h.Write([]byte(text))
	id[0] = kind
	copy(id[1:], h.Sum(nil))
	return id
}
