// Package report formats the results of rehearsals for readers: runs as text for one screen or as a single self-contained HTML page, and
// experiments as a text table or HTML page. Its only I/O is writing to the writers that it is given.
package report
