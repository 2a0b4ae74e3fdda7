// Package report shows verdicts to people: on one screen, and as one page of HTML that needs nothing beside it; experiments as a
// table and as a page. It does no I/O but for the writers that it is given.
package report
