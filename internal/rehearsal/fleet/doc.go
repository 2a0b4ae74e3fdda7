// Package fleet measures large fleets in virtual time: how subsetting schemes distribute endpoints over instances while the endpoint
// list changes (MeasureSubsets), scenarios with many faults (Play), and restarts of a large part of a fleet at once (RestartWave). It
// does no I/O. The same seed gives the same figures.
package fleet
