package configuration

import (
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// Version is the number of a configuration, written "r12". 0 means that there is none.
type Version uint64

// ParseVersion reads a version such as "r12"; "0" and "r0" are 0. The error is a trace.BadParameter.
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

// String returns the version in the form that ParseVersion reads.
func (v Version) String() string {
	if v == 0 {
		return versionNone
	}
	return versionPrefix + strconv.FormatUint(uint64(v), 10)
}
