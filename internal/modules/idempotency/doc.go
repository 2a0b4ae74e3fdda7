// Package idempotency keeps a table of the requests that may have run. The table survives a crash of its sidecar. The next process
// therefore does not repeat a request that is not idempotent, and sends one with an idempotency key to where a repeat is recognised.
//
// The package does no I/O. It returns the entries that the caller has to write to disk before an attempt is sent and after it has ended.
// At a start the caller restores the entries that are on disk:
//
//	Lookup ──► BeginAttempt ──► write the entry ──► MarkDurable ──► send the attempt ──► EndAttempt
//	                                                                                         │
//	              NoChange: the record on disk is still correct, or is on the safe side ◄────┤
//	              PutEntry: the request was served; write the entry again ◄──────────────────┤
//	              DeleteEntry: no attempt has run; delete the entry ◄────────────────────────┘
//
// Times are durations on a clock of the caller that never goes back. Entries expire at the end of their retention.
//
// The package neither sends nor rejects requests, and does not merge requests with the same key that are in flight at the same time. A
// Table is not safe for concurrent use.
package idempotency
