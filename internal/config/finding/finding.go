// Package finding has the faults of configuration files: messages with file, line and column. It does no I/O except for printing to a
// given writer, and does not depend on the meaning of the files.
package finding

import "fmt"

// Pos is a position in a file. Line and Col count from 1, Col in characters; both are 0 for the file as a whole.
type Pos struct{ Line, Col int }

// Finding is one fault of a file. Its JSON keys are an interface for other programs.
type Finding struct {
	File    string `json:"file"`             // the path as the user gave it
	Line    int    `json:"line,omitempty"`   // from 1; 0 for the file as a whole
	Column  int    `json:"column,omitempty"` // from 1, in characters; 0 for the file as a whole
	Message string `json:"message"`          // one line, without the position
}

// String returns the finding as FILE:LINE:COLUMN: message, by which editors find the position.
func (f Finding) String() string {
	if f.Line == 0 {
		return f.File + ": " + f.Message
	}
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// Error has the text of all findings of a List, one per line.
type Error string

// Error returns one line per finding.
func (e Error) Error() string { return string(e) }
