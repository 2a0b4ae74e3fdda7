package simadapter

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"math"
	"strconv"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/config/settings"
)

// lineFields reads the values of a line one after another. The first value that is missing or malformed sets err, and err is not
// replaced afterwards. Where a method has a parameter field, it is the field's name in error messages.
type lineFields struct {
	server  *server // provides the line number for errors
	name    string  // the first word of the line
	rest    []byte  // the values that were not read yet
	hasMore bool    // whether the line has another value
	err     error
}

// next returns the next value, or nil at the end of the line.
func (f *lineFields) next() []byte {
	if !f.hasMore {
		return nil
	}
	value, rest, more := bytes.Cut(f.rest, []byte{separator})
	f.rest = rest
	f.hasMore = more
	return value
}

// fail sets err to an error that names the field, unless err is set already.
func (f *lineFields) fail(field, reason string) {
	if f.err == nil {
		f.err = f.server.malformed(f.name, field, reason)
	}
}

// isAbsent reports whether a value is a dash, which stands for an absent value.
func isAbsent(value []byte) bool { return len(value) == 1 && value[0] == absent }

// value reads a required value. An absent value sets err.
func (f *lineFields) value(field string) []byte {
	value := f.next()
	if f.err == nil && (len(value) == 0 || isAbsent(value)) {
		f.fail(field, "missing")
	}
	return value
}

// optionalValue reads an optional value, and returns nil for a dash. A line that ends before the field sets err.
func (f *lineFields) optionalValue(field string) []byte {
	value := f.next()
	if len(value) == 0 {
		f.fail(field, "missing")
		return nil
	}
	if isAbsent(value) {
		return nil
	}
	return value
}

// number reads a required integer.
func (f *lineFields) number(field string) int64 { return f.parseInteger(field, f.value(field)) }

// parseInteger parses the value of a field as a decimal integer.
func (f *lineFields) parseInteger(field string, value []byte) int64 {
	if f.err != nil {
		return 0
	}
	n, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil {
		f.fail(field, fmt.Sprintf("%q is not a whole number", value))
		return 0
	}
	return n
}

// optional reads an optional integer, and returns 0 for a dash.
func (f *lineFields) optional(field string) int64 {
	value := f.optionalValue(field)
	if value == nil {
		return 0
	}
	return f.parseInteger(field, value)
}

// optionalText reads an optional word, and returns an empty string for a dash.
func (f *lineFields) optionalText(field string) string { return string(f.optionalValue(field)) }

// float reads a required finite number.
func (f *lineFields) float(field string) float64 {
	value := f.value(field)
	if f.err != nil {
		return 0
	}
	v, err := strconv.ParseFloat(string(value), 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.fail(field, fmt.Sprintf("%q is not a finite number", value))
		return 0
	}
	return v
}

// time reads a required time in microseconds.
func (f *lineFields) time(field string) time.Duration { return settings.Microseconds(f.number(field)) }

// requestID reads the ID of a request.
func (f *lineFields) requestID() balancer.RequestID { return balancer.RequestID(f.value("corr")) }

// endpoint reads the ID of an endpoint.
func (f *lineFields) endpoint() balancer.EndpointID {
	n := f.number("endpoint")
	if f.err == nil && (n < 0 || n > math.MaxUint32) {
		f.fail("endpoint", "out of range")
	}
	return balancer.EndpointID(n)
}

// flag reads a required 0 or 1, and reports whether it is 1.
func (f *lineFields) flag(field string) bool {
	n := f.number(field)
	if f.err == nil && n != 0 && n != 1 {
		f.fail(field, "must be 0 or 1")
	}
	return n == 1
}

// status reads the status of an attempt or of a health check, and returns StatusError for an unknown code.
func (f *lineFields) status() balancer.Status {
	n := f.number("ending")
	status, known := statuses[n]
	if !known {
		f.fail("ending", fmt.Sprintf("unknown status %d", n))
		return balancer.StatusError
	}
	return status
}

// state reads the state of an endpoint, and returns EndpointRemoved for an unknown code.
func (f *lineFields) state() balancer.EndpointState {
	n := f.number("mode")
	state, known := states[n]
	if !known {
		f.fail("mode", fmt.Sprintf("unknown state %d", n))
		return balancer.EndpointRemoved
	}
	return state
}

// load reads an optional load report, and returns nil for a dash.
func (f *lineFields) load() *balancer.Load {
	value := f.optionalValue("pressure")
	if value == nil || f.err != nil {
		return nil
	}
	report, err := settings.ParseLoad(string(value), ":")
	if err != nil {
		f.fail("pressure", err.Error())
	}
	return report
}

// bytes reads and decodes optional base64 data, and returns nil for a dash.
func (f *lineFields) bytes() []byte {
	value := f.optionalValue("data")
	if value == nil || f.err != nil {
		return nil
	}
	data, err := base64.StdEncoding.DecodeString(string(value))
	if err != nil {
		f.fail("data", "not valid base64")
	}
	return data
}
