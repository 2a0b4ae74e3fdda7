package meshctl

import "github.com/gravitational/trace"

// Exit codes beside 0 for done and 1 for everything else. Of those only ExitInvalid is seen by scripts today: see ExitCode.
const (
	ExitInvalid     = 2 // the configuration, or a flag, can't be used
	ExitConflict    = 3 // another change was there first
	ExitUnavailable = 4 // no core process gave a clear answer: the same may be tried again
)

// unavailableError says that no core process gave a clear answer.
type unavailableError struct{ error }

// conflictError says that another change was there first.
type conflictError struct{ error }

// ExitCode is the exit code of a command's error. The errors that kong returns are joined ones, in which it finds neither a conflict nor
// that no core process answered: both are 1 (testdata/golden/output).
func ExitCode(err error) int {
	switch trace.Unwrap(err).(type) { //nolint:errorlint // kong joins errors: codes 3 and 4 don't come through it yet, and that is to stay for now
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
