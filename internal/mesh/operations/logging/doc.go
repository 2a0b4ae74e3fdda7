// Package logging buffers the log of a process in a ring in memory, and writes the buffer out when a warning or an error is logged. The log
// thus has the entries of all levels that precede a fault, and no processor time is spent on formatting and writing the other entries.
//
// An entry of level error, or of a more severe level, dumps the ring at once. A warning dumps it too, unless an entry has caused a dump
// within the last ten seconds. Entries that were written out are removed from the ring. Callers must not log keys or bodies.
//
// The package does not rotate or ship logs: processes dump the ring to standard error.
package logging
