// Package idempotency keeps a table of the requests that may have run. The table survives a crash of its sidecar, so that the process
// that follows does not run a request again that is not idempotent, and sends one with an idempotency key to where a repeat is
// recognised.
//
// The package does no I/O. It returns what has to be on disk before an attempt is sent and after it has ended, and is given the
// content of the disk at a start:
//
//	Lookup ──► BeginAttempt ──► write the entry ──► MarkDurable ──► send the attempt ──► EndAttempt
//	                                                                                         │
//	              NoChange: the record on disk is still correct, or errs on the safe side ◄──┤
//	              PutEntry: the request was served; write the entry again ◄──────────────────┤
//	              DeleteEntry: no attempt has run; delete the entry ◄────────────────────────┘
//
// Times are durations on a clock of the caller that never goes back. Entries expire after their retention.
//
// What it does not do: it neither sends nor rejects requests, and it does not merge requests of the same key that are in flight at
// the same time. A Table is not safe for concurrent use.
package idempotency
