package settings

import (
	"fmt"
	"strings"

	"github.com/gravitational/trace"
)

// FieldError reports a field that is invalid.
type FieldError struct {
	Path   string // of the field, like ownNode.ipAddress
	Wanted string // the valid values, for people
	Found  string // the value; empty if the field is not in the file
}

// Error implements error.
func (e FieldError) Error() string {
	return fmt.Sprintf("%s: wanted %s, found %q", e.Path, e.Wanted, e.Found)
}

// InvalidError reports the invalid fields of a settings file, one at least. To package trace it is a BadParameter.
type InvalidError struct{ Fields []FieldError }

// Error implements error.
func (e *InvalidError) Error() string {
	texts := make([]string, len(e.Fields))
	for i, f := range e.Fields {
		texts[i] = f.Error()
	}
	return strings.Join(texts, "; ")
}

// Unwrap returns an error by which trace.IsBadParameter reports true.
func (e *InvalidError) Unwrap() error { return &trace.BadParameterError{Message: e.Error()} }
