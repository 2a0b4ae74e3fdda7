// Package eventfeed serves a feed of events over HTTP: as JSON lines, or as server-sent events to clients that accept those. It does not
// keep events; a Source does. Each reader has a cursor, so that a slow reader misses only events that are no longer kept.
package eventfeed
