// Package meshctl is the operators' client: what the mesh holds, and changes of its configuration that are checked and shown
// before they go out. Verbs are declared beside the calls that serve them.
package meshctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"gingerlead/internal/mesh/agent"
	"gingerlead/internal/mesh/control/configuration"
)

// Exit codes that scripts can rely on, beside 0 for done and 1 for everything else.
const (
	ExitInvalid  = 2 // the configuration, or a flag, can't be used
	ExitConflict = 3 // another change was there first
	ExitUnclear  = 4 // nobody answered, or nobody can say: the same may be tried again
)

// Line is the command line.
type Line struct {
	Core []string `help:"Control addresses of core processes; the first that answers is asked." env:"QUINCEGAP_CORE" required:"" sep:","`
	JSON bool     `help:"JSON for programs."`

	Config    ConfigLine    `cmd:"" help:"The configuration: get, check, diff, apply."`
	Members   MembersLine   `cmd:"" help:"Processes that are there."`
	Endpoints EndpointsLine `cmd:"" help:"Endpoints, with who vouches for them."`
	Duties    DutiesLine    `cmd:"" help:"Duties, who does them, and who votes."`
	Why       WhyLine       `cmd:"" help:"Where a request would go, be refused or wait."`
}

// Client asks the core.
type Client struct {
	Cores []string
	JSON  bool
	Out   io.Writer
	HTTP  http.Client
}

// Client is one of the line's.
func (l *Line) Client(out io.Writer) *Client {
	return &Client{Cores: l.Core, JSON: l.JSON, Out: out, HTTP: http.Client{Timeout: 3 * time.Second}}
}

// unclearError: no core process gave a clear answer.
type unclearError struct{ error }

// conflictError: another change was there first.
type conflictError struct{ error }

// Code is the exit code of an error.
func Code(err error) int {
	switch trace.Unwrap(err).(type) {
	case nil:
		return 0
	case unclearError:
		return ExitUnclear
	case conflictError:
		return ExitConflict
	}
	if trace.IsBadParameter(err) {
		return ExitInvalid
	}
	return 1
}

// ask asks the first core process that answers with anything but a 5xx.
func (c *Client) ask(method, path string, header http.Header, body []byte) (status int, text []byte, err error) {
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
	return 0, nil, unclearError{trace.ConnectionProblem(nil, "nobody can say: %s", strings.Join(faults, "; "))}
}

func (c *Client) state() (s agent.State, err error) {
	_, text, err := c.ask(http.MethodGet, "/mesh/state", nil, nil)
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(text, &s); err != nil {
		return s, trace.Wrap(err, "answer")
	}
	if !s.Confirmed && !c.JSON {
		fmt.Fprintf(c.Out, "%s reaches no majority of the voters: what follows may be out of date\n", s.Node)
	}
	return s, nil
}

// newest is the configuration as the core has it now; nil for none.
func (c *Client) newest() (*configuration.Config, error) {
	status, text, err := c.ask(http.MethodGet, "/configuration/retrieve", nil, nil)
	switch {
	case err != nil:
		return nil, err
	case status == http.StatusNotFound:
		return nil, nil
	case status != http.StatusOK:
		return nil, unclearError{trace.ConnectionProblem(nil, "status %d %s", status, text)}
	}
	conf, err := configuration.Read(text)
	return conf, trace.Wrap(err)
}

// table prints rows for people, or the value for programs.
func (c *Client) table(value any, head string, rows [][]string) error {
	if c.JSON {
		e := json.NewEncoder(c.Out)
		e.SetIndent("", "  ")
		return trace.Wrap(e.Encode(value))
	}
	w := tabwriter.NewWriter(c.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, head)
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return trace.Wrap(w.Flush())
}

// MembersLine shows processes.
type MembersLine struct{}

// Run shows processes that are there.
func (MembersLine) Run(c *Client) error {
	s, err := c.state()
	if err != nil {
		return err
	}
	var rows [][]string
	for _, m := range s.Members {
		rows = append(rows, []string{m.Address, m.Zone, m.Role, m.Service, time.Duration(m.AgeMs * 1e6).String()})
	}
	return c.table(s.Members, "ADDRESS\tZONE\tROLE\tSERVICE\tHEARD", rows)
}

// EndpointsLine shows endpoints.
type EndpointsLine struct {
	Service string `help:"Of this service only."`
}

// Run shows endpoints.
func (l EndpointsLine) Run(c *Client) error {
	s, err := c.state()
	if err != nil {
		return err
	}
	var rows [][]string
	all := slices.DeleteFunc(s.Endpoints, func(e agent.EndpointState) bool { return l.Service != "" && e.Service != l.Service })
	for _, e := range all {
		rows = append(rows, []string{e.ID, e.Service, e.Zone, e.State, fmt.Sprint(e.Slots), e.Witness,
			time.Duration(e.LeaseMs * 1e6).String()})
	}
	return c.table(all, "ENDPOINT\tSERVICE\tZONE\tSTATE\tSLOTS\tWITNESS\tLEASE", rows)
}

// DutiesLine shows duties.
type DutiesLine struct{}

// Run shows duties and voters.
func (DutiesLine) Run(c *Client) error {
	s, err := c.state()
	if err != nil {
		return err
	}
	var rows [][]string
	for _, d := range s.Duties {
		rows = append(rows, []string{d.Name, d.Holder, fmt.Sprint(d.Epoch)})
	}
	for _, v := range s.Voters {
		rows = append(rows, []string{"voter", v, ""})
	}
	return c.table(map[string]any{"duties": s.Duties, "voters": s.Voters}, "DUTY\tHOLDER\tNUMBER", rows)
}

// WhyLine explains a request.
type WhyLine struct {
	Host string `arg:"" help:"The Host header."`
	Path string `arg:"" help:"The path."`
	Key  string `help:"The tenant's key; it is not printed."`
}

// Run says where a request would go.
func (l WhyLine) Run(c *Client) error {
	conf, err := c.newest()
	if err != nil {
		return err
	}
	s, err := c.state()
	if err != nil {
		return err
	}
	say := func(format string, args ...any) { fmt.Fprintf(c.Out, format+"\n", args...) }
	if conf == nil {
		say("503: there is no configuration yet")
		return nil
	}
	r := conf.Match(l.Host, l.Path)
	if r == nil {
		say("404: no route of %s begins %q (%s, %d routes)", l.Host, l.Path, conf.Version, len(conf.Routes))
		return nil
	}
	say("route %s: %s%s, timeout %v, aim %v, at most %d endpoints", r.Name, r.Host, r.Prefix, r.Timeout, r.Target, r.MaxAttempts)
	if conf.Keyed {
		t := conf.TenantByKey(l.Key)
		switch {
		case t == nil && !r.Public:
			say("401: the key is not known")
			return nil
		case t == nil:
			say("no tenant: the route is public")
		default:
			say("tenant %s: rank %d, %v a second and %v at once (0: no limit)", t.Name, t.Priority, t.Rate, t.Burst)
		}
	}
	total := 0.0
	for _, x := range r.Split {
		total += x.Weight
	}
	for _, x := range r.Split {
		serve, leave := 0, 0
		for _, e := range s.Endpoints {
			switch {
			case e.Service == x.Service && e.State == "in_service":
				serve++
			case e.Service == x.Service && e.State == "draining":
				leave++
			}
		}
		say("%3.0f%% to %s: %d endpoints in service, %d draining", 100*x.Weight/total, x.Service, serve, leave)
		if serve == 0 {
			say("     503 until one is there")
		}
	}
	return nil
}

// ConfigLine holds the verbs of the configuration.
type ConfigLine struct {
	Get   GetLine   `cmd:"" help:"Print the newest configuration."`
	Check CheckLine `cmd:"" help:"Check a file: every fault at once."`
	Diff  DiffLine  `cmd:"" help:"What a file changes against what is in force."`
	Apply ApplyLine `cmd:"" help:"Put a file in force."`
}

// GetLine prints the configuration.
type GetLine struct{}

// Run prints it as it was sent.
func (GetLine) Run(c *Client) error {
	conf, err := c.newest()
	if err != nil {
		return err
	}
	if conf == nil {
		return trace.NotFound("there is no configuration yet")
	}
	_, err = c.Out.Write(conf.Raw)
	return trace.Wrap(err)
}

// CheckLine checks a file.
type CheckLine struct {
	File string `arg:"" type:"existingfile"`
}

// Run checks it by the same function as the core does.
func (l CheckLine) Run(c *Client) error {
	conf, err := read(l.File)
	if err == nil {
		fmt.Fprintf(c.Out, "%s: %s, %d routes, %d services, %d tenants\n", l.File, conf.Version, len(conf.Routes), len(conf.Services), len(conf.Tenants))
	}
	return err
}

func read(file string) (*configuration.Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	conf, err := configuration.Read(text)
	return conf, trace.Wrap(err, "%s", file)
}

// DiffLine shows what a file changes.
type DiffLine struct {
	File string `arg:"" type:"existingfile"`
}

// Run shows it.
func (l DiffLine) Run(c *Client) error {
	conf, err := read(l.File)
	if err != nil {
		return err
	}
	now, err := c.newest()
	if err != nil {
		return err
	}
	for _, x := range Diff(now, conf) {
		fmt.Fprintln(c.Out, x)
	}
	return nil
}

// ApplyLine puts a file in force.
type ApplyLine struct {
	File string `arg:"" type:"existingfile"`
	Base string `help:"The version that it builds on; what is in force now if left out."`
}

// Run checks the file, shows what it changes, and sends it until there is a clear answer.
func (l ApplyLine) Run(c *Client) error {
	conf, err := read(l.File)
	if err != nil {
		return err
	}
	now, err := c.newest()
	if err != nil {
		return err
	}
	current := configuration.Version(0)
	if now != nil {
		current = now.Version
	}
	base := current
	if l.Base != "" {
		if base, err = configuration.ParseVersion(l.Base); err != nil {
			return trace.BadParameter("--base %s: wanted a version like r12", l.Base)
		}
	}
	for _, x := range Diff(now, conf) {
		fmt.Fprintln(c.Out, x)
	}
	for range 5 {
		status, text, err := c.ask(http.MethodPost, "/configuration/replace", http.Header{"Base-Version": {base.String()},
			"Content-Type": {"application/json"}}, conf.Raw)
		switch {
		case err != nil || status == http.StatusRequestTimeout || status == http.StatusTooManyRequests:
			continue
		case status == http.StatusOK:
			fmt.Fprintf(c.Out, "%s is on a majority of disks\n", conf.Version)
			return nil
		case status == http.StatusPreconditionFailed:
			return conflictError{trace.CompareFailed("%s builds on %s, and another version is in place (%s when last read): %s", conf.Version, base,
				current, strings.TrimSpace(string(text)))}
		default:
			return trace.BadParameter("refused with %d: %s", status, strings.TrimSpace(string(text)))
		}
	}
	return unclearError{trace.ConnectionProblem(nil, "no clear answer: %s may be in force or not; apply it once more", conf.Version)}
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
	out = append(out, changes(from.Routes, to.Routes, name, func(r configuration.Route) string { return fmt.Sprintf("%+v", r) })...)
	out = append(out, changes(from.Services, to.Services, func(s configuration.Service) string { return "service " + s.Name },
		func(s configuration.Service) string { return fmt.Sprintf("%+v", s) })...)
	out = append(out, changes(from.Tenants, to.Tenants, func(t configuration.Tenant) string { return "tenant " + t.Name },
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
		out = append(out, fmt.Sprintf("limits %+v -> %+v", from.Limits, to.Limits))
	}
	return out
}

func changes[T any](from, to []T, name, text func(T) string) (out []string) {
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
