package meshctl

import (
	"io"
	"net/http"
	"time"
)

// CommandLine is the command line that kong parses. Its fields are the flags and the commands.
type CommandLine struct {
	Core []string `help:"Control addresses of core processes; the first that answers is asked." env:"QUINCEGAP_CORE" required:"" sep:","`
	JSON bool     `help:"JSON for programs."`

	Config    ConfigCommand    `cmd:"" help:"The configuration: get, check, diff, apply."`
	Members   MembersCommand   `cmd:"" help:"Processes that are there."`
	Endpoints EndpointsCommand `cmd:"" help:"Endpoints, with who vouches for them."`
	Duties    DutiesCommand    `cmd:"" help:"Duties, who does them, and who votes."`
	Why       WhyCommand       `cmd:"" help:"Where a request would go, be refused or wait."`
}

// requestTimeout limits the time that a core process has to answer a request.
const requestTimeout = 3 * time.Second

// Client returns the client for a command line. The client prints to out.
func (l *CommandLine) Client(out io.Writer) *Client {
	return &Client{Cores: l.Core, JSON: l.JSON, Output: out, HTTP: http.Client{Timeout: requestTimeout}}
}
