package scenario

import (
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2/lexer"
)

// scriptLexer splits a line into words. A script is parsed line by line, so that a line that can't be parsed hides no finding in others.
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

// statement is a line: an event if its first word is "at", else a setting.
type statement struct {
	event   *event   // nil for a setting
	setting *setting // nil for an event
}

// setting is a section with a name, or with keys and their values.
type setting struct {
	Pos     lexer.Position
	Section string   `parser:"@Word"`
	Values  []*value `parser:"@@*"`
}

// value is one word, number or text of a setting, or a range of them.
type value struct {
	Pos  lexer.Position
	Low  *scalar `parser:"@@"`
	High *scalar `parser:"( '..' @@ )?"`
}

// scalar is one of the things that a value may be.
type scalar struct {
	Duration *span    `parser:"@Duration"`
	Size     *string  `parser:"| @Size"`
	Rate     *string  `parser:"| @Rate"`
	Percent  *percent `parser:"| @Percent"`
	Number   *float64 `parser:"| @Number"`
	Word     *string  `parser:"| @Word"`
	Text     *string  `parser:"| @String"`
}

// event is what happens at a time.
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

// newServers adds servers to a tier.
type newServers struct {
	Pos   lexer.Position
	Count int    `parser:"@Number 'new' ('boxes' | 'box')"`
	Tier  string `parser:"('of' @Word)?"`
}

// faultyCallers are callers that send malformed requests.
type faultyCallers struct {
	Pos   lexer.Position
	Count int  `parser:"@Number 'rude' ('callers' | 'caller')"`
	For   span `parser:"'for' @Duration"`
}

// serverSelector selects the servers of a tier that an event is about.
type serverSelector struct {
	Pos   lexer.Position
	All   bool     `parser:"( @'all' 'boxes'"`
	One   *int     `parser:"| 'box' @Number"`
	Count *int     `parser:"| @Number ('boxes' | 'box')"`
	Share *percent `parser:"| @Percent 'of' 'the'? 'boxes' )"`
	Tier  string   `parser:"('of' @Word)?"`
}

// serverEvent is what happens to servers.
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

// replace replaces servers by new ones, at their addresses or at others.
type replace struct {
	In   bool  `parser:"@('at' | 'on')"`
	Same bool  `parser:"( @('their' | 'its') | 'new' ) ('addresses' | 'address')"`
	Over *span `parser:"('over' @Duration)?"`
}

// slow divides the speed of servers.
type slow struct {
	By  float64 `parser:"@Number 'times' 'slower'"`
	For span    `parser:"'for' @Duration"`
}

// fault is a fault that happens to a share of the calls of servers.
type fault struct {
	Pos  lexer.Position
	What string   `parser:"@('lose' | 'loses' | 'reset' | 'resets' | 'fail' | 'fails' | 'garble' | 'garbles' | 'refuse' | 'refuses')"`
	Of   *percent `parser:"@Percent 'of' ('calls' | 'answers')"`
	For  span     `parser:"'for' @Duration"`
}

// sidecarEvent is a signal to sidecars.
type sidecarEvent struct {
	Pos    lexer.Position
	All    bool     `parser:"( @'all' 'sidecars'"`
	One    *int     `parser:"| 'sidecar' @Number"`
	Share  *percent `parser:"| @Percent 'of' 'the'? 'sidecars' )"`
	Signal string   `parser:"('get' | 'gets') @('SIGTERM' | 'SIGKILL' | 'SIGHUP' | 'SIGSTOP')"`
	Back   *span    `parser:"('and' ('is' | 'are') 'back' 'after' @Duration)?"`
}

// linkEvent is a fault of the links between sidecars.
type linkEvent struct {
	Pos        lexer.Position
	Partition  *partition `parser:"( @@"`
	Mute       *int       `parser:"| 'sidecar' @Number 'is' 'heard' 'by' 'none'"`
	Lost       *percent   `parser:"| 'messages' 'are' ( @Percent 'lost'"`
	Duplicated *percent   `parser:"| @Percent 'doubled'"`
	Delayed    *span      `parser:"| 'late' 'by' @Duration ) )"`
	For        span       `parser:"'for' @Duration"`
}

// partition is the sidecars of one side of a partition.
type partition struct {
	From int `parser:"'sidecars' @Number '..'"`
	To   int `parser:"@Number 'are' 'cut' 'off'"`
}

// loadEvent multiplies the rate of callers.
type loadEvent struct {
	Pos   lexer.Position
	Times float64 `parser:"'load' 'is' @Number 'times'"`
	For   span    `parser:"'for' @Duration"`
}

// discoveryEvent is a fault of discovery.
type discoveryEvent struct {
	Pos     lexer.Position
	Repeats bool  `parser:"'discovery' ( @'repeats' 'itself'"`
	Silent  bool  `parser:"| 'is' ( @'silent'"`
	Behind  *span `parser:"| @Duration 'behind' ) )"`
	For     span  `parser:"'for' @Duration"`
}

// span is a time, as "9s" or "250ms".
type span time.Duration

// Capture is called by the parser.
func (s *span) Capture(values []string) error {
	d, err := time.ParseDuration(values[0])
	*s = span(d)
	return err
}

// percent is a share, written as "30%", from 0 up.
type percent float64

// Capture is called by the parser.
func (p *percent) Capture(values []string) error {
	f, err := strconv.ParseFloat(strings.TrimSuffix(values[0], "%"), 64)
	*p = percent(f / 100)
	return err
}
