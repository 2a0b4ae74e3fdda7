package meshctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/agent"
	"quincegap/internal/mesh/control/configuration"
)

const (
	pathRetrieve = "/configuration/retrieve"
	pathReplace  = "/configuration/replace"

	headerBaseVersion = "Base-Version"

	maxAnswerBytes = 64 << 20 // length at which the body of an answer is truncated
)

// Client calls core processes, and prints the output of commands.
type Client struct {
	Cores  []string    // control addresses of core processes, in the order in which they are called
	JSON   bool        // whether the output is JSON for programs
	Output io.Writer   // destination of the output of commands
	HTTP   http.Client // client for the requests to core processes
}

// printf prints output for people. It ignores write errors, as callers of fmt.Printf usually do.
func (c *Client) printf(format string, args ...any) { _, _ = fmt.Fprintf(c.Output, format, args...) }

// request sends a request to the core processes in turn until one answers with anything other than a server error. The error is an
// unavailableError if none does, or trace.BadParameter for an invalid address.
func (c *Client) request(ctx context.Context, method, path string, header http.Header, body []byte) (status int, answer []byte, err error) {
	var failures []string
	for _, core := range c.Cores {
		request, err := http.NewRequestWithContext(ctx, method, "http://"+core+path, bytes.NewReader(body))
		if err != nil {
			return 0, nil, trace.BadParameter("--core %s: %v", core, err)
		}
		if header != nil {
			request.Header = header
		}
		status, answer, failure := c.send(request)
		if failure == "" {
			return status, answer, nil
		}
		failures = append(failures, failure)
	}
	return 0, nil, unavailableError{trace.ConnectionProblem(nil, "nobody can say: %s", strings.Join(failures, "; "))}
}

// send sends a request to one core process. failure says why there is no usable answer; it is empty if there is one.
func (c *Client) send(request *http.Request) (status int, answer []byte, failure string) {
	response, err := c.HTTP.Do(request)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer func() { _ = response.Body.Close() }() // the body has been read, so an error has no effect
	answer, err = io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil || response.StatusCode >= http.StatusInternalServerError {
		return 0, nil, fmt.Sprintf("%s: %s %s", request.URL.Host, response.Status, strings.TrimSpace(string(answer)))
	}
	return response.StatusCode, answer, ""
}

// state returns the state of the mesh as a core process knows it. If the state may be out of date, output for people starts with a warning.
// Output for programs has none.
func (c *Client) state(ctx context.Context) (*agent.State, error) {
	status, answer, err := c.request(ctx, http.MethodGet, agent.StatePath, nil, nil)
	if err != nil {
		return nil, err
	}
	var state agent.State
	if err := json.Unmarshal(answer, &state); err != nil {
		return nil, trace.Wrap(err, "parse answer to GET %s with status %d", agent.StatePath, status)
	}
	if !state.Confirmed && !c.JSON {
		c.printf("%s reaches no majority of the voters: what follows may be out of date\n", state.Node)
	}
	return &state, nil
}

// configuration returns the newest configuration, or nil if none was submitted yet. The error is that of request, one of package
// configuration for an invalid answer, or an unavailableError for an unexpected status.
func (c *Client) configuration(ctx context.Context) (*configuration.Config, error) {
	status, answer, err := c.request(ctx, http.MethodGet, pathRetrieve, nil, nil)
	if err != nil {
		return nil, err
	}
	switch status {
	case http.StatusOK:
		config, err := configuration.Parse(answer)
		return config, trace.Wrap(err)
	case http.StatusNotFound:
		return nil, nil
	default:
		return nil, unavailableError{trace.ConnectionProblem(nil, "read configuration: unexpected status %d: %s", status, answer)}
	}
}
