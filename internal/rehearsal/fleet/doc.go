// Package fleet measures how large fleets are shared out and served, in virtual time: subsets of endpoints under change, hard days,
// and waves of restarts. It does no I/O; the same seed gives the same figures.
package fleet
