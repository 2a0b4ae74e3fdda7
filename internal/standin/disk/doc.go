// Package disk stands in for a directory on a disk with faults: it loses what was not synced, tears writes, makes unsynced changes durable
// in any order, fills up, fails a sync once, reads less than was asked for and flips bits. It implements store.FS, for tests.
//
// Each file has two contents: what processes see, and what is durable. A sync makes the former the latter; a sync of the directory does
// the same for names. AfterPowerLoss, AfterCrash and CutAt return the disk as a later process may find it:
//
//	AfterCrash      all that processes saw: only the process ended
//	AfterPowerLoss  what is durable, and at random some, all or none of the rest
//	CutAt           all up to one byte or change of a name, for tests that go through a run step by step
package disk
