// Package doc reads TOML and JSON text into trees in which each key and value knows its position, and edits TOML text without touching
// any other line. It does no I/O, and knows nothing of what keys mean.
//
// ReadTOML reports everything that cannot be read and not only the first fault: after a line that is not TOML it continues with the next.
//
//	text --> parser --> tree --> Lookup, Get, Entries
//	           |                     |
//	        findings            Set, Delete --> text (read again for the next edit)
//
// Offsets are bytes from the start of the text; positions are lines and columns as finding.Pos has them. A Document is not changed
// once it has been read, and may be read by several goroutines.
package doc
