// Package audit judges a rehearsal by the events that were observed on its sockets. It checks the four rules, and measures the
// service that callers got, the work that was wasted, and whether the emulator itself was on time. It does no I/O. Each part of a
// rehearsal adds events to a Log. All event times are relative to the start of the callers. Judge and Totals read the events at the
// end of the run.
//
//	callers, servers, discovery ──► Log ──► Judge(Rules) ──► Verdict
//	                                   └──► Totals(Rules) ─► FleetTotals
//
// A run is void if the emulator was late too often or if the log dropped events: its verdict then says nothing about the sidecars.
// Breaches at times when the emulator was late don't count.
package audit
