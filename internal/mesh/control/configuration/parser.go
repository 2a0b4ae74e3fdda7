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
	maxFaults         = 100  // in an error
	maxDepth          = 1000 // of nested lists and objects; the known fields are nested five deep
	maxDescribedBytes = 60   // of a value that an error shows
)

// exceedsMaxDepth reports whether lists and objects may be nested so deeply that the stack of a JSON parser could overflow, which would
// end the process.
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

// parser reads the values of fields and collects the faults. The result for a faulty value is the zero value, or that of a missing field.
type parser struct {
	faults   []string
	route    fieldSet          // of the route that is being read; reused for the next one
	interned map[string]string // one copy of each string, which does not keep the body's memory
}

// addFault records that the field at a path is not what was expected.
func (p *parser) addFault(path, expected string, args ...any) {
	if len(p.faults) < maxFaults {
		p.faults = append(p.faults, path+": expected "+fmt.Sprintf(expected, args...))
	}
}

// intern returns a copy of a string, the same copy for equal strings.
func (p *parser) intern(s string) string {
	kept, ok := p.interned[s]
	if !ok {
		kept = strings.Clone(s)
		p.interned[kept] = kept
	}
	return kept
}

// isPresent reports whether a field is there. A null field counts as missing.
func isPresent(v gjson.Result) bool { return v.Exists() && v.Type != gjson.Null }

// describe returns the JSON text of a faulty value, shortened, for the text of an error.
func describe(v gjson.Result) string {
	switch {
	case !v.Exists():
		return "nothing"
	case len(v.Raw) > maxDescribedBytes:
		return v.Raw[:maxDescribedBytes] + "..."
	}
	return v.Raw
}

// forEach calls f for each element of a list. A missing list is empty.
func (p *parser) forEach(path string, list gjson.Result, f func(path string, v gjson.Result)) {
	if !isPresent(list) {
		return
	}
	if !list.IsArray() {
		p.addFault(path, "a list, not %s", describe(list))
		return
	}
	i := 0
	list.ForEach(func(_, v gjson.Result) bool {
		f(path+"."+strconv.Itoa(i), v)
		i++
		return true
	})
}

// forEachObject calls f for each object of a list. Other elements are faults.
func (p *parser) forEachObject(path string, list gjson.Result, f func(path string, v gjson.Result)) {
	p.forEach(path, list, func(path string, v gjson.Result) {
		if !v.IsObject() {
			p.addFault(path, "an object, not %s", describe(v))
			return
		}
		f(path, v)
	})
}

// text reads a string, which may be empty but must be there.
func (p *parser) text(path string, v gjson.Result) string {
	if v.Type != gjson.String {
		p.addFault(path, "a text, not %s", describe(v))
		return ""
	}
	return p.intern(v.Str)
}

// name reads a string that must not be empty.
func (p *parser) name(path string, v gjson.Result) string {
	s := p.text(path, v)
	if s == "" && v.Type == gjson.String {
		p.addFault(path, "a text that isn't empty")
	}
	return s
}

// number reads a number. It returns the default if the number is missing or faulty.
func (p *parser) number(path string, v gjson.Result, defaultValue float64) float64 {
	if !isPresent(v) {
		return defaultValue
	}
	if v.Type != gjson.Number || math.IsInf(v.Num, 0) || math.IsNaN(v.Num) {
		p.addFault(path, "a number, not %s", describe(v))
		return defaultValue
	}
	return v.Num
}

// integer reads a number, without its fraction, clamped to the range of an int32.
func (p *parser) integer(path string, v gjson.Result, defaultValue int) int {
	return int(max(math.MinInt32, min(math.MaxInt32, p.number(path, v, float64(defaultValue)))))
}

// duration reads a time with its unit. It returns the default if the time is missing.
func (p *parser) duration(path string, v gjson.Result, defaultValue time.Duration) time.Duration {
	if !isPresent(v) {
		return defaultValue
	}
	d, ok := parseDuration(v.Str)
	if v.Type != gjson.String || !ok {
		p.addFault(path, "a number with its unit, ms or s, not %s", describe(v))
	}
	return d
}

// parseDuration reads a number and its unit, ms or s. The result may be negative, and is clamped to 2^62 ns, which is 146 years.
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

// boolean reads true or false. It returns false if the value is missing.
func (p *parser) boolean(path string, v gjson.Result) bool {
	if isPresent(v) && !v.IsBool() {
		p.addFault(path, "true or false, not %s", describe(v))
	}
	return v.Type == gjson.True
}
