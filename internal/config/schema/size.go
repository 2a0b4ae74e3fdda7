package schema

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"quincegap/internal/config/doc"
)

// sizeUnits has the units of sizes, in descending order.
var sizeUnits = []struct {
	unit  string
	bytes int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// Size declares a key whose value is a size with a unit; its field is the number of bytes.
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

// misspeltSizeUnits maps frequent misspellings of units to the correct units.
var misspeltSizeUnits = map[string]string{
	"b": "B",
	"K": "KiB", "KB": "KiB", "k": "KiB", "kB": "KiB", "kb": "KiB", "kib": "KiB",
	"M": "MiB", "MB": "MiB", "m": "MiB", "mb": "MiB", "mib": "MiB",
	"G": "GiB", "GB": "GiB", "g": "GiB", "gb": "GiB", "gib": "GiB",
}

// readSize returns the number of bytes, or else what is wrong with the value.
func readSize(value *doc.Value) (int64, string) {
	const want = `a size with its unit (like "64KiB" or "32MiB")`
	switch value.Kind {
	case doc.Integer, doc.Float:
		return 0, fmt.Sprintf("%s has no unit; write \"%sB\", \"%sKiB\" or \"%sMiB\"", quoteValue(value), value.Text, value.Text, value.Text)
	case doc.String:
	default:
		return 0, wrongKind(value, want)
	}
	unit := strings.TrimLeft(value.Text, "+-0123456789._")
	digits := strings.TrimSuffix(value.Text, unit)
	for _, s := range sizeUnits {
		if unit != s.unit {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		switch {
		case err != nil && strings.ContainsAny(digits, "._"):
			return 0, fmt.Sprintf("%s is not a whole number of %s", quoteValue(value), s.unit)
		case err != nil || n > math.MaxInt64/s.bytes || n < math.MinInt64/s.bytes:
			return 0, fmt.Sprintf("%s is no size that can be used", quoteValue(value))
		}
		return n * s.bytes, ""
	}
	switch trimmed := strings.TrimSpace(unit); {
	case unit == "":
		return 0, fmt.Sprintf("%s has no unit; write B, KiB, MiB or GiB behind it", quoteValue(value))
	case misspeltSizeUnits[trimmed] != "":
		return 0, fmt.Sprintf("%s has the unknown unit %q; did you mean %q?", quoteValue(value), trimmed, misspeltSizeUnits[trimmed])
	}
	return 0, fmt.Sprintf("%s is no size; units are B, KiB, MiB and GiB, as in \"64KiB\"", quoteValue(value))
}
