// Package logging keeps a process's log in a ring in memory, and writes it out when a fault is logged. So the entries before a fault can
// be read, at all levels, and the processor time for writing all others is saved.
//
// An entry of level error, or a more severe one, dumps the ring at once. A warning does so too, unless another dump for an entry was within
// the last ten seconds. Entries that were written out are removed from the ring. Callers must not log keys or bodies.
//
// The package does not rotate or ship logs: out is the process's standard error.
package logging
