// Package eventlog follows the mesh's feed of events for other tools, and keeps a copy of it on disk: a tool's cursor outlives restarts of
// the tool, of the event log and of the core process that it follows.
//
//	core process ──GET /events?follow=1──> Follower ──> Log (on disk) ──> eventfeed ──> tools
//
// A Log numbers events anew and keeps the newest ones in a ring of records, with a record (the head) of how far it has come with the core
// process. Follower follows one core process at a time: the same one again after an interruption, the next one if that can't be reached.
// Where events may be missing, as another core process has seen others in another order, the log has an event of kind events.Gap.
//
// The package neither serves the log (package eventfeed does) nor writes files itself (a Store does).
package eventlog
