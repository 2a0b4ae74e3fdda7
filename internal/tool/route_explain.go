package tool

import (
	"cmp"
	"fmt"

	"quincegap/internal/balancer"
	"quincegap/internal/config/appfile"
	"quincegap/internal/config/finding"
	"quincegap/internal/config/schema"
	"quincegap/internal/modules/route"
)

// explainRoute prints which route a request would take, why the other routes don't apply, and the settings for the request. It returns
// errFindings if the request would be rejected, and a usage error if its class is unknown.
func (c *cli) explainRoute(file *schema.File, request *route.Request) error {
	class := appfile.ClassTable.Get(file, request.Class)
	if classes := appfile.ClassTable.All(file); class == nil && len(classes) > 0 {
		var names []string
		for _, known := range classes {
			names = append(names, known.Name)
		}
		return fmt.Errorf("-H 'X-Lane: ...': %s", finding.UnknownName("class", request.Class, names))
	}
	routes := route.Compile(file)
	taken, ok := routes.Find(request)
	if !ok {
		c.out.printf("answered 400, and sent nowhere: %s\n", route.AmbiguousPath(request.Path))
		return errFindings
	}
	if taken == nil {
		c.out.println("no route; its class's values hold")
	} else {
		c.out.printf("route %s (%s): %v\n", taken.Name, file.Location("route", taken.Name, ""), taken.Pattern())
	}
	rows := newTable(c.out)
	if routes != nil && len(routes.Routes) > 0 {
		rows.println("\nOTHER ROUTE\tAT\tWHY NOT")
		for _, other := range routes.Explain(request) {
			if !other.Taken {
				rows.printf("%s\t%v\t%s\n", other.Name, file.Location("route", other.Name, ""), other.Text)
			}
		}
	}
	values := routeValues{table: rows, file: file, request: request, class: class, settings: &route.Settings{Serve: true, RetryShare: -1}}
	if taken != nil {
		values.route = taken.Name
		values.settings = taken.Settings
	}
	values.print()
	if err := rows.Flush(); err != nil {
		return runError{err}
	}
	if !values.settings.Serve {
		return errFindings
	}
	return nil
}

// routeValues prints the settings that apply to a request, each with the line of the file that sets it.
type routeValues struct {
	table    *table
	file     *schema.File
	request  *route.Request
	class    *appfile.Class  // the request's class; nil if the file has no classes
	route    string          // name of the route that the request takes; empty for none
	settings *route.Settings // settings of the route, or the defaults if there is no route
}

// print prints the settings in the order in which they take effect on a request.
func (v *routeValues) print() {
	v.table.println("\nVALUE\tIS\tBY")
	v.printTime()
	if !v.settings.Serve {
		return
	}
	v.printAttempts()
	v.printRetries()
	v.printIdempotency()
}

// row prints a line of the table: the name of a setting, its value and where it is set.
func (v *routeValues) row(name, value, setBy string) {
	v.table.printf("%s\t%s\t%s\n", name, value, setBy)
}

// by returns the location and the name of the setting at a path of keys, or "default" if the file does not set it.
func (v *routeValues) by(path ...string) string {
	if s := v.file.Setting(path...); s != nil {
		return fmt.Sprintf("%v %s", s.Location, s.ID())
	}
	return "default"
}

// byRoute returns the location and the name of a setting of the request's route, or "default" if the route does not set it.
func (v *routeValues) byRoute(key string) string { return v.by("route", v.route, key) }

// printTime prints the time limit of the request, or that the route rejects it.
func (v *routeValues) printTime() {
	set := v.settings
	switch {
	case !set.Serve:
		v.row("served", "no: refused with Retry-After "+schema.FormatDuration(set.RetryAfter), v.byRoute("serve"))
	case set.Timeout > 0:
		v.row("whole time", schema.FormatDuration(set.Timeout), v.byRoute("whole_time"))
	case v.class != nil:
		v.row("whole time", schema.FormatDuration(v.class.Deadline), v.by("class", v.request.Class, "deadline"))
	}
}

// printAttempts prints the timeout and the largest number of attempts, and the limit on concurrent requests.
func (v *routeValues) printAttempts() {
	set := v.settings
	if set.AttemptTimeout > 0 {
		v.row("one attempt", schema.FormatDuration(set.AttemptTimeout), v.byRoute("attempt_time"))
	}
	allowed := appfile.AttemptsTable.In(v.file).Max
	if set.MaxAttempts > 0 && set.MaxAttempts <= allowed {
		v.row("attempts", fmt.Sprint(set.MaxAttempts), v.byRoute("route_attempts"))
	} else {
		v.row("attempts", fmt.Sprint(allowed), v.by("attempts", "most_attempts"))
	}
	if set.MaxOpen > 0 {
		v.row("at once", fmt.Sprint(set.MaxOpen), v.byRoute("most_open"))
	}
}

// printRetries prints the settings for retries and hedged requests, and the value of the request relative to its class.
func (v *routeValues) printRetries() {
	set := v.settings
	if set.RetryShare >= 0 {
		v.row("further attempts", fmt.Sprintf("%g for each answer, %d saved up", set.RetryShare, set.RetryReserve), v.byRoute("retry_share"))
	}
	if v.route != "" && v.file.Setting("route", v.route, "retry_on") != nil {
		v.row("again after", set.RetryOutcomes(), v.byRoute("retry_on"))
	}
	if set.RetryBackoff > 0 {
		v.row("pause before", "about "+schema.FormatDuration(set.RetryBackoff)+", twice as long each time", v.byRoute("retry_pause"))
	}
	if set.Value > 0 {
		v.row("worth", fmt.Sprintf("%g times that of its class", set.Value), v.byRoute("route_worth"))
	}
	if set.HedgeQuantile > 0 {
		v.row("second copy", fmt.Sprintf("after the %g quantile, at most %g of requests", set.HedgeQuantile, set.HedgeShare), v.byRoute("copy_after"))
	}
}

// printIdempotency prints where a request may be retried if an earlier attempt may already have taken effect.
func (v *routeValues) printIdempotency() {
	if v.class == nil {
		return
	}
	where := ""
	switch v.class.Idempotency {
	case balancer.Idempotent:
		where = "anywhere"
	case balancer.IdempotentWithKey:
		where = "in its " + cmp.Or(string(v.class.KeyScope), string(balancer.KeyScopeCell))
	case balancer.NonIdempotent:
		where = "never"
	}
	v.row("again when it may have run", where, v.by("class", v.request.Class, "effect"))
}
