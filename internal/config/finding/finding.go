// Package finding collects the faults of configuration files as messages with file, line and column. It does no I/O except for printing to
// a given writer, and does not depend on the meaning of the files.
package finding

import "fmt"

// Pos is a position in a file. Line and Col count from 1, Col in characters; both are 0 if the position is the whole file.
type Pos struct{ Line, Col int }

// Finding is one fault of a file. Its JSON keys are an interface for other programs.
type Finding struct {
	File    string `json:"file"`             // the path of the file as the user gave it
	Line    int    `json:"line,omitempty"`   // the line, counted from 1; 0 if the finding is about the whole file
	Column  int    `json:"column,omitempty"` // the column in characters, counted from 1; 0 if the finding is about the whole file
	Message string `json:"message"`          // a message of one line, without the position
}

// String returns the finding as FILE:LINE:COLUMN: message, the form in which editors recognize a position.
func (f Finding) String() string {
	if f.Line == 0 {
		return f.File + ": " + f.Message
	}
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// Error is the text of all findings of a List, one per line.
type Error string

// Error returns the text, with one line per finding.
func (e Error) Error() string { return string(e) }
