package meshctl

import (
	"errors"

	"github.com/gravitational/trace"
)

// Exit codes besides 0 for success and 1 for any other error.
const (
	ExitInvalid     = 2 // the configuration, or a flag, is invalid
	ExitConflict    = 3 // another change of the configuration was committed before
	ExitUnavailable = 4 // no core process gave a definite answer; the command may be repeated
)

// unavailableError means that no core process gave a definite answer.
type unavailableError struct{ error }

// conflictError means that another change of the configuration was committed before.
type conflictError struct{ error }

// ExitCode returns the exit code for the error of a command. The error may be joined with others or wrapped, as kong does when it runs a
// command.
func ExitCode(err error) int {
	if err == nil {
		return 0
	}
	if _, unavailable := errors.AsType[unavailableError](err); unavailable {
		return ExitUnavailable
	}
	if _, conflict := errors.AsType[conflictError](err); conflict {
		return ExitConflict
	}
	if trace.IsBadParameter(err) {
		return ExitInvalid
	}
	return 1
}

// kongUsageCode is the exit code of kong for a command line that it cannot parse.
const kongUsageCode = 80

// UsageExitCode returns the exit code of the program when kong would end it with a code: ExitInvalid for an invalid command line.
func UsageExitCode(kongCode int) int {
	if kongCode == kongUsageCode {
		return ExitInvalid
	}
	return kongCode
}
