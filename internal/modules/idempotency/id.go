package idempotency

import (
	"crypto/sha256"
	"encoding/binary"

	"quincegap/internal/balancer"
)

// ID identifies a request and its repeats. It is a digest of the Idempotency-Key or, without one, of the request's own id, because
// keys may contain personal data, which must not be readable on a disk. The first byte is the kind of the digest.
type ID [17]byte

// The kinds of digests. The values are on disks.
const (
	ofKey       = 'k'
	ofRequestID = 'r'
)

// KeyedID returns the ID of a request of a class with an Idempotency-Key.
func KeyedID(class, key string) ID { return digest(ofKey, class, key) }

// RequestID returns the ID of a request without a key, which is repeated only if its caller sends it again with the same id.
func RequestID(class string, id balancer.RequestID) ID {
	return digest(ofRequestID, class, string(id))
}

func digest(kind byte, class, text string) (id ID) {
	h := sha256.New()
	var size [4]byte
	binary.BigEndian.PutUint32(size[:], uint32(len(class))) // so that no two pairs of texts hash the same bytes
	h.Write(size[:])
	h.Write([]byte(class))
	h.Write([]byte(text))
	id[0] = kind
	copy(id[1:], h.Sum(nil))
	return id
}
