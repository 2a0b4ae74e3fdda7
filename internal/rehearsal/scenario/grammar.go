package scenario

import (
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/participle/v2/lexer"
)

// scriptLexer splits a line into tokens. A script is parsed line by line, so that a syntax error in one line doesn't hide findings in
// other lines.
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

// statement is a parsed line: an event if its first word is "at", else a setting.
type statement struct {
	event   *event   // nil for a setting
	setting *setting // nil for an event
}

// setting is a section, followed by a name, by keys with their values, or by both.
type setting struct {
	Pos     lexer.Position
	Section string   `parser:"@Word"`
	Values  []*value `parser:"@@*"`
}

// value is a scalar of a setting, or a range between two of them.
type value struct {
	Pos  lexer.Position
	Low  *scalar `parser:"@@"`
	High *scalar `parser:"( '..' @@ )?"`
}

// scalar is a single value of a setting; one of its fields is set.
type scalar struct {
	Duration *span    `parser:"@Duration"`
	Size     *string  `parser:"| @Size"`
	Rate     *string  `parser:"| @Rate"`
	Percent  *percent `parser:"| @Percent"`
	Number   *float64 `parser:"| @Number"`
	Word     *string  `parser:"| @Word"`
	Text     *string  `parser:"| @String"`
}

// event is a line with a time and what happens then; one of the pointers is set.
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

// newServers is the event that adds servers to a tier.
type newServers struct {
	Pos   lexer.Position
	Count int    `parser:"@Number 'new' ('boxes' | 'box')"`
	Tier  string `parser:"('of' @Word)?"`
}

// faultyCallers is the event that adds callers that send malformed requests, for some time.
type faultyCallers struct {
	Pos   lexer.Position
	Count int  `parser:"@Number 'rude' ('callers' | 'caller')"`
	For   span `parser:"'for' @Duration"`
}

// serverSelector selects the servers of a tier that an event applies to.
type serverSelector struct {
	Pos   lexer.Position
	All   bool     `parser:"( @'all' 'boxes'"`
	One   *int     `parser:"| 'box' @Number"`
	Count *int     `parser:"| @Number ('boxes' | 'box')"`
	Share *percent `parser:"| @Percent 'of' 'the'? 'boxes' )"`
	Tier  string   `parser:"('of' @Word)?"`
}

// serverEvent is an event that applies to servers of one tier.
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

// replace is the replacement of servers by new ones, at the same addresses or at new ones.
type replace struct {
	In   bool  `parser:"@('at' | 'on')"`
	Same bool  `parser:"( @('their' | 'its') | 'new' ) ('addresses' | 'address')"`
	Over *span `parser:"('over' @Duration)?"`
}

// slow is a slowdown of servers: it divides their speed.
type slow struct {
	By  float64 `parser:"@Number 'times' 'slower'"`
	For span    `parser:"'for' @Duration"`
}

// fault is a fault that affects a share of the calls of servers.
type fault struct {
	Pos  lexer.Position
	What string   `parser:"@('lose' | 'loses' | 'reset' | 'resets' | 'fail' | 'fails' | 'garble' | 'garbles' | 'refuse' | 'refuses')"`
	Of   *percent `parser:"@Percent 'of' ('calls' | 'answers')"`
	For  span     `parser:"'for' @Duration"`
}

// sidecarEvent is a signal to sidecars, which may be restarted afterwards.
type sidecarEvent struct {
	Pos    lexer.Position
	All    bool     `parser:"( @'all' 'sidecars'"`
	One    *int     `parser:"| 'sidecar' @Number"`
	Share  *percent `parser:"| @Percent 'of' 'the'? 'sidecars' )"`
	Signal string   `parser:"('get' | 'gets') @('SIGTERM' | 'SIGKILL' | 'SIGHUP' | 'SIGSTOP')"`
	Back   *span    `parser:"('and' ('is' | 'are') 'back' 'after' @Duration)?"`
}

// linkEvent is a network fault between sidecars.
type linkEvent struct {
	Pos        lexer.Position
	Partition  *partition `parser:"( @@"`
	Mute       *int       `parser:"| 'sidecar' @Number 'is' 'heard' 'by' 'none'"`
	Lost       *percent   `parser:"| 'messages' 'are' ( @Percent 'lost'"`
	Duplicated *percent   `parser:"| @Percent 'doubled'"`
	Delayed    *span      `parser:"| 'late' 'by' @Duration ) )"`
	For        span       `parser:"'for' @Duration"`
}

// partition is a range of sidecars that are separated from the others.
type partition struct {
	From int `parser:"'sidecars' @Number '..'"`
	To   int `parser:"@Number 'are' 'cut' 'off'"`
}

// loadEvent is an event that multiplies the rate of callers.
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

// span is a duration, written like "9s" or "250ms".
type span time.Duration

// Capture parses the token. The parser calls it.
func (s *span) Capture(values []string) error {
	d, err := time.ParseDuration(values[0])
	*s = span(d)
	return err
}

// percent is a share of 0 or more, written like "30%"; 1 is 100%.
type percent float64

// Capture parses the token. The parser calls it.
func (p *percent) Capture(values []string) error {
	f, err := strconv.ParseFloat(strings.TrimSuffix(values[0], "%"), 64)
	*p = percent(f / 100)
	return err
}
