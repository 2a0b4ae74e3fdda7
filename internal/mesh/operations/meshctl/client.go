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

	maxAnswerBytes = 64 << 20
)

// Client calls the core processes, and prints the output of commands.
type Client struct {
	Cores  []string // control addresses
	JSON   bool     // output is for programs
	Output io.Writer
	HTTP   http.Client
}

// printf prints for people. Errors are ignored, as callers of fmt.Printf do.
func (c *Client) printf(format string, args ...any) { _, _ = fmt.Fprintf(c.Output, format, args...) }

// request sends a request to the core processes in turn, until one answers with anything but a server error. The error is an
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

// send sends a request to one core process. failure is the reason why there is no answer; empty if there is one.
func (c *Client) send(request *http.Request) (status int, answer []byte, failure string) {
	response, err := c.HTTP.Do(request)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer func() { _ = response.Body.Close() }() // an error is of no consequence once the body was read
	answer, err = io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil || response.StatusCode >= http.StatusInternalServerError {
		return 0, nil, fmt.Sprintf("%s: %s %s", request.URL.Host, response.Status, strings.TrimSpace(string(answer)))
	}
	return response.StatusCode, answer, ""
}

// state returns the state of a core process. Output for people gets a warning if it may be out of date; the JSON has a field for that.
func (c *Client) state(ctx context.Context) (*agent.State, error) {
	status, answer, err := c.request(ctx, http.MethodGet, agent.StatePath, nil, nil)
	if err != nil {
		return nil, err
	}
	var state agent.State
	if err := json.Unmarshal(answer, &state); err != nil {
		return nil, trace.Wrap(err, "%s: status %d, answer", agent.StatePath, status)
	}
	if !state.Confirmed && !c.JSON {
		c.printf("%s reaches no majority of the voters: what follows may be out of date\n", state.Node)
	}
	return &state, nil
}

// configuration returns the newest configuration; nil if there is none yet.
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
		return nil, unavailableError{trace.ConnectionProblem(nil, "status %d %s", status, answer)}
	}
}
