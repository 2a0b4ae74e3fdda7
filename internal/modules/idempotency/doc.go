// Package idempotency remembers which requests may have run, so that what a sidecar knew when it died still binds the one that
// follows it: a request that is not idempotent is not run twice, and one with an idempotency key goes where its repeats are
// recognized.
//
// It does no I/O. It says what has to be on disk before an attempt goes out and after it has ended, and is given at a start what
// is there:
//
//	Lookup ──► BeginAttempt ──► the entry is written ──► MarkDurable ──► the attempt goes out ──► EndAttempt
//	                                                                                                 │
//	              NoChange: the disk says it already, or more than that, which is safe ◄─────────────┤
//	              PutEntry: it was served; the entry is written again ◄──────────────────────────────┤
//	              DeleteEntry: no attempt has run; the entry is deleted ◄────────────────────────────┘
//
// Times are durations on one clock of the caller's, that never goes back. Entries are forgotten after their retention.
package idempotency
