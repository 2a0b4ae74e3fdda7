package events

import (
	"fmt"
	"strconv"
	"strings"
)

// Bases of the two numbers in the text of a cursor.
const (
	incarnationBase = 36
	numberBase      = 10
)

// Cursor is a position in a feed: the position after event Number of one incarnation of the feed. The zero value is the position before
// the oldest retained event.
type Cursor struct {
	Incarnation uint64 // identifies one run of the process that provides the feed
	Number      uint64 // number of the event after which the position is
}

// String returns the text of the cursor, such as 1a2b-17.
func (c Cursor) String() string {
	return strconv.FormatUint(c.Incarnation, incarnationBase) + "-" + strconv.FormatUint(c.Number, numberBase)
}

// CursorError reports that a text is not a valid cursor.
type CursorError struct {
	Text string
}

// Error implements error.
func (e *CursorError) Error() string {
	return fmt.Sprintf("cursor %q: wanted one that the feed gave, like 1a2b-17", e.Text)
}

// ParseCursor parses the text of a cursor. An empty text gives the zero Cursor. The error for an invalid text is a *CursorError.
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
