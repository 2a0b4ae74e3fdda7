package route

import (
	"cmp"
	"slices"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/config/appfile"
	"quincegap/internal/config/schema"
)

// matchPrefix is the prefix of the setting keys of a route's pattern.
const matchPrefix = "match_"

// matchKeys are the setting keys of a route's pattern. A fault of the whole pattern is reported at the first of them that is set.
var matchKeys = []string{"match_path", "match_host", "match_classes", "match_methods", "match_tenants", "match_headers"}

// keysRequiringServe are the setting keys that have no effect if serve is false.
var keysRequiringServe = []string{
	"whole_time", "attempt_time", "route_attempts", "most_open", "retry_share", "retry_reserve", "retry_on", "retry_pause", "route_worth",
	"copy_after", "copy_share",
}

// keysRequiringRetries are the setting keys that have no effect if route_attempts is 1.
var keysRequiringRetries = []string{"retry_share", "retry_on", "retry_pause"}

// unmatchableHeaders are the headers that a pattern must not match, because they describe the message or belong to a single request.
var unmatchableHeaders = []string{"Connection", "Transfer-Encoding", "Content-Length", "X-Txn", "X-Remaining", "Host"}

// checkedRoute is a route that has been checked without faults.
type checkedRoute struct {
	name    string
	number  int // position among the routes that were checked, in the order of the file
	pattern *Pattern
}

// ruleCheck has what the checks of one rule need.
type ruleCheck struct {
	*Rule
	file    *schema.File
	name    string
	pattern *Pattern
	classes []schema.Named[appfile.Class]
	report  schema.Reporter
}

// check reports settings of a route that contradict other settings or have no effect, and clashes with an earlier route of the file.
func check(file *schema.File, name string, rule *Rule, report schema.Reporter) {
	first, count := Rules.First(file)
	if count > MaxRoutes {
		if rule == first {
			report(findingKey(file, name), "the file has %d routes, the maximum is %d", count, MaxRoutes)
		}
		return
	}
	pattern, faults := rule.compile()
	for _, fault := range faults {
		key := matchPrefix + fault.key
		if file.Setting("route", name, fault.key) != nil {
			key = fault.key
		}
		report(key, "%s", fault.text)
	}
	if len(faults) > 0 {
		return
	}
	c := &ruleCheck{Rule: rule, file: file, name: name, pattern: pattern, classes: appfile.ClassTable.All(file), report: report}
	c.checkMatchable()
	c.checkTimes()
	c.checkLimits()
	c.checkHedging()
	if rule == first || first.checked == nil { // the first rule does not get here if it has faults
		first.checked = &prefixIndex[checkedRoute]{}
	}
	c.checkClashes(first)
}

// findingKey returns the setting key at which a fault of a route's whole pattern is reported.
func findingKey(f *schema.File, name string) string {
	for _, key := range matchKeys {
		if f.Setting("route", name, key) != nil {
			return key
		}
	}
	return matchKeys[0]
}

// isSet reports whether the file sets a key of the route.
func (c *ruleCheck) isSet(key string) bool { return c.file.Setting("route", c.name, key) != nil }

// checkClashes reports whether the route matches the same requests as an earlier one or overlaps with it, and adds the route to the
// checked ones. Of several clashes it reports the one with the first route in the file, so that the findings do not depend on the order
// of a map.
func (c *ruleCheck) checkClashes(first *Rule) {
	var clash checkedRoute
	for other := range first.checked.candidates(c.pattern) {
		rel := c.pattern.compare(other.pattern)
		if (rel == equal || rel == overlaps) && (clash.pattern == nil || other.number < clash.number) {
			clash = other
		}
	}
	first.checkedCount++
	first.checked.add(c.pattern, checkedRoute{name: c.name, number: first.checkedCount, pattern: c.pattern})
	if clash.pattern == nil {
		return
	}
	at := c.file.Location("route", clash.name, "")
	if c.pattern.compare(clash.pattern) == equal {
		c.report(findingKey(c.file, c.name), "matches the same requests as [route.%s] (%s)", clash.name, at)
		return
	}
	c.report(findingKey(c.file, c.name), "overlaps with [route.%s] (%s), and neither is more specific: both match %s", clash.name, at,
		exampleRequest(c.pattern, clash.pattern))
}

// checkMatchable reports criteria that no request can satisfy.
func (c *ruleCheck) checkMatchable() {
	if len(c.classes) > 0 {
		c.checkNamesExist("classes", "class", c.pattern.classes, func(name string) bool { return appfile.ClassTable.Get(c.file, name) != nil })
		c.checkMethods()
	}
	if tenants := appfile.TenantTable.All(c.file); len(tenants) > 0 {
		c.checkNamesExist("tenants", "tenant", c.pattern.tenants, func(name string) bool { return appfile.TenantTable.Get(c.file, name) != nil })
	} else if len(c.classes) > 0 && len(c.pattern.tenants) > 0 {
		c.report("match_tenants", "no request can match it: the file has no tenants")
	}
	for _, condition := range c.pattern.headers {
		if slices.Contains(unmatchableHeaders, condition.name) {
			c.report("match_headers", "%s cannot be matched: it describes the message or belongs to a single request", condition.name)
		}
	}
}

// checkNamesExist reports names of classes or tenants that the file does not define.
func (c *ruleCheck) checkNamesExist(key, kind string, names []string, exists func(string) bool) {
	for _, name := range names {
		if !exists(name) {
			c.report(matchPrefix+key, "there is no %s %q", kind, name)
		}
	}
}

// checkMethods reports the methods if no request of the route's classes has one of them.
func (c *ruleCheck) checkMethods() {
	if len(c.pattern.methods) == 0 {
		return
	}
	for _, class := range c.classes {
		if allows(c.pattern.classes, class.Name) && allows(c.pattern.methods, methodOf(class.Value)) {
			return
		}
	}
	if len(c.pattern.classes) == 0 || appfile.ClassTable.Get(c.file, c.pattern.classes[0]) != nil {
		c.report("match_methods", "no request can match it: requests of safe classes use GET, those of other classes POST")
	}
}

// methodOf returns the method of the requests of a class.
func methodOf(class *appfile.Class) string {
	if class.Idempotency == balancer.Idempotent {
		return "GET"
	}
	return "POST"
}

// checkTimes reports timeouts that contradict each other or the deadline of a class, for the first class of the route for which they do.
func (c *ruleCheck) checkTimes() {
	for _, class := range c.classes {
		if allows(c.pattern.classes, class.Name) && c.checkTimesOf(class) {
			return
		}
	}
}

// checkTimesOf reports the first contradiction of the timeouts for one class, and returns whether there is one.
func (c *ruleCheck) checkTimesOf(class schema.Named[appfile.Class]) bool {
	text := schema.FormatDuration
	deadline := class.Value.Deadline
	if c.Timeout > deadline {
		c.report("whole_time", "%s is longer than the deadline of class %s, %s (%s)", text(c.Timeout), class.Name, text(deadline),
			c.file.Location("class", class.Name, "deadline"))
		return true
	}
	timeout := cmp.Or(c.Timeout, deadline)
	origin := "its deadline"
	if c.Timeout > 0 {
		origin = "whole_time"
	}
	switch {
	case c.AttemptTimeout > timeout:
		c.report("attempt_time", "%s is longer than the request timeout of class %s, %s (%s)",
			text(c.AttemptTimeout), class.Name, text(timeout), origin)
	case c.AttemptTimeout > 0 && c.MaxAttempts > 1 && c.AttemptTimeout*time.Duration(c.MaxAttempts) > timeout:
		c.report("route_attempts", "%d attempts of %s each take longer than the request timeout of class %s, %s (%s)",
			c.MaxAttempts, text(c.AttemptTimeout), class.Name, text(timeout), origin)
	case c.RetryBackoff >= timeout:
		c.report("retry_pause", "%s is not shorter than the request timeout of class %s, %s (%s): no second attempt would be sent",
			text(c.RetryBackoff), class.Name, text(timeout), origin)
	case class.Value.Idempotency == balancer.NonIdempotent && c.AttemptTimeout > 0 && len(c.pattern.classes) > 0:
		c.report("attempt_time", "class %s is unsafe: an attempt that times out may have run and cannot be retried, "+
			"so a timeout for one attempt only fails requests that would have been answered", class.Name)
	default:
		return false
	}
	return true
}

// checkLimits reports limits that have no effect, and a MaxOpen above the number of sockets.
func (c *ruleCheck) checkLimits() {
	if !c.Serve {
		for _, key := range keysRequiringServe {
			if c.isSet(key) {
				c.report(key, "means nothing: serve is false")
			}
		}
		return
	}
	if c.isSet("retry_reserve") && c.RetryShare < 0 {
		c.report("retry_reserve", "means nothing without retry_share")
	}
	for _, key := range keysRequiringRetries {
		if c.MaxAttempts == 1 && c.isSet(key) {
			c.report(key, "means nothing: route_attempts is 1")
		}
	}
	if limits := appfile.LimitsTable.In(c.file); limits.Sockets > 0 && c.MaxOpen > limits.Sockets {
		c.report("most_open", "%d open requests exceed limits.sockets, which is %d (%s)", c.MaxOpen, limits.Sockets,
			c.file.Location("limits", "sockets"))
	}
}

// checkHedging reports settings for hedged requests that other settings or a class forbid, or that have no effect.
func (c *ruleCheck) checkHedging() {
	if c.HedgeQuantile <= 0 {
		if c.isSet("copy_share") && c.Serve {
			c.report("copy_share", "means nothing without copy_after")
		}
		return
	}
	if !appfile.AttemptsTable.In(c.file).HedgedRequests {
		switch {
		case c.file.Setting("attempts", "second_copies") != nil:
			c.report("copy_after", "two attempts of a request may not be in flight at once: attempts.second_copies is false (%s)",
				c.file.Location("attempts", "second_copies"))
			return
		case len(c.classes) > 0:
			c.report("copy_after", "two attempts of a request may not be in flight at once unless attempts.second_copies is true")
			return
		}
	}
	if c.MaxAttempts == 1 {
		c.report("copy_after", "means nothing: route_attempts is 1, and a copy is an attempt")
	}
	for _, name := range c.pattern.classes {
		if class := appfile.ClassTable.Get(c.file, name); class != nil && class.Idempotency == balancer.NonIdempotent {
			c.report("copy_after", "class %s is unsafe: its effect would happen twice", name)
			return
		}
	}
}
