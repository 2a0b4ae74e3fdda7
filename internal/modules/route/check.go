package route

import (
	"cmp"
	"slices"
	"time"

	"quincegap/internal/balancer"
	"quincegap/internal/config/appfile"
	"quincegap/internal/config/schema"
)

// matchPrefix is the prefix of the keys of a route's pattern.
const matchPrefix = "match_"

// matchKeys are the keys of a route's pattern. A fault of the whole pattern is reported at the first of them that is set.
var matchKeys = []string{"match_path", "match_host", "match_classes", "match_methods", "match_tenants", "match_headers"}

// servedKeys are the keys without effect if serve is false.
var servedKeys = []string{
	"whole_time", "attempt_time", "route_attempts", "most_open", "retry_share", "retry_reserve", "retry_on", "retry_pause", "route_worth",
	"copy_after", "copy_share",
}

// retryKeys are the keys without effect if route_attempts is 1.
var retryKeys = []string{"retry_share", "retry_on", "retry_pause"}

// unmatchedHeaders cannot be matched, because they belong to the message or to one request.
var unmatchedHeaders = []string{"Connection", "Transfer-Encoding", "Content-Length", "X-Txn", "X-Remaining", "Host"}

// checkedRoute is the pattern of a route that was checked.
type checkedRoute struct {
	name    string
	number  int // in the order of the file
	pattern *Pattern
}

// ruleCheck checks one rule.
type ruleCheck struct {
	*Rule
	file    *schema.File
	name    string
	pattern *Pattern
	classes []schema.Named[appfile.Class]
	report  schema.Reporter
}

// check reports settings of a route that could break a rule or have no effect, and a clash with a route before it.
func check(file *schema.File, name string, rule *Rule, report schema.Reporter) {
	first, n := Rules.First(file)
	if n > MaxRoutes {
		if rule == first {
			report(findingKey(file, name), "%d routes are more than %d", n, MaxRoutes)
		}
		return
	}
	p, faults := rule.compile()
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
	c := &ruleCheck{Rule: rule, file: file, name: name, pattern: p, classes: appfile.ClassTable.All(file), report: report}
	c.checkReach()
	c.checkTimes()
	c.checkLimits()
	c.checkHedging()
	if rule == first || first.checked == nil { // nil if the first rule has faults
		first.checked = &prefixIndex[checkedRoute]{}
	}
	c.checkClashes(first)
}

// findingKey returns the key of a route at which a fault of its whole pattern is reported.
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

// checkClashes compares the route with those before it, and adds it to them. Of several clashes the first in the file is reported, so
// that the findings do not depend on the order of a map.
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
		c.report(findingKey(c.file, c.name), "matches just what [route.%s] does (%s)", clash.name, at)
		return
	}
	c.report(findingKey(c.file, c.name), "overlaps with [route.%s] (%s), and neither is more specific: both match %s", clash.name, at,
		exampleRequest(c.pattern, clash.pattern))
}

// checkReach reports criteria that no request can match.
func (c *ruleCheck) checkReach() {
	if len(c.classes) > 0 {
		c.checkWords("classes", "class", c.pattern.classes, func(class string) bool { return appfile.ClassTable.Get(c.file, class) != nil })
		c.checkMethods()
	}
	if tenants := appfile.TenantTable.All(c.file); len(tenants) > 0 {
		c.checkWords("tenants", "tenant", c.pattern.tenants, func(tenant string) bool { return appfile.TenantTable.Get(c.file, tenant) != nil })
	} else if len(c.classes) > 0 && len(c.pattern.tenants) > 0 {
		c.report("match_tenants", "nothing can match it: there are no tenants")
	}
	for _, condition := range c.pattern.headers {
		if slices.Contains(unmatchedHeaders, condition.name) {
			c.report("match_headers", "%s is not matched: it belongs to the message, not to what is asked for", condition.name)
		}
	}
}

// checkWords reports names of things that the file does not have.
func (c *ruleCheck) checkWords(key, what string, words []string, known func(string) bool) {
	for _, word := range words {
		if !known(word) {
			c.report(matchPrefix+key, "there is no %s %q", what, word)
		}
	}
}

// checkMethods reports methods that no request of the route's classes has.
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
		c.report("match_methods", "nothing can match it: safe classes come with GET, others with POST")
	}
}

// methodOf returns the method of the requests of a class.
func methodOf(class *appfile.Class) string {
	if class.Idempotency == balancer.Idempotent {
		return "GET"
	}
	return "POST"
}

// checkTimes reports timeouts that contradict each other, for the first class with which they do.
func (c *ruleCheck) checkTimes() {
	for _, class := range c.classes {
		if allows(c.pattern.classes, class.Name) && c.checkTimesOf(class) {
			return
		}
	}
}

// checkTimesOf reports timeouts that contradict each other for a class, and returns whether it has found any.
func (c *ruleCheck) checkTimesOf(class schema.Named[appfile.Class]) bool {
	text := schema.FormatDuration
	deadline := class.Value.Deadline
	if c.Timeout > deadline {
		c.report("whole_time", "%s is longer than callers of %s wait: its deadline is %s (%s)", text(c.Timeout), class.Name, text(deadline),
			c.file.Location("class", class.Name, "deadline"))
		return true
	}
	whole := cmp.Or(c.Timeout, deadline)
	origin := "its deadline"
	if c.Timeout > 0 {
		origin = "whole_time"
	}
	switch {
	case c.AttemptTimeout > whole:
		c.report("attempt_time", "%s is longer than the whole time of %s, %s (%s)", text(c.AttemptTimeout), class.Name, text(whole), origin)
	case c.AttemptTimeout > 0 && c.MaxAttempts > 1 && c.AttemptTimeout*time.Duration(c.MaxAttempts) > whole:
		c.report("route_attempts", "%d attempts of %s each take longer than the whole time of %s, %s (%s)",
			c.MaxAttempts, text(c.AttemptTimeout), class.Name, text(whole), origin)
	case c.RetryBackoff >= whole:
		c.report("retry_pause", "%s is no shorter than the whole time of %s, %s (%s): no second attempt would go out",
			text(c.RetryBackoff), class.Name, text(whole), origin)
	case class.Value.Idempotency == balancer.NonIdempotent && c.AttemptTimeout > 0 && len(c.pattern.classes) > 0:
		c.report("attempt_time", "%s is unsafe: an attempt that is given up may have run and cannot go out again, "+
			"so a time of its own only fails what would have been answered", class.Name)
	default:
		return false
	}
	return true
}

// checkLimits reports limits without effect, and those above what the machine has.
func (c *ruleCheck) checkLimits() {
	if !c.Serve {
		for _, key := range servedKeys {
			if c.isSet(key) {
				c.report(key, "means nothing: serve is false")
			}
		}
		return
	}
	if c.isSet("retry_reserve") && c.RetryShare < 0 {
		c.report("retry_reserve", "means nothing without retry_share")
	}
	for _, key := range retryKeys {
		if c.MaxAttempts == 1 && c.isSet(key) {
			c.report(key, "means nothing: route_attempts is 1")
		}
	}
	if limits := appfile.LimitsTable.In(c.file); limits.Sockets > 0 && c.MaxOpen > limits.Sockets {
		c.report("most_open", "%d cannot be held: limits.sockets is %d (%s)", c.MaxOpen, limits.Sockets, c.file.Location("limits", "sockets"))
	}
}

// checkHedging reports settings for hedged requests that a rule forbids, or that have no effect.
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
			c.report("copy_after", "two attempts of a request may not be out at once: attempts.second_copies is false (%s)",
				c.file.Location("attempts", "second_copies"))
			return
		case len(c.classes) > 0:
			c.report("copy_after", "two attempts of a request may not be out at once unless attempts.second_copies is true")
			return
		}
	}
	if c.MaxAttempts == 1 {
		c.report("copy_after", "means nothing: route_attempts is 1, and a copy is an attempt")
	}
	for _, name := range c.pattern.classes {
		if class := appfile.ClassTable.Get(c.file, name); class != nil && class.Idempotency == balancer.NonIdempotent {
			c.report("copy_after", "%s is unsafe: its effect would happen twice", name)
			return
		}
	}
}
