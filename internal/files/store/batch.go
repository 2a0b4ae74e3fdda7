package store

import "time"

// Batch is a number of changes that become durable together or not at all. The zero value is an empty one.
type Batch struct {
	records  []frame
	size     int64 // bytes of the records on the disk
	maxDelay time.Duration
}

// SetMaxDelay says that nobody waits for the batch: it is written with the next one that somebody does wait for, and causes a
// sync of its own only if there is none within that time. Until then a loss of power or a crash loses it.
func (b *Batch) SetMaxDelay(d time.Duration) { b.maxDelay = d }

// Put adds a record that expires after retention, or never where that is 0. Key and value must not change until the batch has
// been applied.
func (b *Batch) Put(key, value []byte, retention time.Duration) {
	b.add(frame{kind: kindPut, key: key, value: value, expiresAt: retention.Milliseconds()}, minPutBytes)
}

// Delete adds the deletion of a record. It is no error if there is none.
func (b *Batch) Delete(key []byte) { b.add(frame{kind: kindDelete, key: key}, minDeleteBytes) }

func (b *Batch) add(f frame, fixedBytes int) {
	b.records = append(b.records, f)
	b.size += int64(fixedBytes + len(f.key) + len(f.value))
}

// checkSizes returns ErrRecordSize where a key or value is out of bounds.
func (b *Batch) checkSizes() error {
	for i := range b.records {
		record := &b.records[i]
		if len(record.key) == 0 || len(record.key) > MaxKeyBytes || len(record.value) > MaxValueBytes {
			return ErrRecordSize
		}
	}
	return nil
}

// growth returns how many records and bytes a batch adds to an index. What a record supersedes is subtracted.
func (b *Batch) growth(x *index) (records int, bytes int64) {
	for i := range b.records {
		f := &b.records[i]
		if f.kind != kindPut {
			continue // what it frees is free once it is durable
		}
		records++
		bytes += int64(minPutBytes + len(f.key) + len(f.value))
		if old, ok := x.locations[string(f.key)]; ok {
			records--
			bytes -= int64(old.size)
		}
	}
	return records, bytes
}
