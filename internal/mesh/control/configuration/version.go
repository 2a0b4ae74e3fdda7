package configuration

import (
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// Version is the version number of a configuration, written as "r12". 0 means that there is no configuration.
type Version uint64

// ParseVersion parses a version such as "r12". It returns 0 for "0" and "r0". The error is a trace.BadParameter that quotes s.
func ParseVersion(s string) (Version, error) {
	if s == versionNone {
		return 0, nil
	}
	digits, ok := strings.CutPrefix(s, versionPrefix)
	if !ok {
		return 0, trace.BadParameter("version %q: expected r and a number", s)
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return 0, trace.BadParameter("version %q: expected r and a number", s)
	}
	return Version(number), nil
}

// String returns the version in the form that ParseVersion parses: "r12", or "0" for no version.
func (v Version) String() string {
	if v == 0 {
		return versionNone
	}
	return versionPrefix + strconv.FormatUint(uint64(v), 10)
}
