package meshctl

import (
	"context"
	"net/http"
	"os"
	"strings"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/control/configuration"
)

// maxSends is how often a change without a clear answer is sent.
const maxSends = 5

// ConfigCommand holds the commands of the configuration.
type ConfigCommand struct {
	Get   ConfigGetCommand   `cmd:"" help:"Print the newest configuration."`
	Check ConfigCheckCommand `cmd:"" help:"Check a file: every fault at once."`
	Diff  ConfigDiffCommand  `cmd:"" help:"What a file changes against what is in force."`
	Apply ConfigApplyCommand `cmd:"" help:"Put a file in force."`
}

// ConfigGetCommand prints the newest configuration.
type ConfigGetCommand struct{}

// Run prints it byte for byte as it was submitted.
func (ConfigGetCommand) Run(ctx context.Context, client *Client) error {
	conf, err := client.configuration(ctx)
	if err != nil {
		return err
	}
	if conf == nil {
		return trace.NotFound("there is no configuration yet")
	}
	_, err = client.Output.Write(conf.Raw)
	return trace.Wrap(err)
}

// ConfigCheckCommand checks a file. It asks no core process.
type ConfigCheckCommand struct {
	File string `arg:"" type:"existingfile"`
}

// Run checks it by the function by which the core processes do.
func (c ConfigCheckCommand) Run(client *Client) error {
	conf, err := readFile(c.File)
	if err != nil {
		return err
	}
	client.printf("%s: %s, %d routes, %d services, %d tenants\n", c.File, conf.Version, len(conf.Routes), len(conf.Services), len(conf.Tenants))
	return nil
}

// readFile reads and checks a file. The error names it.
func readFile(file string) (*configuration.Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	conf, err := configuration.Parse(text)
	return conf, trace.Wrap(err, "%s", file)
}

// ConfigDiffCommand shows what a file changes.
type ConfigDiffCommand struct {
	File string `arg:"" type:"existingfile"`
}

// Run prints one line for each change.
func (c ConfigDiffCommand) Run(ctx context.Context, client *Client) error {
	conf, err := readFile(c.File)
	if err != nil {
		return err
	}
	current, err := client.configuration(ctx)
	if err != nil {
		return err
	}
	client.printChanges(current, conf)
	return nil
}

// printChanges prints what a configuration changes against the current one, which may be nil.
func (c *Client) printChanges(current, next *configuration.Config) {
	for _, change := range Diff(current, next) {
		c.printf("%s\n", change)
	}
}

// ConfigApplyCommand submits a file.
type ConfigApplyCommand struct {
	File string `arg:"" type:"existingfile"`
	Base string `help:"The version that it builds on; what is in force now if left out."`
}

// Run checks the file, prints what it changes, and submits it until there is a clear answer.
func (c ConfigApplyCommand) Run(ctx context.Context, client *Client) error {
	conf, err := readFile(c.File)
	if err != nil {
		return err
	}
	now, err := client.configuration(ctx)
	if err != nil {
		return err
	}
	current := configuration.Version(0)
	if now != nil {
		current = now.Version
	}
	base := current
	if c.Base != "" {
		base, err = configuration.ParseVersion(c.Base)
		if err != nil {
			return trace.BadParameter("--base %s: wanted a version like r12", c.Base)
		}
	}
	client.printChanges(now, conf)
	return client.submit(ctx, conf, base, current)
}

// submit sends a configuration until there is a clear answer. base is the version that it builds on, current the one that was read last.
func (c *Client) submit(ctx context.Context, conf *configuration.Config, base, current configuration.Version) error {
	header := http.Header{headerBaseVersion: {base.String()}, "Content-Type": {"application/json"}}
	for range maxSends {
		status, answer, err := c.request(ctx, http.MethodPost, pathReplace, header, conf.Raw)
		if err != nil {
			continue
		}
		switch status {
		case http.StatusRequestTimeout, http.StatusTooManyRequests:
			continue
		case http.StatusOK:
			c.printf("%s is on a majority of disks\n", conf.Version)
			return nil
		case http.StatusPreconditionFailed:
			return conflictError{trace.CompareFailed("%s builds on %s, and another version is in place (%s when last read): %s",
				conf.Version, base, current, strings.TrimSpace(string(answer)))}
		default:
			return trace.BadParameter("refused with %d: %s", status, strings.TrimSpace(string(answer)))
		}
	}
	return unavailableError{trace.ConnectionProblem(nil, "no clear answer: %s may be in force or not; apply it once more", conf.Version)}
}
