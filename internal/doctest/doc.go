// Package doctest has tests only. They compare the pages of this repository with its code: each relative link has a target, each file,
// package and function that a page for newcomers or operators names exists, and each warning and error that a program can log is in the
// runbook.
package doctest
