package settings

import (
	"fmt"
	"strings"

	"github.com/gravitational/trace"
)

// FieldError reports an invalid field of a settings file.
type FieldError struct {
	Path   string // path of the field in the file, such as ownNode.ipAddress
	Wanted string // description of the valid values, for people
	Found  string // value in the file; empty if the field is missing
}

// Error implements error.
func (e FieldError) Error() string {
	return fmt.Sprintf("%s: wanted %s, found %q", e.Path, e.Wanted, e.Found)
}

// InvalidError reports the invalid fields of a settings file; there is at least one. trace.IsBadParameter reports true for it.
type InvalidError struct{ Fields []FieldError }

// Error implements error.
func (e *InvalidError) Error() string {
	texts := make([]string, len(e.Fields))
	for i, f := range e.Fields {
		texts[i] = f.Error()
	}
	return strings.Join(texts, "; ")
}

// Unwrap returns an error for which trace.IsBadParameter reports true.
func (e *InvalidError) Unwrap() error { return &trace.BadParameterError{Message: e.Error()} }
