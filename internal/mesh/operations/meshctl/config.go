package meshctl

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"quincegap/internal/mesh/control/configuration"
)

// ConfigCommand holds the verbs of the configuration.
type ConfigCommand struct {
	Get   ConfigGetCommand   `cmd:"" help:"Print the newest configuration."`
	Check ConfigCheckCommand `cmd:"" help:"Check a file: every fault at once."`
	Diff  ConfigDiffCommand  `cmd:"" help:"What a file changes against what is in force."`
	Apply ConfigApplyCommand `cmd:"" help:"Put a file in force."`
}

// ConfigGetCommand prints the configuration.
type ConfigGetCommand struct{}

// Run prints it as it was sent.
func (ConfigGetCommand) Run(c *Client) error {
	conf, err := c.configuration()
	if err != nil {
		return err
	}
	if conf == nil {
		return trace.NotFound("there is no configuration yet")
	}
	_, err = c.Output.Write(conf.Raw)
	return trace.Wrap(err)
}

// ConfigCheckCommand checks a file.
type ConfigCheckCommand struct {
	File string `arg:"" type:"existingfile"`
}

// Run checks it by the same function as the core does.
func (c ConfigCheckCommand) Run(client *Client) error {
	conf, err := readFile(c.File)
	if err == nil {
		fmt.Fprintf(client.Output, "%s: %s, %d routes, %d services, %d tenants\n", c.File, conf.Version, len(conf.Routes), len(conf.Services), len(conf.Tenants))
	}
	return err
}

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

// Run shows it.
func (c ConfigDiffCommand) Run(client *Client) error {
	conf, err := readFile(c.File)
	if err != nil {
		return err
	}
	now, err := client.configuration()
	if err != nil {
		return err
	}
	for _, x := range Diff(now, conf) {
		fmt.Fprintln(client.Output, x)
	}
	return nil
}

// ConfigApplyCommand puts a file in force.
type ConfigApplyCommand struct {
	File string `arg:"" type:"existingfile"`
	Base string `help:"The version that it builds on; what is in force now if left out."`
}

// Run checks the file, shows what it changes, and sends it until there is a clear answer.
func (c ConfigApplyCommand) Run(client *Client) error {
	conf, err := readFile(c.File)
	if err != nil {
		return err
	}
	now, err := client.configuration()
	if err != nil {
		return err
	}
	current := configuration.Version(0)
	if now != nil {
		current = now.Version
	}
	base := current
	if c.Base != "" {
		if base, err = configuration.ParseVersion(c.Base); err != nil {
			return trace.BadParameter("--base %s: wanted a version like r12", c.Base)
		}
	}
	for _, x := range Diff(now, conf) {
		fmt.Fprintln(client.Output, x)
	}
	return client.replace(conf, base, current)
}

// maxSends is how often an order without a clear answer is sent.
const maxSends = 5

// replace sends an order until there is a clear answer.
func (c *Client) replace(conf *configuration.Config, base, current configuration.Version) error {
	header := http.Header{"Base-Version": {base.String()}, "Content-Type": {"application/json"}}
	for range maxSends {
		status, text, err := c.request(http.MethodPost, "/configuration/replace", header, conf.Raw)
		switch {
		case err != nil || status == http.StatusRequestTimeout || status == http.StatusTooManyRequests:
			continue
		case status == http.StatusOK:
			fmt.Fprintf(c.Output, "%s is on a majority of disks\n", conf.Version)
			return nil
		case status == http.StatusPreconditionFailed:
			return conflictError{trace.CompareFailed("%s builds on %s, and another version is in place (%s when last read): %s",
				conf.Version, base, current, strings.TrimSpace(string(text)))}
		default:
			return trace.BadParameter("refused with %d: %s", status, strings.TrimSpace(string(text)))
		}
	}
	return unavailableError{trace.ConnectionProblem(nil, "no clear answer: %s may be in force or not; apply it once more", conf.Version)}
}

// Diff is what one configuration changes against another, which may be nil; keys are told as changed, never printed.
func Diff(from, to *configuration.Config) (out []string) {
	if from == nil {
		from = &configuration.Config{}
	}
	if from.Version != to.Version {
		out = append(out, fmt.Sprintf("version %s -> %s", from.Version, to.Version))
	}
	name := func(r configuration.Route) string { return "route " + r.Host + r.Prefix }
	out = append(out, diffByName(from.Routes, to.Routes, name, routeText)...)
	out = append(out, diffByName(from.Services, to.Services, func(s configuration.Service) string { return "service " + s.Name },
		serviceText)...)
	out = append(out, diffByName(from.Tenants, to.Tenants, func(t configuration.Tenant) string { return "tenant " + t.Name },
		func(t configuration.Tenant) string {
			return fmt.Sprintf("rank %d, rate %v, burst %v", t.Priority, t.Rate, t.Burst)
		})...)
	keys := map[string][]string{}
	for _, t := range from.Tenants {
		keys[t.Name] = t.Keys
	}
	for _, t := range to.Tenants {
		if old, ok := keys[t.Name]; ok && !slices.Equal(old, t.Keys) {
			out = append(out, fmt.Sprintf("tenant %s: keys change (%d before, %d now)", t.Name, len(old), len(t.Keys)))
		}
	}
	if from.Limits != to.Limits {
		out = append(out, fmt.Sprintf("limits %s -> %s", limitsText(from.Limits), limitsText(to.Limits)))
	}
	return out
}

// routeText, serviceText and limitsText are what a person reads of a change. The names in them are part of the output, whatever the
// fields are called.
func routeText(r configuration.Route) string {
	split := make([]string, len(r.Split))
	for i, x := range r.Split {
		split[i] = fmt.Sprintf("{Service:%s Weight:%v}", x.Service, x.Weight)
	}
	return fmt.Sprintf("{Name:%s Host:%s Prefix:%s Kind:%d Timeout:%v Target:%v Priority:%d MaxAttempts:%d Split:[%s] Public:%t}", r.Name, r.Host, r.Prefix,
		r.Kind, r.Timeout, r.Target, r.Priority, r.MaxAttempts, strings.Join(split, " "), r.Public)
}

func serviceText(s configuration.Service) string {
	return fmt.Sprintf("{Name:%s HealthPath:%s ConnectionCap:%d}", s.Name, s.HealthPath, s.ConnectionCap)
}

func limitsText(l configuration.Limits) string {
	return fmt.Sprintf("{HeaderMax:%d BodyMax:%d HeaderTimeout:%v IdleTimeout:%v}", l.HeaderMax, l.BodyMax, l.HeaderTimeout, l.IdleTimeout)
}

func diffByName[T any](from, to []T, name, text func(T) string) (out []string) {
	old := map[string]string{}
	for _, x := range from {
		old[name(x)] = text(x)
	}
	for _, x := range to {
		was, ok := old[name(x)]
		delete(old, name(x))
		switch now := text(x); {
		case !ok:
			out = append(out, "+ "+name(x)+": "+now)
		case was != now:
			out = append(out, "~ "+name(x)+": "+was+" -> "+now)
		}
	}
	for _, x := range from {
		if _, ok := old[name(x)]; ok {
			out = append(out, "- "+name(x))
		}
	}
	return out
}
