// Package store is a durable key-value store: a write that it has acknowledged survives a crash of the process and a loss of power.
// It is a log in segments, with an index in memory and compaction. Only one process can have a store open; within it any number
// of goroutines may read and write. docs/design/store.md gives the reasons of the design, docs/design/store-format.md describes the
// format on the disk.
//
// # Writing
//
// Apply puts a batch into a queue. One goroutine, the committer, takes all batches from the queue, appends them to the active
// segment, syncs the file once, adds the records to the index and acknowledges the batches (group commit). A batch becomes durable
// as a whole or not at all. Get and Range return only durable records.
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
// The oldest segments are removed first, and the removal of each is durable before the next one is removed. Otherwise a deleted
// record could return because the segment with its deletion was removed earlier than the one with the record.
//
// # Time
//
// Records expire by the store time, in milliseconds. It starts as Unix time and advances with the uptime of the machine, so that
// setting the wall clock does not change it. For the time in which the machine is off, it follows the wall clock, unless that was
// set back. It never decreases.
//
// # What it does not do
//
// There are no transactions over reads, no key ranges and no snapshots. All keys are in memory, and opening or inspecting a store
// reads each segment into memory as a whole.
package store
