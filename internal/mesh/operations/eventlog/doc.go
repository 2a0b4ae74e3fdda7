// Package eventlog follows the mesh's feed of events for other tools, and stores a copy of it on disk. The cursor of a tool therefore
// remains valid when the tool, the event log or the followed core process restarts.
//
//	core process ──GET /events?follow=1──> Follow ──> Log (on disk) ──> eventfeed ──> tools
//
// A Log assigns its own numbers to events, and retains the newest ones in a ring of records. One more record, the head, has the position
// of the log in the feed of the core process. Follow follows one core process at a time: after an interruption it tries the same process
// again, and if that process can't be reached, the next one. Another core process observes other events, in another order. Events may thus
// be missing where the log changes to another process; the log has an event of kind events.Gap there.
//
// The package neither serves the log over HTTP (package eventfeed does) nor writes files itself (a Store does).
package eventlog
