// Package emulator models booking servers. It does no I/O and reads no clock: each call has the time as an argument, counted from any
// start, which must not be earlier than that of the call before. The same calls give the same results.
//
// The caller offers jobs to a Server (Offer), asks when its state changes next (Next), and advances it to that time, which returns the
// jobs whose work has ended (Advance). A job that waits for a call to the next tier keeps its slot until it goes on (Resume) or is
// removed (Release).
//
//	Offer ─► queued ─► working ─► blocked ─► Release
//	  │        │          ▲  │       │
//	  │        │          └──┼─Resume┘
//	  ▼        ▼             ▼
//	Rejected  expired     orphaned (cancelled, where work is not stopped)
//
// Cores are shared evenly by the jobs that work (processor sharing). Work is in seconds of one core of speed 1.
package emulator
