package store

// index maps each key to the location of its latest record. The store's mutex guards it.
type index struct {
	locations   map[string]location // location of the latest record by key
	liveBytes   int64               // encoded size in bytes of all records in locations
	expirations expiryQueue         // expiry times of records, including some superseded ones
}

// location describes where a record is on the disk.
type location struct {
	segment   *segment // segment that contains the record
	seq       uint64   // sequence number of the record
	expiresAt int64    // store time in ms at which the record expires
	offset    uint32   // offset of the frame in the segment, in bytes
	size      uint32   // size of the frame in bytes
}

// newIndex returns an empty index with preallocated memory for a number of records.
func newIndex(capacity uint64) index {
	return index{locations: make(map[string]location, capacity)}
}

// add adds a record of a segment, unless a later record of its key is known. It updates the record count, the live bytes and the
// expiry times of the segments.
func (x *index) add(seg *segment, record *frame, offset, size uint32) {
	seg.records++
	key := string(record.key)
	old, superseded := x.locations[key]
	if superseded && old.seq > record.seq {
		return
	}
	if superseded {
		x.subtractLiveBytes(old)
		if old.segment != seg {
			seg.supersededExpiresAt = max(seg.supersededExpiresAt, old.expiresAt)
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

// subtractLiveBytes subtracts the size of a record that is no longer live.
func (x *index) subtractLiveBytes(old location) {
	old.segment.liveBytes -= int64(old.size)
	x.liveBytes -= int64(old.size)
}

// scheduleExpiry adds the expiry of a key's latest record to the queue. The entries of superseded records remain in the queue, which
// is rebuilt without them once it has more than 1000 entries above twice the number of live records.
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

// dropExpired removes the records that have expired at the store time now in ms.
func (x *index) dropExpired(now int64) {
	for {
		key, ok := x.expirations.pop(now)
		if !ok {
			return
		}
		if l, ok := x.locations[key]; ok && l.expiresAt <= now {
			x.subtractLiveBytes(l)
			delete(x.locations, key)
		}
	}
}

// relocate sets the location of a record that was copied to another segment, unless the record was superseded or removed meanwhile.
func (x *index) relocate(key string, to location) {
	old, ok := x.locations[key]
	if !ok || old.seq != to.seq {
		return
	}
	x.locations[key] = to
	to.segment.liveBytes += int64(to.size)
	x.liveBytes += int64(to.size) - int64(old.size)
}
