package store

// index has the location of the latest record of each key. The store's mutex guards it.
type index struct {
	locations   map[string]location // by key
	liveBytes   int64               // bytes on the disk of all records in locations
	expirations expiryQueue
}

// location is the location of a record on the disk.
type location struct {
	segment   *segment
	seq       uint64
	expiresAt int64  // in ms of store time
	offset    uint32 // in the segment, in bytes
	size      uint32 // of the frame, in bytes
}

// newIndex returns an empty index with memory for a number of records.
func newIndex(capacity uint64) index {
	return index{locations: make(map[string]location, capacity)}
}

// add adds a record of a segment, unless a later one of its key is known. It updates what the segment counts.
func (x *index) add(seg *segment, record *frame, offset, size uint32) {
	seg.records++
	key := string(record.key)
	old, superseded := x.locations[key]
	if superseded && old.seq > record.seq {
		return
	}
	if superseded {
		x.forget(old)
		if old.segment != seg {
			seg.shadowedUntil = max(seg.shadowedUntil, old.expiresAt)
		}
	}
	if record.kind == kindDelete {
		if superseded {
			delete(x.locations, key)
		}
		return
	}
	seg.expiresAt = max(seg.expiresAt, record.expiresAt)
	seg.liveBytes += int64(size)
	x.liveBytes += int64(size)
	x.locations[key] = location{seg, record.seq, record.expiresAt, offset, size}
	if record.expiresAt != never {
		x.scheduleExpiry(key, record.expiresAt)
	}
}

// forget subtracts the bytes of a record that is not live any more.
func (x *index) forget(old location) {
	old.segment.liveBytes -= int64(old.size)
	x.liveBytes -= int64(old.size)
}

// scheduleExpiry adds the expiry of a key's latest record. The entries of superseded records stay in the queue, which is rebuilt once
// they are most of it.
func (x *index) scheduleExpiry(key string, at int64) {
	if len(x.expirations) <= 2*len(x.locations)+1000 {
		x.expirations.push(at, key)
		return
	}
	x.expirations = x.expirations[:0]
	for key, l := range x.locations {
		x.expirations.push(l.expiresAt, key)
	}
}

// dropExpired removes the records that have expired at a store time in ms.
func (x *index) dropExpired(now int64) {
	for {
		key, ok := x.expirations.pop(now)
		if !ok {
			return
		}
		if l, ok := x.locations[key]; ok && l.expiresAt <= now {
			x.forget(l)
			delete(x.locations, key)
		}
	}
}

// relocate sets the location of a record that was copied to another segment, unless a later one of its key is known meanwhile.
func (x *index) relocate(key string, to location) {
	old, ok := x.locations[key]
	if !ok || old.seq != to.seq {
		return
	}
	x.locations[key] = to
	to.segment.liveBytes += int64(to.size)
	x.liveBytes += int64(to.size) - int64(old.size)
}
