// Package fleet measures large fleets in virtual time: how subsetting schemes distribute endpoints over instances while the list changes
// (MeasureSubsets), hard days (Play), and waves of restarts (RestartWave). It does no I/O; the same seed gives the same figures.
package fleet
