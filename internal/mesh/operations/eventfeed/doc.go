// Package eventfeed serves a feed of events over HTTP: as JSON lines, or as server-sent events to clients that accept them. It stores no
// events; it reads them from a Source. Each reader has its own cursor, so that a slow reader misses only events that the source has
// discarded.
package eventfeed
