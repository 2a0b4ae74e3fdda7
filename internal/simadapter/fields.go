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
	name    string
	rest    []byte
	hasMore bool
	err     error
}

// next splits off the next value; nil where the line has ended.
func (f *lineFields) next() []byte {
	if !f.hasMore {
		return nil
	}
	part, rest, more := bytes.Cut(f.rest, []byte{' '})
	f.rest, f.hasMore = rest, more
	return part
}

func (f *lineFields) fail(field, what string) {
	if f.err == nil {
		f.err = f.server.malformed(f.name, field, what)
	}
}

// value takes a value that must be there.
func (f *lineFields) value(field string) []byte {
	p := f.next()
	if f.err == nil && (len(p) == 0 || len(p) == 1 && p[0] == '-') {
		f.fail(field, "missing")
	}
	return p
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
	p := f.next()
	if len(p) == 1 && p[0] == '-' {
		return 0
	}
	if len(p) == 0 {
		f.fail(field, "missing")
		return 0
	}
	return f.integer(field, p)
}

// optionalText takes a text that may be absent.
func (f *lineFields) optionalText() string {
	p := f.next()
	if len(p) == 0 {
		f.fail("affinity", "missing")
	}
	if len(p) == 1 && p[0] == '-' {
		return ""
	}
	return string(p)
}

func (f *lineFields) float(field string) float64 {
	p := f.value(field)
	if f.err != nil {
		return 0
	}
	v, err := strconv.ParseFloat(string(p), 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.fail(field, fmt.Sprintf("%q is not a number", p))
		return 0
	}
	return v
}

func (f *lineFields) time(field string) time.Duration { return settings.Micros(f.number(field)) }

func (f *lineFields) id(field string) balancer.RequestID {
	return balancer.RequestID(f.value(field))
}

func (f *lineFields) endpoint() balancer.EndpointID {
	n := f.number("endpoint")
	if f.err == nil && (n < 0 || n > math.MaxUint32) {
		f.fail("endpoint", "out of range")
	}
	return balancer.EndpointID(n)
}

func (f *lineFields) flag(field string) bool {
	n := f.number(field)
	if f.err == nil && n != 0 && n != 1 {
		f.fail(field, "neither 0 nor 1")
	}
	return n == 1
}

func (f *lineFields) status() balancer.Status {
	switch n := f.number("ending"); n {
	case 100:
		return balancer.StatusOK
	case 301:
		return balancer.StatusError
	case 302:
		return balancer.StatusRejected
	case 303:
		return balancer.StatusTimeout
	case 304:
		return balancer.StatusConnectFailed
	case 305:
		return balancer.StatusReset
	case 306:
		return balancer.StatusCancelled
	case 307:
		return balancer.StatusNotSent
	default:
		f.fail("ending", fmt.Sprintf("unknown outcome %d", n))
		return balancer.StatusError
	}
}

func (f *lineFields) state() balancer.EndpointState {
	switch n := f.number("mode"); n {
	case 2:
		return balancer.EndpointReady
	case 0:
		return balancer.EndpointDraining
	case 1:
		return balancer.EndpointRemoved
	default:
		f.fail("mode", fmt.Sprintf("unknown state %d", n))
		return balancer.EndpointRemoved
	}
}

// load reads a load report; nil where there is none.
func (f *lineFields) load() *balancer.Load {
	p := f.next()
	if len(p) == 0 {
		f.fail("pressure", "missing")
		return nil
	}
	if len(p) == 1 && p[0] == '-' || f.err != nil {
		return nil
	}
	l, err := settings.ParseLoad(string(p), ":")
	if err != nil {
		f.fail("pressure", err.Error())
	}
	return l
}

func (f *lineFields) bytes() []byte {
	p := f.next()
	if len(p) == 0 {
		f.fail("data", "missing")
	}
	if len(p) == 1 && p[0] == '-' || f.err != nil {
		return nil
	}
	data, err := base64.StdEncoding.DecodeString(string(p))
	if err != nil {
		f.fail("data", "not base64")
	}
	return data
}
