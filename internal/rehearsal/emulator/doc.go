// Package emulator models booking servers. It does no I/O and reads no clock: calls take the current time as an argument. Times may
// count from any start, but must never decrease. The same calls give the same results.
//
// The caller offers jobs to a Server (Offer), asks for the time of its next state change (Next), and advances it to that time
// (Advance), which returns the jobs whose work has ended. A job that waits for a call to the next tier keeps its slot until it is
// resumed (Resume) or removed (Release).
//
//	Offer ─► queued ─► working ─► blocked ─► Release
//	  │        │          ▲  │       │
//	  │        │          └──┼─Resume┘
//	  ▼        ▼             ▼
//	Rejected  expired     orphaned (cancelled, where work is not stopped)
//
// The working jobs share the cores equally (processor sharing). Work is measured in seconds of one core of speed 1.
package emulator
