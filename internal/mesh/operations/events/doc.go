// Package events defines the feed of changes in the mesh that other tools read: the events, their encodings, and a ring buffer that
// retains the newest events in order. It does no I/O: package eventfeed serves a feed over HTTP, and package eventlog stores a copy of a
// feed on disk.
//
// A reader has a cursor: the incarnation of the feed and the number of the last event that it has read. If events after the cursor have
// been discarded, or the cursor belongs to another feed, the reader first gets an event of kind Gap. Events are never omitted without one.
//
//	retained:       4 5 6 7 8
//	cursor at 5  -> 6 7 8
//	cursor at 1  -> gap 4 5 6 7 8
//	no cursor    -> 4 5 6 7 8
//
// A Feed is not safe for concurrent use.
package events
