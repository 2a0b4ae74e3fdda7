// Package disk stands in for a directory on a disk that does what disks do at the worst moment: it loses what was not synced,
// tears writes, lets unsynced changes reach the platter in any order, fills up, fails a sync once, reads less than was asked
// for and flips bits. It implements store.FS, for tests.
//
// Of each file there are two contents: what processes see, and what is durable. A sync makes the former the latter; a sync of
// the directory does the same for names. AfterPowerLoss, AfterCrash and CutAt return the disk as a later process may find it:
//
//	AfterCrash      all that processes saw: only the process ended
//	AfterPowerLoss  what is durable, and by chance some, all or none of the rest
//	CutAt           all up to one byte or change of a name, as a test walks through a run
package disk
