// Package meshctl is the operators' client: what the mesh holds, and changes of its configuration that are checked and shown
// before they go out. Verbs are declared beside the calls that serve them.
package meshctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/agent"
	"quincegap/internal/mesh/control/configuration"
)

// Exit codes that scripts can rely on, beside 0 for done and 1 for everything else.
const (
	ExitInvalid     = 2 // the configuration, or a flag, can't be used
	ExitConflict    = 3 // another change was there first
	ExitUnavailable = 4 // nobody answered, or nobody can say: the same may be tried again
)

// CommandLine is the command line.
type CommandLine struct {
	Core []string `help:"Control addresses of core processes; the first that answers is asked." env:"QUINCEGAP_CORE" required:"" sep:","`
	JSON bool     `help:"JSON for programs."`

	Config    ConfigCommand    `cmd:"" help:"The configuration: get, check, diff, apply."`
	Members   MembersCommand   `cmd:"" help:"Processes that are there."`
	Endpoints EndpointsCommand `cmd:"" help:"Endpoints, with who vouches for them."`
	Duties    DutiesCommand    `cmd:"" help:"Duties, who does them, and who votes."`
	Why       WhyCommand       `cmd:"" help:"Where a request would go, be refused or wait."`
}

// Client asks the core.
type Client struct {
	Cores  []string
	JSON   bool
	Output io.Writer
	HTTP   http.Client
}

// Client is one of the line's.
func (c *CommandLine) Client(out io.Writer) *Client {
	return &Client{Cores: c.Core, JSON: c.JSON, Output: out, HTTP: http.Client{Timeout: 3 * time.Second}}
}

// unavailableError: no core process gave a clear answer.
type unavailableError struct{ error }

// conflictError: another change was there first.
type conflictError struct{ error }

// ExitCode is the exit code of an error.
func ExitCode(err error) int {
	switch trace.Unwrap(err).(type) {
	case nil:
		return 0
	case unavailableError:
		return ExitUnavailable
	case conflictError:
		return ExitConflict
	}
	if trace.IsBadParameter(err) {
		return ExitInvalid
	}
	return 1
}

// request asks the first core process that answers with anything but a 5xx.
func (c *Client) request(method, path string, header http.Header, body []byte) (status int, text []byte, err error) {
	var faults []string
	for _, core := range c.Cores {
		q, err := http.NewRequest(method, "http://"+core+path, bytes.NewReader(body))
		if err != nil {
			return 0, nil, trace.BadParameter("--core %s: %v", core, err)
		}
		if header != nil {
			q.Header = header
		}
		r, err := c.HTTP.Do(q)
		if err != nil {
			faults = append(faults, err.Error())
			continue
		}
		text, err = io.ReadAll(io.LimitReader(r.Body, 64<<20))
		r.Body.Close()
		if err == nil && r.StatusCode < 500 {
			return r.StatusCode, text, nil
		}
		faults = append(faults, fmt.Sprintf("%s: %s %s", core, r.Status, strings.TrimSpace(string(text))))
	}
	return 0, nil, unavailableError{trace.ConnectionProblem(nil, "nobody can say: %s", strings.Join(faults, "; "))}
}

func (c *Client) state() (s agent.State, err error) {
	_, text, err := c.request(http.MethodGet, agent.StatePath, nil, nil)
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(text, &s); err != nil {
		return s, trace.Wrap(err, "answer")
	}
	if !s.Confirmed && !c.JSON {
		fmt.Fprintf(c.Output, "%s reaches no majority of the voters: what follows may be out of date\n", s.Node)
	}
	return s, nil
}

// configuration is the configuration as the core has it now; nil for none.
func (c *Client) configuration() (*configuration.Config, error) {
	status, text, err := c.request(http.MethodGet, "/configuration/retrieve", nil, nil)
	switch {
	case err != nil:
		return nil, err
	case status == http.StatusNotFound:
		return nil, nil
	case status != http.StatusOK:
		return nil, unavailableError{trace.ConnectionProblem(nil, "status %d %s", status, text)}
	}
	conf, err := configuration.Parse(text)
	return conf, trace.Wrap(err)
}

// printTable prints rows for people, or the value for programs.
func (c *Client) printTable(value any, head string, rows [][]string) error {
	if c.JSON {
		e := json.NewEncoder(c.Output)
		e.SetIndent("", "  ")
		return trace.Wrap(e.Encode(value))
	}
	w := tabwriter.NewWriter(c.Output, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, head)
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return trace.Wrap(w.Flush())
}
