package idempotency

import (
	"crypto/sha256"
	"encoding/binary"

	"quincegap/internal/balancer"
)

// ID names a request over its repeats: what its Idempotency-Key, or for want of one its own id, comes to. Keys may
// tell of people and are not to be read off a disk, so it is a digest. The first byte says what it is the digest of.
type ID [17]byte

// What an ID is the digest of. The values are on disks.
const (
	ofKey       = 'k'
	ofRequestID = 'r'
)

// KeyedID is the ID of a request of a class with an Idempotency-Key.
func KeyedID(class, key string) ID { return digest(ofKey, class, key) }

// RequestID is the ID of a request that has no key: it comes again only where somebody sends the very same again.
func RequestID(class string, id balancer.RequestID) ID {
	return digest(ofRequestID, class, string(id))
}

func digest(of byte, class, text string) (id ID) {
	h := sha256.New()
	var size [4]byte
	binary.BigEndian.PutUint32(size[:], uint32(len(class))) // so that no two pairs read the same
	h.Write(size[:])
	h.Write([]byte(class))
	h.Write([]byte(text))
	id[0] = of
	copy(id[1:], h.Sum(nil))
	return id
}
