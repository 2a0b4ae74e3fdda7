// Package doctest contains only tests, which compare the documentation pages of this repository with its code: relative links have a
// target; files, packages and functions mentioned on pages for newcomers or operators exist; the runbook has each warning and error that
// a program can log.
package doctest
