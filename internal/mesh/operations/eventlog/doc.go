// Package eventlog follows the mesh's feed of events for other tools, and keeps a copy of it on disk. So a tool's cursor remains valid when
// the tool, the event log or the core process that it follows restarts.
//
//	core process ──GET /events?follow=1──> Follow ──> Log (on disk) ──> eventfeed ──> tools
//
// A Log gives events numbers of its own, and keeps the newest ones in a ring of records. Another record, the head, has the cursor at the
// core process. Follow follows one core process at a time: the same one again after an interruption, the next one if that can't be reached.
// Where events may be missing, since another core process has observed others in another order, the log has an event of kind events.Gap.
//
// The package does not serve the log (package eventfeed does), and writes no files itself (a Store does).
package eventlog
