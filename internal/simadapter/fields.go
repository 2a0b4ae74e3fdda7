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

// lineFields takes the values off a line one by one. The first that is missing or
// cannot be read sets err; what is read after that is zero.
type lineFields struct {
	server  *server
	name    string // of the line
	rest    []byte // what was not taken yet
	hasMore bool   // the line has not ended
	err     error
}

// next splits off the next value; nil where the line has ended.
func (f *lineFields) next() []byte {
	if !f.hasMore {
		return nil
	}
	value, rest, more := bytes.Cut(f.rest, []byte{separator})
	f.rest = rest
	f.hasMore = more
	return value
}

// fail keeps the first fault of a line.
func (f *lineFields) fail(field, what string) {
	if f.err == nil {
		f.err = f.server.malformed(f.name, field, what)
	}
}

// isAbsent reports whether a value stands for none.
func isAbsent(value []byte) bool { return len(value) == 1 && value[0] == absent }

// value takes a value that must be there.
func (f *lineFields) value(field string) []byte {
	value := f.next()
	if f.err == nil && (len(value) == 0 || isAbsent(value)) {
		f.fail(field, "missing")
	}
	return value
}

// optionalValue takes a value that may be absent, which gives nil; its field must be there.
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

// number takes a whole number that must be there.
func (f *lineFields) number(field string) int64 { return f.integer(field, f.value(field)) }

// integer reads a whole number.
func (f *lineFields) integer(field string, p []byte) int64 {
	if f.err != nil {
		return 0
	}
	n, err := strconv.ParseInt(string(p), 10, 64)
	if err != nil {
		f.fail(field, fmt.Sprintf("%q is not a whole number", p))
		return 0
	}
	return n
}

// optional takes a whole number that may be absent, which counts as 0.
func (f *lineFields) optional(field string) int64 {
	value := f.optionalValue(field)
	if value == nil {
		return 0
	}
	return f.integer(field, value)
}

// optionalText takes a text that may be absent.
func (f *lineFields) optionalText(field string) string { return string(f.optionalValue(field)) }

// float takes a number that must be there.
func (f *lineFields) float(field string) float64 {
	value := f.value(field)
	if f.err != nil {
		return 0
	}
	v, err := strconv.ParseFloat(string(value), 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.fail(field, fmt.Sprintf("%q is not a number", value))
		return 0
	}
	return v
}

// time takes a time in microseconds.
func (f *lineFields) time(field string) time.Duration { return settings.Microseconds(f.number(field)) }

// requestID takes the id of a request.
func (f *lineFields) requestID() balancer.RequestID { return balancer.RequestID(f.value("corr")) }

// endpoint takes the id of an endpoint.
func (f *lineFields) endpoint() balancer.EndpointID {
	n := f.number("endpoint")
	if f.err == nil && (n < 0 || n > math.MaxUint32) {
		f.fail("endpoint", "out of range")
	}
	return balancer.EndpointID(n)
}

// flag takes 0 or 1.
func (f *lineFields) flag(field string) bool {
	n := f.number(field)
	if f.err == nil && n != 0 && n != 1 {
		f.fail(field, "neither 0 nor 1")
	}
	return n == 1
}

// status takes the outcome of an attempt or a health check.
func (f *lineFields) status() balancer.Status {
	n := f.number("ending")
	status, known := statuses[n]
	if !known {
		f.fail("ending", fmt.Sprintf("unknown outcome %d", n))
		return balancer.StatusError
	}
	return status
}

// state takes the state of an endpoint.
func (f *lineFields) state() balancer.EndpointState {
	n := f.number("mode")
	state, known := states[n]
	if !known {
		f.fail("mode", fmt.Sprintf("unknown state %d", n))
		return balancer.EndpointRemoved
	}
	return state
}

// load reads a load report; nil where there is none.
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

// bytes takes data in base64; nil where there is none.
func (f *lineFields) bytes() []byte {
	value := f.optionalValue("data")
	if value == nil || f.err != nil {
		return nil
	}
	data, err := base64.StdEncoding.DecodeString(string(value))
	if err != nil {
		f.fail("data", "not base64")
	}
	return data
}
