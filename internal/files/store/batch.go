package store

import "time"

// Batch is an atomic set of changes: either all of them become durable or none. The zero value is an empty batch.
type Batch struct {
	records  []frame       // changes in order; expiresAt is the retention in ms until the committer encodes the batch
	size     int64         // encoded size of the records in bytes
	maxDelay time.Duration // see SetMaxDelay
}

// SetMaxDelay allows the store to delay the batch by up to d, to save a sync: the batch is written together with the next batch that
// has no delay, or by itself after d. Until it is written, a crash or a loss of power loses it. The default of 0 means no delay.
func (b *Batch) SetMaxDelay(d time.Duration) { b.maxDelay = d }

// Put adds a record that expires after retention, or never if retention is 0. The caller must not modify key and value until the
// batch has been applied.
func (b *Batch) Put(key, value []byte, retention time.Duration) {
	b.add(frame{kind: kindPut, key: key, value: value, expiresAt: retention.Milliseconds()}, minPutBytes)
}

// Delete adds the deletion of the record of a key. It is no error if the key has no record.
func (b *Batch) Delete(key []byte) { b.add(frame{kind: kindDelete, key: key}, minDeleteBytes) }

// add adds a record. fixedBytes is its encoded size without key and value.
func (b *Batch) add(f frame, fixedBytes int) {
	b.records = append(b.records, f)
	b.size += int64(fixedBytes + len(f.key) + len(f.value))
}

// checkSizes returns ErrRecordSize if a key is empty, or if a key or value is too long.
func (b *Batch) checkSizes() error {
	for i := range b.records {
		record := &b.records[i]
		if len(record.key) == 0 || len(record.key) > MaxKeyBytes || len(record.value) > MaxValueBytes {
			return ErrRecordSize
		}
	}
	return nil
}

// growth returns how many records and bytes a batch adds to an index, minus those of the records that it supersedes. Deletions count
// as no change.
func (b *Batch) growth(x *index) (records int, bytes int64) {
	for i := range b.records {
		f := &b.records[i]
		if f.kind != kindPut {
			continue // a deletion frees space only once it is durable
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
