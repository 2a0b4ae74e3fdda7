// Package doctest has tests only. They hold the pages of this repository to its code: every relative link leads somewhere, each
// file, package and function that a page for newcomers or operators names exists, and each warning and error that a program can log
// stands in the runbook.
package doctest
