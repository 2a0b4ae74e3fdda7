// Package disk simulates a directory on a faulty disk. It loses data that was not synced, tears writes, makes unsynced changes durable
// in any order, runs out of space, fails syncs, returns short reads and flips bits. It implements store.FS, for tests.
//
// Each file has two contents: the one that processes see, and the durable one. A sync of the file copies the first to the second; a sync
// of the directory does the same for names. AfterPowerLoss, AfterCrash and CutAt return the disk in the state that a later process may
// find:
//
//	AfterCrash      everything that processes saw: only the process ended
//	AfterPowerLoss  everything durable, and a random selection of the rest
//	CutAt           everything up to one byte or one change of a name, for tests that step through a run
package disk
