package configuration

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"
)

const (
	maxFaults         = 100  // maximum number of invalid fields that an error lists
	maxDepth          = 1000 // greatest nesting depth of lists and objects; the known fields are nested five deep
	maxDescribedBytes = 60   // maximum length of an invalid value's text in an error
)

// exceedsMaxDepth reports whether lists and objects are nested deeper than maxDepth. The recursion of the JSON parser could then overflow
// its stack, which would terminate the process.
func exceedsMaxDepth(raw []byte) bool {
	depth := 0
	inString := false
	for i := 0; i < len(raw); i++ {
		switch c := raw[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '{' || c == '[':
			depth++
			if depth > maxDepth {
				return true
			}
		case c == '}' || c == ']':
			depth--
		}
	}
	return false
}

// parser parses the values of fields and collects the faults, one for each invalid field. For an invalid value, its methods return the
// zero value or the default of a missing field.
type parser struct {
	faults   []string          // path of each invalid field, with what was expected
	route    fieldSet          // fields of the current route; reused for the next one
	interned map[string]string // the single copy of each string, which does not refer to the memory of the JSON text
}

// addFault records that the field at a path is not what was expected.
func (p *parser) addFault(path, expected string, args ...any) {
	if len(p.faults) < maxFaults {
		p.faults = append(p.faults, path+": expected "+fmt.Sprintf(expected, args...))
	}
}

// intern returns a copy of a string. Equal strings get the same copy.
func (p *parser) intern(s string) string {
	interned, ok := p.interned[s]
	if !ok {
		interned = strings.Clone(s)
		p.interned[interned] = interned
	}
	return interned
}

// isPresent reports whether a field exists and is not null.
func isPresent(value gjson.Result) bool { return value.Exists() && value.Type != gjson.Null }

// describe returns the JSON text of an invalid value for an error, at most maxDescribedBytes of it.
func describe(value gjson.Result) string {
	switch {
	case !value.Exists():
		return "nothing"
	case len(value.Raw) > maxDescribedBytes:
		return value.Raw[:maxDescribedBytes] + "..."
	}
	return value.Raw
}

// forEach calls f for each element of a list, with the element's path. A missing list counts as empty.
func (p *parser) forEach(path string, list gjson.Result, f func(path string, value gjson.Result)) {
	if !isPresent(list) {
		return
	}
	if !list.IsArray() {
		p.addFault(path, "a list, not %s", describe(list))
		return
	}
	i := 0
	list.ForEach(func(_, value gjson.Result) bool {
		f(path+"."+strconv.Itoa(i), value)
		i++
		return true
	})
}

// forEachObject calls f for each element of a list, with the element's path. An element that is not an object is a fault.
func (p *parser) forEachObject(path string, list gjson.Result, f func(path string, value gjson.Result)) {
	p.forEach(path, list, func(path string, value gjson.Result) {
		if !value.IsObject() {
			p.addFault(path, "an object, not %s", describe(value))
			return
		}
		f(path, value)
	})
}

// text parses a required string, which may be empty.
func (p *parser) text(path string, value gjson.Result) string {
	if value.Type != gjson.String {
		p.addFault(path, "a text, not %s", describe(value))
		return ""
	}
	return p.intern(value.Str)
}

// name parses a required string that must not be empty.
func (p *parser) name(path string, value gjson.Result) string {
	s := p.text(path, value)
	if s == "" && value.Type == gjson.String {
		p.addFault(path, "a text that isn't empty")
	}
	return s
}

// number parses a number. It returns the default if the value is missing or invalid.
func (p *parser) number(path string, value gjson.Result, defaultValue float64) float64 {
	if !isPresent(value) {
		return defaultValue
	}
	if value.Type != gjson.Number || math.IsInf(value.Num, 0) || math.IsNaN(value.Num) {
		p.addFault(path, "a number, not %s", describe(value))
		return defaultValue
	}
	return value.Num
}

// integer parses a number, drops its fraction and clamps it to the range of an int32. It returns the default if the value is missing or
// invalid.
func (p *parser) integer(path string, value gjson.Result, defaultValue int) int {
	return int(max(math.MinInt32, min(math.MaxInt32, p.number(path, value, float64(defaultValue)))))
}

// duration parses a duration with its unit. It returns the default if the value is missing, and 0 if it is invalid.
func (p *parser) duration(path string, value gjson.Result, defaultValue time.Duration) time.Duration {
	if !isPresent(value) {
		return defaultValue
	}
	d, ok := parseDuration(value.Str)
	if value.Type != gjson.String || !ok {
		p.addFault(path, "a number with its unit, ms or s, not %s", describe(value))
	}
	return d
}

// parseDuration parses a number followed by its unit, ms or s, and reports whether it is valid. The result may be negative, and its
// absolute value is clamped to 2^62 ns, which is 146 years.
func parseDuration(s string) (time.Duration, bool) {
	unit := float64(time.Second)
	number, ok := strings.CutSuffix(s, unitMilliseconds)
	if ok {
		unit = float64(time.Millisecond)
	} else if number, ok = strings.CutSuffix(s, unitSeconds); !ok {
		return 0, false
	}
	x, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		return 0, false
	}
	return time.Duration(max(-1<<62, min(1<<62, math.Round(x*unit)))), true
}

// boolean parses true or false. It returns false if the value is missing or invalid.
func (p *parser) boolean(path string, value gjson.Result) bool {
	if isPresent(value) && !value.IsBool() {
		p.addFault(path, "true or false, not %s", describe(value))
	}
	return value.Type == gjson.True
}
