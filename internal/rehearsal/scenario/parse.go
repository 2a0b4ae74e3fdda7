package scenario

import (
	"errors"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"quincegap/internal/config/finding"
)

// lookahead is the number of tokens that the parser needs to distinguish the events ("11% of the boxes", "11% of the sidecars").
const lookahead = 6

// The parsers for the two kinds of lines, with their common options.
var (
	parserOptions = []participle.Option{
		participle.Lexer(scriptLexer), participle.Elide("Comment", "Space"), participle.Unquote("String"), participle.UseLookahead(lookahead),
	}
	eventParser   = participle.MustBuild[event](parserOptions...)
	settingParser = participle.MustBuild[setting](parserOptions...)
)

// eventExamples are the examples that findings show for an event with a syntax error: the first one whose word is in the line.
var eventExamples = []struct{ word, example string }{
	{"silent", "at 12s: 11% of boxes go silent for 9s"},
	{"pause", "at 12s: box 3 pauses for 800ms"},
	{"restart", "at 12s: 2 boxes of slot-keeper restart taking 3s"},
	{"drain", "at 12s: 2 boxes drain for 5s"},
	{"replace", "at 12s: all boxes are replaced at new addresses"},
	{"slower", "at 12s: box 2 is 4 times slower for 10s"},
	{"weigh", "at 12s: box 2 weighs 100"},
	{"repeat", "at 12s: discovery repeats itself for 20s"},
	{"new", "at 12s: 3 new boxes of slot-keeper"},
	{"die", "at 12s: 2 boxes die"},
	{"lose", "at 12s: 20% of boxes lose 30% of calls for 10s"},
	{"reset", "at 12s: all boxes reset 5% of calls for 10s"},
	{"fail", "at 12s: box 1 fails 50% of calls for 10s"},
	{"garble", "at 12s: all boxes garble 3% of answers for 10s"},
	{"refuse", "at 12s: box 1 refuses 80% of calls for 10s"},
	{"cut", "at 12s: sidecars 1..3 are cut off for 8s"},
	{"heard", "at 12s: sidecar 4 is heard by none for 8s"},
	{"messages", "at 12s: messages are 20% lost for 8s"},
	{"sidecar", "at 12s: sidecar 1 gets SIGTERM and is back after 5s"},
	{"load", "at 12s: load is 1.5 times for 10s"},
	{"discovery", "at 12s: discovery is silent for 20s"},
	{"rude", "at 12s: 40 rude callers for 10s"},
}

// describeParseError returns the column of a syntax error, and a message, which for an event includes an example.
func describeParseError(line string, err error) (column int, message string) {
	column, message = 1, err.Error()
	var positioned participle.Error
	if errors.As(err, &positioned) {
		column, message = positioned.Position().Column, positioned.Message()
	}
	var token *participle.UnexpectedTokenError
	if errors.As(err, &token) {
		message = "the line ends too early"
		if !token.Unexpected.EOF() {
			message = strconv.Quote(token.Unexpected.Value) + " does not fit here"
		}
	}
	if !isEvent(line) {
		return column, message
	}
	example := eventExamples[0].example
	for _, e := range eventExamples {
		if strings.Contains(line, e.word) {
			example = e.example
			break
		}
	}
	return column, message + "; one that can be read: " + example
}

// isEvent reports whether a line is an event. The line must contain a word.
func isEvent(line string) bool { return strings.Fields(line)[0] == "at" }

// parseScript parses the lines of a script, and adds a finding for each syntax error. Columns of positions count characters.
func parseScript(text string, add finding.Reporter) (all []*statement) {
	number := 0
	for line := range strings.Lines(text) {
		number++
		if number > maxLines {
			add(finding.Pos{Line: number, Col: 1}, "more than %d lines", maxLines)
			break
		}
		line = strings.TrimRight(line, "\r\n")
		if trimmed := strings.TrimSpace(line); trimmed == "" || trimmed[0] == '#' {
			continue
		}
		// Empty lines stand for the lines before this one, so that the parser's positions are those in the file.
		parsed, err := parseLine(strings.Repeat("\n", number-1) + line)
		if err != nil {
			column, message := describeParseError(line, err)
			add(finding.Pos{Line: number, Col: column}, "%s", message)
			continue
		}
		all = append(all, parsed)
	}
	return all
}

// parseLine parses one line. The text has an empty line before it for each earlier line of the file.
func parseLine(placed string) (*statement, error) {
	if isEvent(placed) {
		e, err := eventParser.ParseString("", placed)
		return &statement{event: e}, err
	}
	s, err := settingParser.ParseString("", placed)
	return &statement{setting: s}, err
}

// positionOf converts a position of the parser to one of a finding.
func positionOf(p lexer.Position) finding.Pos { return finding.Pos{Line: p.Line, Col: p.Column} }
