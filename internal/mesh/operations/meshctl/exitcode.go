package meshctl

import "github.com/gravitational/trace"

// Exit codes besides 0 for success and 1 for any other error. At present only ExitInvalid of these three occurs in practice: see ExitCode.
const (
	ExitInvalid     = 2 // the configuration, or a flag, is invalid
	ExitConflict    = 3 // another change of the configuration was committed before
	ExitUnavailable = 4 // no core process gave a definite answer; the command may be repeated
)

// unavailableError means that no core process gave a definite answer.
type unavailableError struct{ error }

// conflictError means that another change of the configuration was committed before.
type conflictError struct{ error }

// ExitCode returns the exit code for the error of a command. When kong runs a command, it returns the command's error as a joined error, in
// which ExitCode finds neither a conflictError nor an unavailableError. Both therefore give exit code 1 (testdata/golden/output).
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
