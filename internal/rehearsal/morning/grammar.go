package morning

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"quincegap/internal/config/finding"
)

// A script is read line by line, so that one line that cannot be read hides no other.

var scriptLexer = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `#.*`},
	{Name: "Space", Pattern: `[ \t\r\n]+`},
	{Name: "String", Pattern: `"[^"]*"`},
	{Name: "Duration", Pattern: `\d+(\.\d+)?(us|ms|s|m)\b`},
	{Name: "Size", Pattern: `\d+MiB\b`},
	{Name: "Rate", Pattern: `\d+(\.\d+)?/s\b`},
	{Name: "Percent", Pattern: `\d+(\.\d+)?%`},
	{Name: "Number", Pattern: `\d+(\.\d+)?`},
	{Name: "To", Pattern: `\.\.`},
	{Name: "Word", Pattern: `[A-Za-z]([A-Za-z0-9_.-]*[A-Za-z0-9])?`},
	{Name: "Punct", Pattern: `[:,]`},
})

// statement is a line: an event, or a setting. Which of them, its first word tells.
type statement struct {
	event   *event
	setting *setting
}

// setting is a section with what stands behind it: a name or names of keys, and values.
type setting struct {
	Pos     lexer.Position
	Section string   `parser:"@Word"`
	Values  []*value `parser:"@@*"`
}

type value struct {
	Pos  lexer.Position
	Low  *scalar `parser:"@@"`
	High *scalar `parser:"( '..' @@ )?"`
}

type scalar struct {
	Duration *span    `parser:"@Duration"`
	Size     *string  `parser:"| @Size"`
	Rate     *string  `parser:"| @Rate"`
	Percent  *percent `parser:"| @Percent"`
	Number   *float64 `parser:"| @Number"`
	Word     *string  `parser:"| @Word"`
	Text     *string  `parser:"| @String"`
}

// planEvent is what happens at a time.
type event struct {
	Pos lexer.Position
	At  span `parser:"'at' @Duration ':'"`

	NewServers    *newServers     `parser:"( @@"`
	FaultyCallers *faultyCallers  `parser:"| @@"`
	Servers       *serverEvent    `parser:"| @@"`
	Link          *linkEvent      `parser:"| @@"`
	Sidecars      *sidecarEvent   `parser:"| @@"`
	Load          *loadEvent      `parser:"| @@"`
	Discovery     *discoveryEvent `parser:"| @@ )"`
}

type newServers struct {
	Pos   lexer.Position
	Count int    `parser:"@Number 'new' ('boxes' | 'box')"`
	Tier  string `parser:"('of' @Word)?"`
}

type faultyCallers struct {
	Pos   lexer.Position
	Count int  `parser:"@Number 'rude' ('callers' | 'caller')"`
	For   span `parser:"'for' @Duration"`
}

type serverSelector struct {
	Pos   lexer.Position
	All   bool     `parser:"( @'all' 'boxes'"`
	One   *int     `parser:"| 'box' @Number"`
	Count *int     `parser:"| @Number ('boxes' | 'box')"`
	Share *percent `parser:"| @Percent 'of' 'the'? 'boxes' )"`
	Tier  string   `parser:"('of' @Word)?"`
}

type serverEvent struct {
	Targets *serverSelector `parser:"@@"`

	Silent  *span    `parser:"( ('go' | 'goes') 'silent' 'for' @Duration"`
	Pause   *span    `parser:"| ('pause' | 'pauses') 'for' @Duration"`
	Restart *span    `parser:"| ('restart' | 'restarts') 'taking' @Duration"`
	Die     bool     `parser:"| @('die' | 'dies')"`
	Drain   *span    `parser:"| ('drain' | 'drains') 'for' @Duration"`
	Replace *replace `parser:"| ('are' | 'is') 'replaced' @@"`
	Slow    *slow    `parser:"| ('are' | 'is') @@"`
	Weigh   *float64 `parser:"| ('weigh' | 'weighs') @Number"`
	Fault   *fault   `parser:"| @@ )"`
}

type replace struct {
	In   bool  `parser:"@('at' | 'on')"`
	Same bool  `parser:"( @('their' | 'its') | 'new' ) ('addresses' | 'address')"`
	Over *span `parser:"('over' @Duration)?"`
}

type slow struct {
	By  float64 `parser:"@Number 'times' 'slower'"`
	For span    `parser:"'for' @Duration"`
}

type fault struct {
	Pos  lexer.Position
	What string   `parser:"@('lose' | 'loses' | 'reset' | 'resets' | 'fail' | 'fails' | 'garble' | 'garbles' | 'refuse' | 'refuses')"`
	Of   *percent `parser:"@Percent 'of' ('calls' | 'answers')"`
	For  span     `parser:"'for' @Duration"`
}

type sidecarEvent struct {
	Pos    lexer.Position
	All    bool     `parser:"( @'all' 'sidecars'"`
	One    *int     `parser:"| 'sidecar' @Number"`
	Share  *percent `parser:"| @Percent 'of' 'the'? 'sidecars' )"`
	Signal string   `parser:"('get' | 'gets') @('SIGTERM' | 'SIGKILL' | 'SIGHUP' | 'SIGSTOP')"`
	Back   *span    `parser:"('and' ('is' | 'are') 'back' 'after' @Duration)?"`
}

// linkEvent is what befalls what sidecars tell one another.
type linkEvent struct {
	Pos        lexer.Position
	Partition  *partition `parser:"( @@"`
	Mute       *int       `parser:"| 'sidecar' @Number 'is' 'heard' 'by' 'none'"`
	Lost       *percent   `parser:"| 'messages' 'are' ( @Percent 'lost'"`
	Duplicated *percent   `parser:"| @Percent 'doubled'"`
	Delayed    *span      `parser:"| 'late' 'by' @Duration ) )"`
	For        span       `parser:"'for' @Duration"`
}

type partition struct {
	From int `parser:"'sidecars' @Number '..'"`
	To   int `parser:"@Number 'are' 'cut' 'off'"`
}

type loadEvent struct {
	Pos   lexer.Position
	Times float64 `parser:"'load' 'is' @Number 'times'"`
	For   span    `parser:"'for' @Duration"`
}

type discoveryEvent struct {
	Pos     lexer.Position
	Repeats bool  `parser:"'discovery' ( @'repeats' 'itself'"`
	Silent  bool  `parser:"| 'is' ( @'silent'"`
	Behind  *span `parser:"| @Duration 'behind' ) )"`
	For     span  `parser:"'for' @Duration"`
}

// span is a time, as "9s" or "250ms".
type span time.Duration

func (s *span) Capture(values []string) error {
	d, err := time.ParseDuration(values[0])
	*s = span(d)
	return err
}

// percent is a share.
type percent float64

func (p *percent) Capture(values []string) error {
	f, err := strconv.ParseFloat(strings.TrimSuffix(values[0], "%"), 64)
	*p = percent(f / 100)
	return err
}

// lookahead is how many words it takes to tell one event from another ("11% of the boxes", "11% of the sidecars").
const lookahead = 6

var (
	parserOptions = []participle.Option{participle.Lexer(scriptLexer), participle.Elide("Comment", "Space"), participle.Unquote("String"), participle.UseLookahead(lookahead)}
	eventParser   = participle.MustBuild[event](parserOptions...)
	settingParser = participle.MustBuild[setting](parserOptions...)
)

// eventExamples are shown where an event cannot be read, by the word that its kind goes by.
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

// describeParseError words a message on a line that is no statement.
func describeParseError(line string, err error) (col int, message string) {
	col, message = 1, err.Error()
	var at participle.Error
	if errors.As(err, &at) {
		col, message = at.Position().Column, at.Message()
	}
	var token *participle.UnexpectedTokenError
	if errors.As(err, &token) {
		message = "the line ends too early"
		if !token.Unexpected.EOF() {
			message = strconv.Quote(token.Unexpected.Value) + " does not fit here"
		}
	}
	if strings.Fields(line)[0] == "at" {
		for _, e := range eventExamples {
			if strings.Contains(line, e.word) {
				return col, message + "; one that can be read: " + e.example
			}
		}
		message += "; one that can be read: " + eventExamples[0].example
	}
	return col, message
}

// parseScript reads the lines of a script. Positions count characters as the file has them.
func parseScript(text string, add finding.Reporter) (all []*statement) {
	n := 0
	for line := range strings.Lines(text) {
		n++
		if n > maxLines {
			add(finding.Pos{Line: n, Col: 1}, "more than %d lines", maxLines)
			break
		}
		line = strings.TrimRight(line, "\r\n")
		if t := strings.TrimSpace(line); t == "" || t[0] == '#' {
			continue
		}
		// The lines before it stand empty, so that every position is that in the file.
		placed := strings.Repeat("\n", n-1) + line
		s, err := &statement{}, error(nil)
		if strings.Fields(line)[0] == "at" {
			s.event, err = eventParser.ParseString("", placed)
		} else {
			s.setting, err = settingParser.ParseString("", placed)
		}
		if err != nil {
			col, message := describeParseError(line, err)
			add(finding.Pos{Line: n, Col: col}, "%s", message)
			continue
		}
		all = append(all, s)
	}
	return all
}

func positionOf(p lexer.Position) finding.Pos { return finding.Pos{Line: p.Line, Col: p.Column} }
