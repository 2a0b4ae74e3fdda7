// Package store is a key-value store on a disk. A write that it has acknowledged is there after a crash of the process or a
// loss of power. It is a log in segments, with an index in memory and compaction. One process opens a store at a time; within
// it any number of goroutines read and write. docs/design/store.md says why it is built so, docs/design/store-format.md what
// is on the disk.
//
// # Writing
//
// Apply puts a batch into a queue. One goroutine, the committer, takes all batches that wait, appends them to the segment that
// is active, syncs the file once, adds the records to the index and acknowledges the batches (group commit). A batch is
// durable together or not at all. Get and Range return durable records only.
//
// # Segments
//
//	          first write               SegmentBytes reached, or Close
//	created ───────────────▶ active ─────────────────────────────────▶ sealed
//	                           │                                          │ no live record,
//	                           │ a write or sync failed                   │ or compacted
//	                           ▼                                          ▼
//	                        abandoned ───────────────────────────────▶ obsolete ──▶ removed, or renamed
//	                        (read, never written again)                             to *.damaged
//
// The oldest segments go first, and each is gone for good before the next goes: otherwise a record could come back whose
// deletion stood in a segment that is no longer there.
//
// # Time
//
// Records expire by the time of the store, in milliseconds. It starts as Unix time and then runs with the uptime of the
// machine, so that setting the wall clock doesn't change it; while the machine is off, the wall clock counts, unless it was
// set back.
//
// # What it does not do
//
// It has no transactions over reads, no ranges of keys and no snapshots. All keys are in memory, and a segment is read into
// memory as a whole when a store is opened or inspected.
package store
