package store

// expiryQueue is a binary heap of keys by when a record of theirs expires. A key that is written again is in it again.
type expiryQueue []expiry

type expiry struct {
	expiresAt int64
	key       string
}

func (e *expiryQueue) push(at int64, key string) {
	*e = append(*e, expiry{at, key})
	heap := *e
	for i := len(heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if heap[i].expiresAt >= heap[parent].expiresAt {
			break
		}
		heap[i], heap[parent] = heap[parent], heap[i]
		i = parent
	}
}

// pop removes a key that has expired; false where there is none.
func (e *expiryQueue) pop(now int64) (key string, ok bool) {
	heap := *e
	if len(heap) == 0 || heap[0].expiresAt > now {
		return "", false
	}
	key = heap[0].key
	last := len(heap) - 1
	heap[0] = heap[last]
	heap[last] = expiry{} // lets go of the key
	heap = heap[:last]
	heap.siftDown()
	*e = heap
	return key, true
}

// siftDown moves the first entry to its place.
func (e expiryQueue) siftDown() {
	for i := 0; ; {
		child := 2*i + 1
		if child >= len(e) {
			return
		}
		if child+1 < len(e) && e[child+1].expiresAt < e[child].expiresAt {
			child++
		}
		if e[i].expiresAt <= e[child].expiresAt {
			return
		}
		e[i], e[child] = e[child], e[i]
		i = child
	}
}
