// Package emulator has models of booking servers: what a server does with the work that it is sent. It does no I/O and reads no
// clock: each call carries the time, counted from any start, and no call may carry an earlier one than the call before. The same
// calls give the same answers.
//
// A Server is offered a job (Offer), says when it wants to be looked at next (Next), and which jobs have ended their work when it
// is (Advance). A job that waits for somebody else (a call to the next tier) keeps its slot until it goes on (Resume) or leaves
// (Release).
//
//	Offer ─► queued ─► working ─► blocked ─► Release
//	  │        │          ▲  │       │
//	  │        │          └──┼─Resume┘
//	  ▼        ▼             ▼
//	Rejected  expired     orphaned (cancelled, where work is not stopped)
//
// Cores are shared evenly by the jobs that work (processor sharing). Work is in seconds of one core of speed 1.
package emulator
