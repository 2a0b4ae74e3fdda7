package store

// expiryQueue is a binary heap of keys with the earliest expiry first. A key has one entry for each of its records that was written.
type expiryQueue []expiry

// expiry is an entry of the queue.
type expiry struct {
	expiresAt int64  // store time in ms at which the record expires
	key       string // key of the record
}

// push adds an entry.
func (e *expiryQueue) push(expiresAt int64, key string) {
	*e = append(*e, expiry{expiresAt, key})
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

// pop removes the first entry and returns its key, if it has expired at the store time now in ms. Otherwise it returns false.
func (e *expiryQueue) pop(now int64) (key string, ok bool) {
	heap := *e
	if len(heap) == 0 || heap[0].expiresAt > now {
		return "", false
	}
	key = heap[0].key
	last := len(heap) - 1
	heap[0] = heap[last]
	heap[last] = expiry{} // allows the garbage collector to free the key
	heap = heap[:last]
	heap.siftDown()
	*e = heap
	return key, true
}

// siftDown moves the first entry towards the leaves until the heap is ordered again.
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
