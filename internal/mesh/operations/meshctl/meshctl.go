package meshctl

import (
	"io"
	"net/http"
	"time"
)

// CommandLine is the command line, as kong parses it. The fields' names and tags are the commands and flags.
type CommandLine struct {
	Core []string `help:"Control addresses of core processes; the first that answers is asked." env:"QUINCEGAP_CORE" required:"" sep:","`
	JSON bool     `help:"JSON for programs."`

	Config    ConfigCommand    `cmd:"" help:"The configuration: get, check, diff, apply."`
	Members   MembersCommand   `cmd:"" help:"Processes that are there."`
	Endpoints EndpointsCommand `cmd:"" help:"Endpoints, with who vouches for them."`
	Duties    DutiesCommand    `cmd:"" help:"Duties, who does them, and who votes."`
	Why       WhyCommand       `cmd:"" help:"Where a request would go, be refused or wait."`
}

// requestTimeout is for one core process to answer one request.
const requestTimeout = 3 * time.Second

// Client makes the client that a command line asks for, which prints to out.
func (l *CommandLine) Client(out io.Writer) *Client {
	return &Client{Cores: l.Core, JSON: l.JSON, Output: out, HTTP: http.Client{Timeout: requestTimeout}}
}
