// Package events is a feed of what has changed in the mesh, in order, for other tools: the events, their text forms, and a ring that keeps
// the newest ones. It does no I/O; package eventfeed serves a feed over HTTP, package eventlog keeps a copy of one on disk.
//
// A reader holds a cursor: the incarnation of the feed and the number of the last event that it has read. Where it has missed events that
// are no longer kept, or its cursor is of another feed, it gets an event of kind Gap that says so: nothing is left out without a word.
//
//	kept:           4 5 6 7 8
//	cursor at 5  -> 6 7 8
//	cursor at 1  -> gap 4 5 6 7 8
//	no cursor    -> 4 5 6 7 8
//
// A Feed is not safe for use from several goroutines: its owner has a lock.
package events
