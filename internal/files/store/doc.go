// Package store is a durable key-value store: a write that it has acknowledged survives a crash of the process and a loss of power.
// It is an append-only log in segment files, with an index in memory and compaction. Only one process can have a store open; any
// number of its goroutines may read and write. docs/design/store.md explains the design, and docs/design/store-format.md describes
// the on-disk format.
//
// # Writing
//
// Apply adds a batch to a queue. One goroutine, the committer, takes all batches from the queue, appends them to the active segment,
// syncs the file once, adds the records to the index and acknowledges the batches (group commit). A batch is atomic: either all of
// its records become durable or none. Get and Range return only durable records.
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
// The oldest segments are removed first, and each removal is durable before the next segment is removed. Otherwise a deleted record
// could reappear because the segment with its deletion was removed before the segment with the record.
//
// # Time
//
// Records expire by the store time, in milliseconds. It starts as Unix time and advances with the uptime of the machine, so that
// setting the wall clock does not change it. After a reboot it is set to the wall clock, unless that is behind the store time. The
// store time never decreases.
//
// # Limitations
//
// There are no transactions that include reads, no key ranges and no snapshots. All keys are in memory, and opening or inspecting a
// store reads one complete segment at a time into memory.
package store
