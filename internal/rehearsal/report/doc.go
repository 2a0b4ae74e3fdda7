// Package report shows verdicts to people: as text for one screen, and as one page of HTML without other files; experiments as a table and
// as a page. It does no I/O except on the writers that it is given.
package report
