package meshctl

import (
	"context"
	"net/http"
	"os"
	"strings"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/control/configuration"
)

// maxSubmitAttempts limits how often a configuration is submitted while there is no definite answer.
const maxSubmitAttempts = 5

// ConfigCommand has the commands for the configuration.
type ConfigCommand struct {
	Get   ConfigGetCommand   `cmd:"" help:"Print the newest configuration."`
	Check ConfigCheckCommand `cmd:"" help:"Check a file: every fault at once."`
	Diff  ConfigDiffCommand  `cmd:"" help:"What a file changes against what is in force."`
	Apply ConfigApplyCommand `cmd:"" help:"Put a file in force."`
}

// ConfigGetCommand prints the newest configuration.
type ConfigGetCommand struct{}

// Run prints the configuration byte for byte as it was submitted. It fails with trace.NotFound if there is none.
func (ConfigGetCommand) Run(ctx context.Context, client *Client) error {
	config, err := client.configuration(ctx)
	if err != nil {
		return err
	}
	if config == nil {
		return trace.NotFound("there is no configuration yet")
	}
	_, err = client.Output.Write(config.Raw)
	return trace.Wrap(err)
}

// ConfigCheckCommand checks a configuration file without calling a core process.
type ConfigCheckCommand struct {
	File string `arg:"" type:"existingfile"`
}

// Run checks the file with the function that the core processes use, and prints a summary.
func (c ConfigCheckCommand) Run(client *Client) error {
	config, err := readConfigFile(c.File)
	if err != nil {
		return err
	}
	client.printf("%s: %s, %d routes, %d services, %d tenants\n",
		c.File, config.Version, len(config.Routes), len(config.Services), len(config.Tenants))
	return nil
}

// readConfigFile reads and checks a configuration file. The error names the file.
func readConfigFile(file string) (*configuration.Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	config, err := configuration.Parse(text)
	return config, trace.Wrap(err, "%s", file)
}

// ConfigDiffCommand prints the differences between the newest configuration and a file.
type ConfigDiffCommand struct {
	File string `arg:"" type:"existingfile"`
}

// Run prints one line for each difference.
func (c ConfigDiffCommand) Run(ctx context.Context, client *Client) error {
	config, err := readConfigFile(c.File)
	if err != nil {
		return err
	}
	current, err := client.configuration(ctx)
	if err != nil {
		return err
	}
	client.printChanges(current, config)
	return nil
}

// printChanges prints the differences between the current configuration, which may be nil, and the next one.
func (c *Client) printChanges(current, next *configuration.Config) {
	for _, change := range Diff(current, next) {
		c.printf("%s\n", change)
	}
}

// ConfigApplyCommand submits a configuration file to the core processes.
type ConfigApplyCommand struct {
	File string `arg:"" type:"existingfile"`
	Base string `help:"The version that it builds on; what is in force now if left out."`
}

// Run checks the file, prints its differences from the newest configuration, and submits it. Its errors are those of configuration and
// submit, and trace.BadParameter for an invalid file or base version.
func (c ConfigApplyCommand) Run(ctx context.Context, client *Client) error {
	config, err := readConfigFile(c.File)
	if err != nil {
		return err
	}
	current, err := client.configuration(ctx)
	if err != nil {
		return err
	}
	currentVersion := configuration.Version(0)
	if current != nil {
		currentVersion = current.Version
	}
	base := currentVersion
	if c.Base != "" {
		base, err = configuration.ParseVersion(c.Base)
		if err != nil {
			return trace.BadParameter("--base %s: wanted a version like r12", c.Base)
		}
	}
	client.printChanges(current, config)
	return client.submit(ctx, config, base, currentVersion)
}

// submit submits a configuration until there is a definite answer, but at most maxSubmitAttempts times. base is the version that the
// configuration replaces; current is the version that was read last, for the error message. The error is a conflictError, an
// unavailableError, or trace.BadParameter if the core process has rejected the configuration.
func (c *Client) submit(ctx context.Context, config *configuration.Config, base, current configuration.Version) error {
	header := http.Header{headerBaseVersion: {base.String()}, "Content-Type": {"application/json"}}
	for range maxSubmitAttempts {
		status, answer, err := c.request(ctx, http.MethodPost, pathReplace, header, config.Raw)
		if err != nil {
			continue
		}
		switch status {
		case http.StatusRequestTimeout, http.StatusTooManyRequests:
			continue
		case http.StatusOK:
			c.printf("%s is on a majority of disks\n", config.Version)
			return nil
		case http.StatusPreconditionFailed:
			return conflictError{trace.CompareFailed("%s builds on %s, and another version is in place (%s when last read): %s",
				config.Version, base, current, strings.TrimSpace(string(answer)))}
		default:
			return trace.BadParameter("refused with %d: %s", status, strings.TrimSpace(string(answer)))
		}
	}
	return unavailableError{trace.ConnectionProblem(nil, "no clear answer: %s may be in force or not; apply it once more", config.Version)}
}
