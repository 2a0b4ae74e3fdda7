// Package events defines the feed of changes in the mesh, for other tools: the events, their encodings, and a ring that keeps the newest
// ones in order. It does no I/O; package eventfeed serves a feed over HTTP, package eventlog keeps a copy of one on disk.
//
// A reader has a cursor: the incarnation of the feed and the number of the last event that it has read. If it has missed events that are
// not kept any more, or its cursor is of another feed, it gets an event of kind Gap first: events are never omitted without one.
//
//	kept:           4 5 6 7 8
//	cursor at 5  -> 6 7 8
//	cursor at 1  -> gap 4 5 6 7 8
//	no cursor    -> 4 5 6 7 8
//
// A Feed is not safe for concurrent use.
package events
