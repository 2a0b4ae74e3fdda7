package meshctl

import "github.com/gravitational/trace"

// Exit codes other than 0 for success and 1 for any other error. At present only ExitInvalid occurs in practice: see ExitCode.
const (
	ExitInvalid     = 2 // the configuration, or a flag, is invalid
	ExitConflict    = 3 // another change was applied before
	ExitUnavailable = 4 // no core process gave a clear answer: the command may be repeated
)

// unavailableError means that no core process gave a clear answer.
type unavailableError struct{ error }

// conflictError means that another change was applied before.
type conflictError struct{ error }

// ExitCode returns the exit code for a command's error. The error of a command that kong runs is a joined one, in which ExitCode finds
// neither a conflictError nor an unavailableError: both give 1 (testdata/golden/output).
func ExitCode(err error) int {
	switch trace.Unwrap(err).(type) { //nolint:errorlint // that errors joined by kong give 1 is known behaviour, and stays
	case nil:
		return 0
	case unavailableError:
		return ExitUnavailable
	case conflictError:
		return ExitConflict
	}
	if trace.IsBadParameter(err) {
		return ExitInvalid
	}
	return 1
}
