package schema

import (
	"cmp"
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"time"

	"quincegap/internal/config/doc"
	"quincegap/internal/config/finding"
)

// Bounds are a number's default and range. A key without a default may be left out, and is 0 then, unless it
// is Required.
type Bounds[N cmp.Ordered] struct {
	Default  N
	Min, Max N
	Optional bool // there is no default
	Required bool
	Example  string // as TOML, for an optional or required key
}

// numberKey builds a key over an ordered type.
func numberKey[T any, N cmp.Ordered](name, sort string, field func(*T) *N, b Bounds[N], change Change, help string,
	read func(*doc.Value) (N, string), write func(N) string,
) KeyOf[T] {
	k := &Key{
		Name: name, Type: sort, Help: help, Change: change, Required: b.Required, Example: b.Example,
		Bounds: write(b.Min) + " to " + write(b.Max),
	}
	if !b.Optional && !b.Required {
		k.Default = write(b.Default)
	}
	k.setDefault = func(target any) { *field(target.(*T)) = b.Default }
	k.decode = func(target any, v *doc.Value) (string, string) {
		n, fault := read(v)
		switch {
		case fault != "":
			return "", fault
		case n < b.Min:
			return "", fmt.Sprintf("%s is below %s", quoteValue(v), write(b.Min))
		case n > b.Max:
			return "", fmt.Sprintf("%s is above %s", quoteValue(v), write(b.Max))
		}
		*field(target.(*T)) = n
		return write(n), ""
	}
	return KeyOf[T]{k}
}

// quoteValue is a value in a message.
func quoteValue(v *doc.Value) string {
	text := v.Text
	if len(text) > 40 {
		text = strings.ToValidUTF8(text[:40], "") + "..."
	}
	if v.Kind == doc.String {
		return doc.Quote(text)
	}
	return text
}

func wrongKind(v *doc.Value, want string) string {
	if v.Kind == doc.Array || v.Kind == doc.TableKind {
		return fmt.Sprintf("%s, not %s, is wanted", want, v.Kind)
	}
	return fmt.Sprintf("%s is %s; %s is wanted", quoteValue(v), v.Kind, want)
}

// Duration is a time with its unit.
func Duration[T any](name string, field func(*T) *time.Duration, b Bounds[time.Duration], change Change, help string) KeyOf[T] {
	return numberKey(name, "duration", field, b, change, help, readDuration, func(d time.Duration) string {
		return doc.Quote(FormatDuration(d))
	})
}

// FormatDuration writes a duration without the units that are 0: "1m", not "1m0s".
func FormatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

func readDuration(v *doc.Value) (time.Duration, string) {
	const want = `a time with its unit (like "2500ms" or "2.5s")`
	switch v.Kind {
	case doc.Integer, doc.Float:
		return 0, fmt.Sprintf("%s has no unit; write \"%sms\" or \"%ss\"", quoteValue(v), v.Text, v.Text)
	case doc.String:
	default:
		return 0, wrongKind(v, want)
	}
	d, err := time.ParseDuration(v.Text)
	if err == nil {
		return d, ""
	}
	text := strings.TrimSpace(v.Text)
	unit := strings.TrimLeft(text, "+-0123456789._ ")
	switch {
	case text == "":
		return 0, "is empty; " + want + " is wanted"
	case unit == "":
		return 0, fmt.Sprintf("%s has no unit; write \"%sms\" or \"%ss\"", quoteValue(v), text, text)
	case strings.ContainsAny(text, " ") && looksLikeDuration(strings.ReplaceAll(text, " ", "")):
		return 0, fmt.Sprintf("%s has a space in it; write %q", quoteValue(v), strings.ReplaceAll(text, " ", ""))
	}
	units := []string{"us", "ms", "s", "m", "h"}
	meant := map[string]string{
		"sec": "s", "secs": "s", "second": "s", "seconds": "s", "min": "m", "mins": "m", "minute": "m",
		"minutes": "m", "msec": "ms", "millis": "ms", "hour": "h", "hours": "h", "S": "s", "M": "m", "MS": "ms", "usec": "us", "micros": "us",
	}
	if m := meant[unit]; m != "" {
		return 0, fmt.Sprintf("%s has the unknown unit %q; did you mean %q?", quoteValue(v), unit, m)
	}
	if looksLikeDuration(text) {
		return 0, quoteValue(v) + " is too long to be a time"
	}
	return 0, fmt.Sprintf("%s is no time; units are %s, as in \"2500ms\"", quoteValue(v), strings.Join(units, ", "))
}

// looksLikeDuration tells whether a text is numbers with known units, be they too large.
func looksLikeDuration(text string) bool {
	small := ""
	for _, r := range text {
		if r < '0' || r > '9' || len(small) == 0 || small[len(small)-1] < '0' || small[len(small)-1] > '9' {
			small += string(r) // one digit of each number is enough
		}
	}
	_, err := time.ParseDuration(small)
	return err == nil
}

// Int is a whole number.
func Int[T any](name string, field func(*T) *int, b Bounds[int], change Change, help string) KeyOf[T] {
	return numberKey(name, "whole number", field, b, change, help, func(v *doc.Value) (int, string) {
		switch v.Kind {
		case doc.Integer:
		case doc.Float:
			return 0, fmt.Sprintf("%s is not a whole number", quoteValue(v))
		default:
			return 0, wrongKind(v, "a whole number")
		}
		n, err := strconv.ParseInt(v.Text, 0, 64)
		if err != nil {
			return 0, fmt.Sprintf("%s is too large a number", quoteValue(v))
		}
		return int(n), ""
	}, strconv.Itoa)
}

// Float is a number; not a number and infinity are refused.
func Float[T any](name string, field func(*T) *float64, b Bounds[float64], change Change, help string) KeyOf[T] {
	return numberKey(name, "number", field, b, change, help, func(v *doc.Value) (float64, string) {
		if v.Kind != doc.Float && v.Kind != doc.Integer {
			return 0, wrongKind(v, "a number")
		}
		text := strings.ReplaceAll(v.Text, "_", "")
		n, err := strconv.ParseFloat(text, 64)
		if v.Kind == doc.Integer && err != nil {
			var i int64
			i, err = strconv.ParseInt(v.Text, 0, 64) // hexadecimal and the like
			n = float64(i)
		}
		if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
			return 0, fmt.Sprintf("%s is no number that can be used", quoteValue(v))
		}
		return n, ""
	}, func(n float64) string { return strconv.FormatFloat(n, 'f', -1, 64) })
}

var sizeUnits = []struct {
	unit  string
	bytes int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// Size is a number of bytes with its unit.
func Size[T any](name string, field func(*T) *int64, b Bounds[int64], change Change, help string) KeyOf[T] {
	return numberKey(name, "size", field, b, change, help, readSize, func(n int64) string {
		for _, s := range sizeUnits {
			if n%s.bytes == 0 && (n != 0 || s.bytes == 1) {
				return doc.Quote(strconv.FormatInt(n/s.bytes, 10) + s.unit)
			}
		}
		return ""
	})
}

func readSize(v *doc.Value) (int64, string) {
	const want = `a size with its unit (like "64KiB" or "32MiB")`
	switch v.Kind {
	case doc.Integer, doc.Float:
		return 0, fmt.Sprintf("%s has no unit; write \"%sB\", \"%sKiB\" or \"%sMiB\"", quoteValue(v), v.Text, v.Text, v.Text)
	case doc.String:
	default:
		return 0, wrongKind(v, want)
	}
	unit := strings.TrimLeft(v.Text, "+-0123456789._")
	digits := strings.TrimSuffix(v.Text, unit)
	for _, s := range sizeUnits {
		if unit != s.unit {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		switch {
		case err != nil && strings.ContainsAny(digits, "._"):
			return 0, fmt.Sprintf("%s is not a whole number of %s", quoteValue(v), s.unit)
		case err != nil || n > math.MaxInt64/s.bytes || n < math.MinInt64/s.bytes:
			return 0, fmt.Sprintf("%s is no size that can be used", quoteValue(v))
		}
		return n * s.bytes, ""
	}
	meant := map[string]string{
		"K": "KiB", "KB": "KiB", "k": "KiB", "kB": "KiB", "kb": "KiB", "M": "MiB", "MB": "MiB",
		"m": "MiB", "mb": "MiB", "G": "GiB", "GB": "GiB", "g": "GiB", "gb": "GiB", "kib": "KiB", "mib": "MiB", "gib": "GiB", "b": "B",
	}
	switch trimmed := strings.TrimSpace(unit); {
	case unit == "":
		return 0, fmt.Sprintf("%s has no unit; write B, KiB, MiB or GiB behind it", quoteValue(v))
	case meant[trimmed] != "":
		return 0, fmt.Sprintf("%s has the unknown unit %q; did you mean %q?", quoteValue(v), trimmed, meant[trimmed])
	}
	return 0, fmt.Sprintf("%s is no size; units are B, KiB, MiB and GiB, as in \"64KiB\"", quoteValue(v))
}

// Bool is true or false.
func Bool[T any](name string, field func(*T) *bool, preset bool, change Change, help string) KeyOf[T] {
	return KeyOf[T]{&Key{
		Name: name, Type: "true or false", Help: help, Change: change, Default: strconv.FormatBool(preset),
		setDefault: func(target any) { *field(target.(*T)) = preset },
		decode: func(target any, v *doc.Value) (string, string) {
			if v.Kind != doc.Bool {
				return "", wrongKind(v, "true or false")
			}
			*field(target.(*T)) = v.Text == "true"
			return v.Text, ""
		},
	}}
}

// StringOptions is a string's default and what it may be.
type StringOptions struct {
	Default  string
	Required bool
	Example  string // as it is, without quotes
	Type     string // in words; "string" if empty
	Bounds   string // in words
	// Fault says what is wrong with a value, or "".
	Fault func(string) string
}

// MaxStringBytes bounds a string, in bytes.
const MaxStringBytes = 4096

// String is a string.
func String[T any](name string, field func(*T) *string, s StringOptions, change Change, help string) KeyOf[T] {
	k := &Key{Name: name, Type: cmp.Or(s.Type, "string"), Bounds: s.Bounds, Help: help, Change: change, Required: s.Required}
	if s.Example != "" {
		k.Example = doc.Quote(s.Example)
	}
	if s.Default != "" {
		k.Default = doc.Quote(s.Default)
	}
	k.setDefault = func(target any) { *field(target.(*T)) = s.Default }
	k.decode = func(target any, v *doc.Value) (string, string) {
		switch {
		case v.Kind != doc.String:
			return "", wrongKind(v, "a string")
		case len(v.Text) > MaxStringBytes:
			return "", fmt.Sprintf("has %d bytes; at most %d are read", len(v.Text), MaxStringBytes)
		case strings.ContainsFunc(v.Text, func(r rune) bool { return r < 0x20 || r == 0x7f }):
			return "", "has a control character in it"
		case v.Text == "":
			return "", "is empty; leave the key out instead"
		case s.Fault != nil:
			if fault := s.Fault(v.Text); fault != "" {
				return "", quoteValue(v) + " " + fault
			}
		}
		*field(target.(*T)) = v.Text
		return doc.Quote(v.Text), ""
	}
	return KeyOf[T]{k}
}

// Choice is one of several words.
func Choice[T any, S ~string](name string, field func(*T) *S, words []S, preset S, required bool, change Change, help string) KeyOf[T] {
	list := make([]string, len(words))
	for i, w := range words {
		list[i] = string(w)
	}
	k := &Key{
		Name: name, Type: "word", Bounds: strings.Join(list, ", "), Help: help, Change: change, Required: required,
		Example: doc.Quote(list[0]),
	}
	if preset != "" {
		k.Default = doc.Quote(string(preset))
	}
	k.setDefault = func(target any) { *field(target.(*T)) = preset }
	k.decode = func(target any, v *doc.Value) (string, string) {
		if v.Kind != doc.String {
			return "", wrongKind(v, "one of "+strings.Join(list, ", "))
		}
		for _, w := range words {
			if v.Text == string(w) {
				*field(target.(*T)) = w
				return doc.Quote(v.Text), ""
			}
		}
		return "", finding.UnknownName("word", v.Text, list)
	}
	return KeyOf[T]{k}
}

// Address is host:port with a numeric port; a host may be left out where the address is to listen at.
func Address[T any](name string, field func(*T) *string, s StringOptions, listen bool, change Change, help string) KeyOf[T] {
	s.Type, s.Bounds = "address", "host:port"
	s.Fault = func(text string) string {
		host, port, err := net.SplitHostPort(text)
		if err != nil {
			if strings.Contains(text, "://") {
				return "is a URL; write host:port alone"
			}
			if !strings.Contains(text, ":") {
				return "has no port; write host:port, like 127.0.0.1:8080"
			}
			return "is not host:port; an IPv6 address stands in [ ]"
		}
		n, err := strconv.Atoi(port)
		switch {
		case err != nil || n < 0 || n > 65535 || strings.Trim(port, "0123456789") != "":
			return fmt.Sprintf("has the port %q; ports are 0 to 65535", port)
		case n == 0 && !listen:
			return "has the port 0, which nothing can be reached at"
		case host == "" && !listen:
			return "names no host"
		case strings.ContainsAny(host, " \t/@") || len(host) > 255:
			return fmt.Sprintf("has the host %q, which is neither a name nor an IP address", host)
		case host != "" && strings.Trim(host, "0123456789.") == "" && net.ParseIP(host) == nil:
			return fmt.Sprintf("has the host %q, which is no IP address", host)
		}
		return ""
	}
	return String(name, field, s, change, help)
}

// Secret is a kind of secret in a file.
type Secret int

// The kinds.
const (
	NoSecret   Secret = iota
	Token             // one word
	PrivateKey        // PEM (RFC 7468)
)

// SecretFile is the path of a file with a secret; the file's own rights are for who opens it to check.
func SecretFile[T any](name string, field func(*T) *string, secret Secret, example string, change Change, help string) KeyOf[T] {
	k := String(name, field, StringOptions{Type: "path of a secret", Example: example}, change, help)
	k.Secret = secret
	return k
}

// Secrets are the settings of a file that name files with secrets.
func (f *File) Secrets() (all []*Setting) {
	for _, s := range f.Settings() {
		if s.Key.Secret != NoSecret {
			all = append(all, s)
		}
	}
	return all
}

// Unquoted is the text of a setting that is a string. Strings have no control characters, so that TOML's and
// Go's quotes say the same.
func (s *Setting) Unquoted() string {
	text, _ := strconv.Unquote(s.Canonical)
	return text
}
