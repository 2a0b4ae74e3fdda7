package store

import "time"

// Batch is a set of changes that become durable as a whole or not at all. The zero value is an empty batch.
type Batch struct {
	records  []frame // expiresAt holds the retention until the committer encodes the batch
	size     int64   // bytes of the records on the disk
	maxDelay time.Duration
}

// SetMaxDelay allows the store to delay the batch, to save a sync: it is written together with the next batch without a delay, and
// by itself only after d. Until then, a crash or a loss of power loses it. The default of 0 is no delay.
func (b *Batch) SetMaxDelay(d time.Duration) { b.maxDelay = d }

// Put adds a record that expires after retention, or never if that is 0. Key and value must not change until the batch has been
// applied.
func (b *Batch) Put(key, value []byte, retention time.Duration) {
	b.add(frame{kind: kindPut, key: key, value: value, expiresAt: retention.Milliseconds()}, minPutBytes)
}

// Delete adds the deletion of a record. It is no error if there is none.
func (b *Batch) Delete(key []byte) { b.add(frame{kind: kindDelete, key: key}, minDeleteBytes) }

// add adds a record. fixedBytes is its size on the disk without key and value.
func (b *Batch) add(f frame, fixedBytes int) {
	b.records = append(b.records, f)
	b.size += int64(fixedBytes + len(f.key) + len(f.value))
}

// checkSizes returns ErrRecordSize if the size of a key or value is out of bounds.
func (b *Batch) checkSizes() error {
	for i := range b.records {
		record := &b.records[i]
		if len(record.key) == 0 || len(record.key) > MaxKeyBytes || len(record.value) > MaxValueBytes {
			return ErrRecordSize
		}
	}
	return nil
}

// growth returns how many records and bytes a batch adds to an index, minus those of the records that it supersedes.
func (b *Batch) growth(x *index) (records int, bytes int64) {
	for i := range b.records {
		f := &b.records[i]
		if f.kind != kindPut {
			continue // a deletion frees its record only once it is durable
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
