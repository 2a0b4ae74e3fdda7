// Package finding holds what is wrong with configuration files: messages for people, each with its file, line and column. It does no
// I/O but for printing to a writer that it is given, and knows nothing of what the files mean.
package finding

import "fmt"

// Pos is a position in a file. Line and Col count from 1, Col in characters; both are 0 where the file as a whole is meant.
type Pos struct{ Line, Col int }

// Finding is one fault of a file. Its JSON keys are an interface for other programs.
type Finding struct {
	File    string `json:"file"`             // path as the user named it
	Line    int    `json:"line,omitempty"`   // from 1; 0 for the file as a whole
	Column  int    `json:"column,omitempty"` // from 1, in characters; 0 for the file as a whole
	Message string `json:"message"`          // one line, without the position
}

// String returns the form FILE:LINE:COLUMN: message that editors jump to.
func (f Finding) String() string {
	if f.Line == 0 {
		return f.File + ": " + f.Message
	}
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// Error is the text of all findings of a List, one per line.
type Error string

// Error returns one line per finding.
func (e Error) Error() string { return string(e) }
