// Package doc reads TOML and JSON text into trees that record the position of each key and value, and edits TOML text without changing
// other lines. It does no I/O, and does not depend on the meaning of keys.
//
// ReadTOML reports all faults, and not only the first: after a line that is not TOML it continues with the next.
//
//	text --> parser --> tree --> Lookup, Get, Entries
//	           |                     |
//	        findings            Set, Delete --> text (read again for the next edit)
//
// Offsets are bytes from the start of the text; positions are lines and columns as finding.Pos has them. A Document does not change
// after it has been read, and may be used by several goroutines.
package doc
