package schema

import (
	"fmt"
	"strings"
	"time"

	"quincegap/internal/config/doc"
)

// Duration declares a key whose value is a duration with a unit.
func Duration[T any](name string, field func(*T) *time.Duration, b Bounds[time.Duration], change Change, help string) KeyOf[T] {
	return numberKey(name, "duration", field, b, change, help, readDuration, func(d time.Duration) string {
		return doc.Quote(FormatDuration(d))
	})
}

// FormatDuration formats a duration without trailing units that are 0: "1m", not "1m0s".
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

// misspeltDurationUnits maps frequent misspellings of units to the correct units.
var misspeltDurationUnits = map[string]string{
	"usec": "us", "micros": "us",
	"msec": "ms", "millis": "ms", "MS": "ms",
	"sec": "s", "secs": "s", "second": "s", "seconds": "s", "S": "s",
	"min": "m", "mins": "m", "minute": "m", "minutes": "m", "M": "m",
	"hour": "h", "hours": "h",
}

// readDuration returns the duration, or else what is wrong with the value.
func readDuration(value *doc.Value) (time.Duration, string) {
	const want = `a time with its unit (like "2500ms" or "2.5s")`
	switch value.Kind {
	case doc.Integer, doc.Float:
		return 0, fmt.Sprintf("%s has no unit; write \"%sms\" or \"%ss\"", quoteValue(value), value.Text, value.Text)
	case doc.String:
	default:
		return 0, wrongKind(value, want)
	}
	d, err := time.ParseDuration(value.Text)
	if err == nil {
		return d, ""
	}
	text := strings.TrimSpace(value.Text)
	unit := strings.TrimLeft(text, "+-0123456789._ ")
	switch {
	case text == "":
		return 0, "is empty; " + want + " is wanted"
	case unit == "":
		return 0, fmt.Sprintf("%s has no unit; write \"%sms\" or \"%ss\"", quoteValue(value), text, text)
	case strings.ContainsAny(text, " ") && looksLikeDuration(strings.ReplaceAll(text, " ", "")):
		return 0, fmt.Sprintf("%s has a space in it; write %q", quoteValue(value), strings.ReplaceAll(text, " ", ""))
	}
	if meant := misspeltDurationUnits[unit]; meant != "" {
		return 0, fmt.Sprintf("%s has the unknown unit %q; did you mean %q?", quoteValue(value), unit, meant)
	}
	if looksLikeDuration(text) {
		return 0, quoteValue(value) + " is too long to be a time"
	}
	return 0, fmt.Sprintf("%s is no time; units are us, ms, s, m, h, as in \"2500ms\"", quoteValue(value))
}

// looksLikeDuration reports whether a text consists of numbers with known units, even if the numbers are too large for a duration.
func looksLikeDuration(text string) bool {
	shortened := "" // the text with one digit of each number, which cannot overflow
	for _, r := range text {
		if !isDigit(r) || shortened == "" || !isDigit(rune(shortened[len(shortened)-1])) {
			shortened += string(r)
		}
	}
	_, err := time.ParseDuration(shortened)
	return err == nil
}

func isDigit(r rune) bool { return '0' <= r && r <= '9' }
