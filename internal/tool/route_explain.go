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

// explainRoute prints how a request would be treated. It returns errFindings if the request would be rejected.
func (c *command) explainRoute(file *schema.File, request *route.Request) error {
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
	w := newTable(c.out)
	if routes != nil && len(routes.Routes) > 0 {
		w.println("\nOTHER ROUTE\tAT\tWHY NOT")
		for _, other := range routes.Explain(request) {
			if !other.Taken {
				w.printf("%s\t%v\t%s\n", other.Name, file.Location("route", other.Name, ""), other.Text)
			}
		}
	}
	values := routeValues{table: w, file: file, request: request, class: class, settings: &route.Settings{Serve: true, RetryShare: -1}}
	if taken != nil {
		values.route = taken.Name
		values.settings = taken.Settings
	}
	values.print()
	if err := w.Flush(); err != nil {
		return runError{err}
	}
	if !values.settings.Serve {
		return errFindings
	}
	return nil
}

// routeValues prints the values that apply to a request, each with the line that sets it.
type routeValues struct {
	table    *table
	file     *schema.File
	request  *route.Request
	class    *appfile.Class  // the request's class; nil if the file has no classes
	route    string          // name of the route that the request takes; empty for none
	settings *route.Settings // of that route, or the defaults
}

// print prints the values in the order in which a request meets them.
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

// row prints a value and where it is set.
func (v *routeValues) row(name, value, setBy string) {
	v.table.printf("%s\t%s\t%s\n", name, value, setBy)
}

// by returns the location of a key's setting, or "default".
func (v *routeValues) by(path ...string) string {
	if s := v.file.Setting(path...); s != nil {
		return fmt.Sprintf("%v %s", s.Location, s.ID())
	}
	return "default"
}

// byRoute returns the location of a key's setting in the route, or "default".
func (v *routeValues) byRoute(key string) string { return v.by("route", v.route, key) }

// printTime prints the request's timeout, or that it is not served.
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

// printAttempts prints the bounds on attempts and on concurrent requests.
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

// printRetries prints the settings of retries and hedged requests.
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

// printIdempotency prints where a request that may have run may be retried.
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
