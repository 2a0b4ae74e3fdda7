package store

// expiryQueue is a binary heap of keys, the earliest expiry of a record first. A key has an entry for each record that was written
// for it.
type expiryQueue []expiry

// expiry is the store time in ms at which a record expires, with its key.
type expiry struct {
	expiresAt int64
	key       string
}

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

// pop removes the first entry and returns its key, if the entry has expired. It returns false otherwise.
func (e *expiryQueue) pop(now int64) (key string, ok bool) {
	heap := *e
	if len(heap) == 0 || heap[0].expiresAt > now {
		return "", false
	}
	key = heap[0].key
	last := len(heap) - 1
	heap[0] = heap[last]
	heap[last] = expiry{} // allows the key to be collected
	heap = heap[:last]
	heap.siftDown()
	*e = heap
	return key, true
}

// siftDown moves the first entry towards the leaves until the heap is in order.
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
