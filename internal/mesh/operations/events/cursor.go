package events

import (
	"fmt"
	"strconv"
	"strings"
)

// Number bases in a cursor's text.
const (
	incarnationBase = 36
	numberBase      = 10
)

// Cursor is a position in a feed: after the event of that number, in one incarnation of the feed. The zero value is before the oldest
// event that is kept.
type Cursor struct {
	Incarnation uint64 // of the process that keeps the feed
	Number      uint64
}

// String returns the cursor's text, like 1a2b-17.
func (c Cursor) String() string {
	return strconv.FormatUint(c.Incarnation, incarnationBase) + "-" + strconv.FormatUint(c.Number, numberBase)
}

// CursorError reports a text that is not a cursor.
type CursorError struct {
	Text string
}

// Error implements error.
func (e *CursorError) Error() string {
	return fmt.Sprintf("cursor %q: wanted one that the feed gave, like 1a2b-17", e.Text)
}

// ParseCursor parses a cursor's text. The empty text is the zero Cursor. The error is a *CursorError.
func ParseCursor(text string) (Cursor, error) {
	if text == "" {
		return Cursor{}, nil
	}
	incarnationText, numberText, found := strings.Cut(text, "-")
	if !found {
		return Cursor{}, &CursorError{Text: text}
	}
	incarnation, err := strconv.ParseUint(incarnationText, incarnationBase, 64)
	if err != nil {
		return Cursor{}, &CursorError{Text: text}
	}
	number, err := strconv.ParseUint(numberText, numberBase, 64)
	if err != nil {
		return Cursor{}, &CursorError{Text: text}
	}
	return Cursor{Incarnation: incarnation, Number: number}, nil
}
