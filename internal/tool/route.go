package tool

import (
	"cmp"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"quincegap/internal/config/appfile"
	"quincegap/internal/config/finding"
	"quincegap/internal/config/schema"
	"quincegap/internal/modules/route"
	"quincegap/internal/product"
)

func (c *command) routeCommand() *cobra.Command {
	var config string
	var headers []string
	var overlay bool
	cmd := &cobra.Command{
		Use: "route --config FILE METHOD URL", Short: "Show which route a request takes, and what holds for it", Args: cobra.ExactArgs(2),
		Long: "route prints the route that a request takes, why each other one does not match or loses, and each value that\n" +
			"holds for the request with the line that sets it. The class is X-Lane's, the tenant X-Org's.\n\n" +
			"    quincegapctl route --config sidecar.toml POST http://front.example.org/trips/7 -H 'X-Lane: book-trip'\n\n" +
			"Exit codes: 0 it would be sent on, 1 it would be turned away or the file has findings, 2 wrong usage.",
		RunE: func(_ *cobra.Command, args []string) error {
			if config == "" {
				return fmt.Errorf("--config: which file?")
			}
			header := http.Header{}
			for _, h := range headers {
				name, value, ok := strings.Cut(h, ":")
				if !ok {
					return fmt.Errorf("-H %q: write \"Name: value\"", h)
				}
				header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
			}
			u, err := url.Parse(args[1])
			if err != nil {
				return err
			}
			path := u.EscapedPath()
			if u.RawPath == "" && u.Path == "" {
				path = "/"
			}
			var found finding.List
			f := product.Load(config, overlay, &found)
			if found.Len() > 0 || f == nil {
				return c.report(&found)
			}
			return c.explainRoute(f, &route.Request{
				Host: u.Host, Path: path, Method: strings.ToUpper(args[0]),
				Class: header.Get("X-Lane"), Tenant: header.Get("X-Org"), Header: header,
			})
		},
	}
	f := cmd.Flags()
	f.StringVar(&config, "config", "", "the file of one application")
	f.StringArrayVarP(&headers, "header", "H", nil, "a header of the request, \"Name: value\"; may be repeated")
	f.BoolVar(&overlay, "overlay", false, "the file is used under a platform's configuration, which says who the sidecar is")
	return cmd
}

// explainRoute prints what comes of a request; errFindings where it would be turned away.
func (c *command) explainRoute(f *schema.File, q *route.Request) error {
	class := appfile.ClassTable.Get(f, q.Class)
	if classes := appfile.ClassTable.All(f); class == nil && len(classes) > 0 {
		var names []string
		for _, x := range classes {
			names = append(names, x.Name)
		}
		return fmt.Errorf("-H 'X-Lane: ...': %s", finding.UnknownName("class", q.Class, names))
	}
	table := route.Compile(f)
	r, ok := table.Find(q)
	if !ok {
		fmt.Fprintf(c.out, "answered 400, and sent nowhere: %s\n", route.AmbiguousPath(q.Path))
		return errFindings
	}
	if r == nil {
		fmt.Fprintln(c.out, "no route; its class's values hold")
	} else {
		fmt.Fprintf(c.out, "route %s (%s): %v\n", r.Name, f.Location("route", r.Name, ""), r.Pattern())
	}
	w := tabwriter.NewWriter(c.out, 0, 8, 2, ' ', 0)
	if table != nil && len(table.Routes) > 0 {
		fmt.Fprintln(w, "\nOTHER ROUTE\tAT\tWHY NOT")
		for _, x := range table.Explain(q) {
			if !x.Taken {
				fmt.Fprintf(w, "%s\t%v\t%s\n", x.Name, f.Location("route", x.Name, ""), x.Text)
			}
		}
	}
	fmt.Fprintln(w, "\nVALUE\tIS\tBY")
	by := func(path ...string) string {
		if s := f.Setting(path...); s != nil {
			return fmt.Sprintf("%v %s", s.Location, s.ID())
		}
		return "default"
	}
	row := func(name, value, from string) { fmt.Fprintf(w, "%s\t%s\t%s\n", name, value, from) }
	set := &route.Settings{Serve: true, RetryShare: -1}
	if r != nil {
		set = r.Settings
	}
	of := func(key string) string { return by("route", r.Name, key) }
	switch {
	case !set.Serve:
		row("served", "no: refused with Retry-After "+schema.FormatDuration(set.RetryAfter), of("serve"))
	case set.Timeout > 0:
		row("whole time", schema.FormatDuration(set.Timeout), of("whole_time"))
	case class != nil:
		row("whole time", schema.FormatDuration(class.Deadline), by("class", q.Class, "deadline"))
	}
	if set.Serve {
		if set.AttemptTimeout > 0 {
			row("one attempt", schema.FormatDuration(set.AttemptTimeout), of("attempt_time"))
		}
		site := appfile.AttemptsTable.In(f).Max
		if set.MaxAttempts > 0 && set.MaxAttempts <= site {
			row("attempts", fmt.Sprint(set.MaxAttempts), of("route_attempts"))
		} else {
			row("attempts", fmt.Sprint(site), by("attempts", "most_attempts"))
		}
		if set.MaxOpen > 0 {
			row("at once", fmt.Sprint(set.MaxOpen), of("most_open"))
		}
		if set.RetryShare >= 0 {
			row("further attempts", fmt.Sprintf("%g for each answer, %d saved up", set.RetryShare, set.RetryReserve), of("retry_share"))
		}
		if outcomes := set.RetryOutcomes(); r != nil && f.Setting("route", r.Name, "retry_on") != nil {
			row("again after", outcomes, of("retry_on"))
		}
		if set.RetryBackoff > 0 {
			row("pause before", "about "+schema.FormatDuration(set.RetryBackoff)+", twice as long each time", of("retry_pause"))
		}
		if set.Value > 0 {
			row("worth", fmt.Sprintf("%g times that of its class", set.Value), of("route_worth"))
		}
		if set.HedgeQuantile > 0 {
			row("second copy", fmt.Sprintf("after the %g quantile, at most %g of requests", set.HedgeQuantile, set.HedgeShare), of("copy_after"))
		}
		if class != nil {
			row("again when it may have run", map[string]string{"safe": "anywhere", "keyed": "in its " + cmp.Or(string(class.KeyScope), "cell"), "unsafe": "never"}[string(class.Idempotency)],
				by("class", q.Class, "effect"))
		}
	}
	if err := w.Flush(); err != nil {
		return runError{err}
	}
	if !set.Serve {
		return errFindings
	}
	return nil
}
