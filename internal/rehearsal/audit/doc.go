// Package audit judges a rehearsal from what was seen on its sockets: the four rules with their figures, the service that callers
// got, wasted work, and whether the emulator itself kept up. It does no I/O. Each part of a rehearsal adds events to a Log, on one
// clock that is 0 when callers begin to come; Judge and Totals read them at the end.
//
//	callers, servers, discovery ──► Log ──► Judge(Rules) ──► Verdict
//	                                   └──► Totals(Rules) ─► FleetTotals
//
// A run in which the emulator was late too often, or whose events were not all kept, is void: it says nothing of the sidecar.
// Breaches at a time in which the emulator was late don't count.
package audit
